package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.FakeRowStore;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Guards against tasks that run twice, or not at all, and against waiting jobs that callers do not
 * see, while two pools have their peaks in turn, the platform's interface for VMs has
 * interruptions, workers are lost and schedulers take over.
 *
 * <p>The system properties {@code vmSequences} and {@code vmFirstSeed} select other sequences than
 * the few of a usual run.
 */
class VmMoveSoakTest {
  private static final int SEQUENCES = Integer.getInteger("vmSequences", 60);
  private static final long FIRST_SEED = Long.getLong("vmFirstSeed", 20261207);

  private static final List<String> NODES = List.of("n0", "n1", "n2");
  private static final List<String> POOLS = List.of("rounds", "tallies");
  private static final int STANDBY_VMS = 6;
  private static final int PEAKS = 6;
  private static final int PEAK_MILLIS = 4_000;
  private static final int FAULTS = 14;

  /**
   * After the last peak, all VMs together have worked off its jobs, those of takeovers included.
   */
  private static final int FINISH_MILLIS = 60_000;

  /** How long lost workers are away at least, in ms. */
  private static final int LOSS_MILLIS = 7_000;

  /** From this time after their acceptance on, jobs that have not begun are counted as pending. */
  private static final int VISIBLE_MILLIS = 5_000;

  private enum Fault {
    VM_CALLS_SILENT,
    VM_LISTS_REJECTED,
    VM_RESPONSES_LOST,
    WORKER_RESTARTS,
    /** All workers of a pool are lost, and start again after some time. */
    WORKERS_LOST,
    SCHEDULER_KILLED,
    SCHEDULER_STOPPED,
    STORE_LOSES_RESPONSES
  }

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEQUENCES);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void eachTaskRunsOnceWhileVmsAreMoved(long seed) {
    Random random = new Random(seed);
    SimFleet fleet =
        SimFleet.start(
            seed,
            NODES.size(),
            SimLayout.withStandbyPool(
                ImmutableMap.of(
                    POOLS.get(0), 2, POOLS.get(1), 2, SimLayout.STANDBY_POOL, STANDBY_VMS),
                /* movesPerSecond= */ 10));
    fleet.runFor(3_000);
    for (int i = 0; i < FAULTS; i++) {
      Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
      int atMillis = random.nextInt(PEAKS * PEAK_MILLIS);
      int durationMillis = 200 + random.nextInt(2_200);
      fleet.clock.runAfter(atMillis, () -> inject(fleet, fault, durationMillis));
    }
    Map<String, List<JobSpec>> jobsByPool = new LinkedHashMap<>();
    List<String> hiddenJobs = new ArrayList<>();
    for (int peak = 0; peak < PEAKS; peak++) {
      String pool = POOLS.get(peak % POOLS.size());
      List<JobSpec> jobs = jobsByPool.computeIfAbsent(pool, name -> new ArrayList<>());
      submitPeak(fleet, random, pool, jobs, () -> addHiddenJobs(fleet, jobsByPool, hiddenJobs));
    }
    fleet.runFor(FINISH_MILLIS);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(List.of(), hiddenJobs);
    jobsByPool
        .values()
        .forEach(
            jobs ->
                jobs.forEach(
                    job ->
                        assertEquals(
                            Optional.of(JobState.COMPLETED),
                            fleet.checkedState(job.id()),
                            job.id())));
  }

  /** Adds the pools of whose waiting jobs callers see less than half among the pending ones. */
  private static void addHiddenJobs(
      SimFleet fleet, Map<String, List<JobSpec>> jobsByPool, List<String> hiddenJobs) {
    long now = fleet.clock.nowMillis();
    String counts = fleet.rowStore.findRow(PendingJobCounts.key()).value();
    jobsByPool.forEach(
        (pool, jobs) -> {
          long waiting =
              jobs.stream()
                  .filter(job -> now - job.acceptedMillis() > VISIBLE_MILLIS)
                  .filter(job -> fleet.guaranteeChecker.firstStartMillis(job.id()).isEmpty())
                  .count();
          long shown = PendingJobCounts.count(counts, pool);
          if (shown * 2 < waiting) {
            hiddenJobs.add(now + " " + pool + ": " + shown + " of " + waiting);
          }
        });
  }

  private static void submitPeak(
      SimFleet fleet, Random random, String pool, List<JobSpec> jobs, Runnable afterStep) {
    int taskMillis = 200 + random.nextInt(1_500);
    for (int elapsed = 0; elapsed < PEAK_MILLIS; elapsed += 100) {
      if (random.nextInt(3) > 0) {
        String id = pool + jobs.size();
        jobs.add(
            fleet.submitToOpenQueue(
                id, pool, SimFleet.stepOfMillis(taskMillis, 4 + random.nextInt(6), 2_000)));
      }
      fleet.runFor(100);
      afterStep.run();
    }
  }

  private static void inject(SimFleet fleet, Fault fault, int durationMillis) {
    switch (fault) {
      case VM_CALLS_SILENT -> fleet.silenceVmPlatform(durationMillis);
      case VM_LISTS_REJECTED -> fleet.rejectVmLists(durationMillis);
      case VM_RESPONSES_LOST -> {
        fleet.setVmResponsesLost(true);
        fleet.clock.runAfter(durationMillis, () -> fleet.setVmResponsesLost(false));
      }
      case WORKERS_LOST -> {
        List<String> vms = fleet.vmsWithWorkers(POOLS.get(0));
        vms.forEach(fleet::crashWorkerOn);
        fleet.clock.runAfter(
            LOSS_MILLIS + durationMillis, () -> vms.forEach(fleet::restartWorkerOn));
      }
      case WORKER_RESTARTS -> fleet.restartWorkerOn(POOLS.get(0) + "-0");
      case SCHEDULER_KILLED -> fleet.schedulingNodeName().ifPresent(fleet::startNode);
      case SCHEDULER_STOPPED -> fleet.schedulingNodeName().ifPresent(name -> stop(fleet, name));
      case STORE_LOSES_RESPONSES ->
          fleet
              .schedulingNodeName()
              .ifPresent(
                  name -> {
                    fleet.rowStore.setBehavior(name, FakeRowStore.Behavior.LOSES_RESPONSES);
                    fleet.clock.runAfter(
                        durationMillis,
                        () -> fleet.rowStore.setBehavior(name, FakeRowStore.Behavior.NORMAL));
                  });
    }
  }

  /** Stops a process gracefully, and starts another one on its node a second later. */
  private static void stop(SimFleet fleet, String name) {
    fleet.nodes.get(name).stop();
    fleet.clock.runAfter(1_000, () -> fleet.startNode(name));
  }
}
