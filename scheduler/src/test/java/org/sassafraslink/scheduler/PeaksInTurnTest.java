package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Replays two peaks in turn: the first asks for more than all VMs, so that many of its jobs are
 * late when the second begins, which all VMs together could serve.
 *
 * <p>Guards against late jobs of one pool keeping the VMs that another pool needs for jobs in time,
 * and against late jobs that are never done.
 */
class PeaksInTurnTest {
  private static final long SEED = 20261206;
  private static final String FIRST_POOL = "rounds";
  private static final String SECOND_POOL = "tallies";
  private static final int CORES_PER_WORKER = 16;
  private static final int CORES_PER_TASK = 2;
  private static final int TASKS_PER_JOB = 8;
  private static final int TASK_MILLIS = 1_000;
  private static final double MOVES_PER_SECOND_PER_VM = 0.85;
  private static final int PEAK_MILLIS = 5_000;
  private static final int STEP_MILLIS = 10;

  /** Time from the acceptance in which a job is in time, for the queues of SimLayout. */
  private static final int OBJECTIVE_MILLIS = 2 * TASK_MILLIS + 600;

  /**
   * From this time in the second peak on, jobs should be in time: the peak is noticed, a task of
   * the first pool ends and a VM is moved, less the 1.6 s that a job may wait.
   */
  private static final int SERVED_FROM_MILLIS = 2_000;

  @ParameterizedTest
  @ValueSource(ints = {30, 100, 300})
  void secondPeakIsServedBeforeLateJobsOfTheFirst(int vms) {
    SimFleet fleet =
        SimFleet.start(
            SEED,
            /* nodeCount= */ 1,
            SimLayout.withStandbyPool(
                ImmutableMap.of(FIRST_POOL, vms - 2, SECOND_POOL, 2, SimLayout.STANDBY_POOL, 0),
                (int) (vms * MOVES_PER_SECOND_PER_VM)));
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(STEP_MILLIS);
    }
    double cores = (double) vms * CORES_PER_WORKER;
    List<JobSpec> firstJobs = submitPeak(fleet, FIRST_POOL, 1.6 * cores);
    long startMillis = fleet.clock.nowMillis();
    List<JobSpec> secondJobs = submitPeak(fleet, SECOND_POOL, 0.4 * cores);
    fleet.runFor(2 * OBJECTIVE_MILLIS);
    List<JobSpec> served =
        secondJobs.stream()
            .filter(job -> job.acceptedMillis() - startMillis >= SERVED_FROM_MILLIS)
            .toList();
    long inTime = served.stream().filter(job -> isInTime(fleet, job)).count();
    assertTrue(
        inTime * 100 >= served.size() * 95L,
        String.format("%d of %d jobs in time on %d VMs", inTime, served.size(), vms));
    fleet.runFor(PEAK_MILLIS);
    long unfinished =
        firstJobs.stream().filter(job -> !fleet.guaranteeChecker.allTasksDone(job)).count();
    assertTrue(unfinished == 0, unfinished + " late jobs are not done");
  }

  /** Submits jobs that keep {@code cores} cores busy on average. */
  private static List<JobSpec> submitPeak(SimFleet fleet, String pool, double cores) {
    List<JobSpec> jobs = new ArrayList<>();
    double coreMillisDue = 0;
    for (int elapsed = 0; elapsed < PEAK_MILLIS; elapsed += STEP_MILLIS) {
      for (coreMillisDue += cores * STEP_MILLIS; coreMillisDue > 0; ) {
        coreMillisDue -= (double) TASKS_PER_JOB * CORES_PER_TASK * TASK_MILLIS;
        jobs.add(
            fleet.submitToOpenQueue(
                pool + jobs.size(),
                pool,
                SimFleet.stepOfMillis(TASK_MILLIS, TASKS_PER_JOB, CORES_PER_TASK * 1_000)));
      }
      fleet.runFor(STEP_MILLIS);
    }
    return jobs;
  }

  /** Returns whether the last task of a job started early enough. */
  private static boolean isInTime(SimFleet fleet, JobSpec job) {
    return fleet
        .guaranteeChecker
        .lastStartMillis(job.id())
        .filter(start -> start + TASK_MILLIS - job.acceptedMillis() <= OBJECTIVE_MILLIS)
        .isPresent();
  }
}
