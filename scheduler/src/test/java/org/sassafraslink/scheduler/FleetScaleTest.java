package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/** Guards against decisions that serve a small fleet but lose or delay jobs in a larger one. */
class FleetScaleTest {
  private static final long SEED = 20261204;
  private static final String BUSY_POOL = "school";
  private static final String IDLE_POOL = "trader";
  private static final int CORES_PER_WORKER = 16;
  private static final int CORES_PER_TASK = 2;
  private static final int TASKS_PER_JOB = 10;
  private static final int TASK_MILLIS = 800;

  /** Ratio of the moves that the platform accepts in a second to the number of VMs. */
  private static final double MOVES_PER_SECOND_PER_VM = 0.85;

  /** Number of workers that a pool keeps when it is idle. */
  private static final int WORKERS_OF_IDLE_POOL = 2;

  private static final int SUBMIT_INTERVAL_MILLIS = 10;
  private static final int CHECK_INTERVAL_MILLIS = 50;

  /** No job may wait for this long, in ms, with nothing running while VMs are idle. */
  private static final int MAX_WAIT_WITH_IDLE_VMS_MILLIS = 3_000;

  /** Workers that have just become empty do not count as idle for this long, in ms. */
  private static final int MAX_START_DELAY_MILLIS = 300;

  /** The target for the time from the acceptance of a job to its first start, in ms. */
  private static final int TARGET_START_MILLIS = 5_300;

  /** A fleet, and the jobs that were submitted to its busy pool. */
  private static final class Play {
    private final SimFleet fleet;
    private final List<JobSpec> jobs = new ArrayList<>();

    private Play(ImmutableMap<String, Integer> vmsByPool) {
      int vms = vmsByPool.values().stream().mapToInt(Integer::intValue).sum();
      fleet =
          SimFleet.start(
              SEED,
              /* nodeCount= */ 1,
              SimLayout.withStandbyPool(vmsByPool, (int) (vms * MOVES_PER_SECOND_PER_VM)));
      while (fleet.schedulingNodeName().isEmpty()) {
        fleet.runFor(CHECK_INTERVAL_MILLIS);
      }
    }

    /** Submits, evenly over {@code millis} ms, jobs that keep {@code cores} cores busy. */
    void submitFor(int millis, double cores) {
      double jobsPerMilli = cores / (CORES_PER_TASK * TASKS_PER_JOB * TASK_MILLIS);
      double due = 0;
      for (int elapsed = 0; elapsed < millis; elapsed += SUBMIT_INTERVAL_MILLIS) {
        for (due += jobsPerMilli * SUBMIT_INTERVAL_MILLIS; due >= 1; due--) {
          jobs.add(
              fleet.submitToOpenQueue(
                  "job" + jobs.size(),
                  BUSY_POOL,
                  SimFleet.stepOfMillis(TASK_MILLIS, TASKS_PER_JOB, CORES_PER_TASK * 1_000)));
        }
        fleet.runFor(SUBMIT_INTERVAL_MILLIS);
      }
    }

    /** Returns whether a job that has not started has waited for {@code millis} ms. */
    boolean hasJobWaitedFor(int millis) {
      long now = fleet.clock.nowMillis();
      return jobs.stream()
          .anyMatch(
              job ->
                  now - job.acceptedMillis() >= millis
                      && fleet.guaranteeChecker.firstStartMillis(job.id()).isEmpty());
    }

    boolean isHalfOfBusyPoolEmpty() {
      return fleet.emptyWorkerCount(BUSY_POOL) * 2 >= fleet.workerCount(BUSY_POOL);
    }

    long unfinishedJobCount() {
      return jobs.stream().filter(job -> !fleet.guaranteeChecker.allTasksDone(job)).count();
    }

    boolean isStartedWithinTarget(JobSpec job) {
      return fleet
          .guaranteeChecker
          .firstStartMillis(job.id())
          .map(startMillis -> startMillis - job.acceptedMillis() <= TARGET_START_MILLIS)
          .orElse(false);
    }
  }

  /** Guards against powering off VMs for which late jobs wait, as if the jobs needed none. */
  @ParameterizedTest
  @ValueSource(ints = {30, 100, 300})
  void idleVmsArePoweredOffWhileLateJobsWait(int vms) {
    int busyVms = vms * 2 / 3;
    Play play =
        new Play(
            ImmutableMap.of(
                BUSY_POOL, busyVms, IDLE_POOL, vms - busyVms, SimLayout.STANDBY_POOL, 0));
    int burstMillis = 3_000;
    int burstCores = 3 * vms * CORES_PER_WORKER;
    play.submitFor(burstMillis, burstCores);
    // Half of the pool's workers must be in use until the last job has started.
    int halfPoolMillis = burstMillis * burstCores / (busyVms * CORES_PER_WORKER / 2);
    int boundMillis = halfPoolMillis + MAX_WAIT_WITH_IDLE_VMS_MILLIS;
    int idleMillis = 0;
    int longestIdleMillis = 0;
    for (int elapsed = 0; elapsed < boundMillis; elapsed += CHECK_INTERVAL_MILLIS) {
      play.fleet.runFor(CHECK_INTERVAL_MILLIS);
      boolean isIdleWithWaitingJob =
          play.isHalfOfBusyPoolEmpty() && play.hasJobWaitedFor(MAX_WAIT_WITH_IDLE_VMS_MILLIS);
      idleMillis = isIdleWithWaitingJob ? idleMillis + CHECK_INTERVAL_MILLIS : 0;
      longestIdleMillis = Math.max(longestIdleMillis, idleMillis);
    }
    String seen =
        String.format(
            "%d of %d jobs unfinished %d ms after the burst; pool of %d workers, %d at the start;"
                + " half of it empty for up to %d ms while jobs waited",
            play.unfinishedJobCount(),
            play.jobs.size(),
            boundMillis,
            play.fleet.workerCount(BUSY_POOL),
            busyVms,
            longestIdleMillis);
    assertTrue(play.unfinishedJobCount() == 0 && longestIdleMillis <= MAX_START_DELAY_MILLIS, seen);
  }

  /** Guards against a number of concurrent moves that does not grow with the fleet. */
  @ParameterizedTest
  @ValueSource(ints = {30, 100, 300})
  void largeFleetMovesVmsTooSlowlyForItsDemand(int vms) {
    Play play =
        new Play(
            ImmutableMap.of(
                BUSY_POOL,
                WORKERS_OF_IDLE_POOL,
                IDLE_POOL,
                WORKERS_OF_IDLE_POOL,
                SimLayout.STANDBY_POOL,
                vms - 2 * WORKERS_OF_IDLE_POOL));
    long turnStartMillis = play.fleet.clock.nowMillis();
    play.submitFor(/* millis= */ 8_000, vms * CORES_PER_WORKER * 2 / 3.0);
    long workersAtEndOfTurn = play.fleet.workerCount(BUSY_POOL);
    play.fleet.runFor(TARGET_START_MILLIS);
    List<JobSpec> laterJobs =
        play.jobs.stream()
            .filter(job -> job.acceptedMillis() - turnStartMillis > TARGET_START_MILLIS)
            .toList();
    long inTime = laterJobs.stream().filter(play::isStartedWithinTarget).count();
    assertTrue(
        inTime * 100 >= laterJobs.size() * 95L,
        String.format(
            "%d of %d jobs started within %d ms; %d of %d VMs in the pool at the end of the turn",
            inTime, laterJobs.size(), TARGET_START_MILLIS, workersAtEndOfTurn, vms));
  }

  /** Guards against a pool that lends its VMs to another until it has none left. */
  @ParameterizedTest
  @ValueSource(ints = {30, 100, 300})
  void lendingPoolLosesItsLastWorkers(int vms) {
    Play play =
        new Play(
            ImmutableMap.of(
                BUSY_POOL,
                WORKERS_OF_IDLE_POOL,
                IDLE_POOL,
                vms - WORKERS_OF_IDLE_POOL,
                SimLayout.STANDBY_POOL,
                0));
    long fewestWorkers = vms;
    for (int elapsed = 0; elapsed < 8_000; elapsed += CHECK_INTERVAL_MILLIS) {
      play.submitFor(CHECK_INTERVAL_MILLIS, vms * CORES_PER_WORKER);
      fewestWorkers = Math.min(fewestWorkers, play.fleet.workerCount(IDLE_POOL));
    }
    assertTrue(
        fewestWorkers >= WORKERS_OF_IDLE_POOL, fewestWorkers + " workers in the lending pool");
  }

  /** Guards against a pool that gets one VM at a time for long-running tasks. */
  @Test
  void longRunningTasksWaitForOneVmAfterTheOther() {
    int tasks = 12;
    Play play =
        new Play(
            ImmutableMap.of(
                BUSY_POOL, WORKERS_OF_IDLE_POOL, SimLayout.STANDBY_POOL, /* VMs */ 2 * tasks));
    play.fleet.submitToOpenQueue(
        "job",
        BUSY_POOL,
        TestJobs.step(
            tasks,
            /* cpuMillis= */ 1_000,
            /* estimatedMillis= */ 600_000,
            TestJobs.StepKind.LONG_RUNNING,
            /* maxPerWorker= */ 1));
    play.fleet.runFor(TARGET_START_MILLIS);
    assertTrue(
        play.fleet.workerCount(BUSY_POOL) >= tasks,
        play.fleet.workerCount(BUSY_POOL) + " workers for " + tasks + " tasks");
  }

  /** Guards against a pool that never grows for jobs that became late during an outage. */
  @ParameterizedTest
  @ValueSource(ints = {30, 100, 300})
  void lateJobsWaitForTwoWorkersWhileAllOtherVmsAreOff(int vms) {
    Play play =
        new Play(
            ImmutableMap.of(
                BUSY_POOL,
                WORKERS_OF_IDLE_POOL,
                SimLayout.STANDBY_POOL,
                vms - WORKERS_OF_IDLE_POOL));
    play.fleet.killNode("n0");
    play.submitFor(TARGET_START_MILLIS, vms * CORES_PER_WORKER / 2.0);
    play.fleet.runFor(/* millis= */ 15_000);
    play.fleet.startNode("n0");
    // The new process waits for the end of the lease, and the pool grows after that.
    play.fleet.runFor(/* millis= */ 5_000 + 3 * TARGET_START_MILLIS);
    assertEquals(0, play.unfinishedJobCount(), "unfinished of " + play.jobs.size() + " jobs");
  }

  /** Guards against counting a job as started when a worker was chosen but never reached. */
  @Test
  void pendingCountLeavesOutJobsThatHaveNotBegun() {
    SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 1, /* workerCount= */ 2);
    fleet.runFor(3_000);
    fleet.nodes.get("n0").setCommandOutcome(CommandOutcome.NOT_DELIVERED);
    fleet.submit("job", SimFleet.step(1, 1_000));
    fleet.runFor(3_000);
    assertTrue(fleet.guaranteeChecker.firstStartMillis("job").isEmpty(), "the job has begun");
    StoredRow counts = fleet.rowStore.findRow(PendingJobCounts.key());
    assertEquals(1, PendingJobCounts.count(counts.value(), SimFleet.QUEUE), counts.value());
  }
}
