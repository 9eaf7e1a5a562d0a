package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Replays the start of a burst: the demand of a pool rises at once to several times what the pool
 * holds, while all other VMs are powered off.
 *
 * <p>Guards against a pool that gets its VMs so late, or so few of them, that it stays behind until
 * the end of the burst.
 */
class BurstStartTest {
  private static final long SEED = 20261205;
  private static final String POOL = "rounds";
  private static final int CORES_PER_WORKER = 16;
  private static final int CORES_PER_TASK = 2;
  private static final int MAX_TASKS_PER_JOB = 15;
  private static final int TASK_MILLIS = 1_000;
  private static final double MOVES_PER_SECOND_PER_VM = 0.85;
  private static final int BURST_MILLIS = 5_000;
  private static final int STEP_MILLIS = 10;

  /**
   * Time from the acceptance in which a job of one step is in time, for the queues of SimLayout.
   */
  private static final int OBJECTIVE_MILLIS = 2 * TASK_MILLIS + 600;

  /**
   * From this time in the burst on, jobs should be in time: a job may wait for 1.6 s, a VM takes
   * 1.5 s to move, and 0.9 s are left to notice the burst and to serve those that already wait.
   */
  private static final int SERVED_FROM_MILLIS = 800;

  @ParameterizedTest
  @ValueSource(ints = {30, 100, 300})
  void jobsAreInTimeOnceTheFirstVmsCanHaveArrived(int vms) {
    int ownVms = vms / 10;
    SimFleet fleet =
        SimFleet.start(
            SEED,
            /* nodeCount= */ 1,
            SimLayout.withStandbyPool(
                ImmutableMap.of(POOL, ownVms, SimLayout.STANDBY_POOL, vms - ownVms),
                (int) (vms * MOVES_PER_SECOND_PER_VM)));
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(STEP_MILLIS);
    }
    long startMillis = fleet.clock.nowMillis();
    List<JobSpec> jobs = submitBurst(fleet, /* cores= */ vms * CORES_PER_WORKER / 3.0);
    fleet.runFor(2 * OBJECTIVE_MILLIS);
    List<JobSpec> served =
        jobs.stream()
            .filter(job -> job.acceptedMillis() - startMillis >= SERVED_FROM_MILLIS)
            .toList();
    long inTime = served.stream().filter(job -> isInTime(fleet, job)).count();
    assertTrue(
        inTime * 100 >= served.size() * 95L,
        String.format("%d of %d jobs in time on %d VMs", inTime, served.size(), vms));
  }

  /** Submits jobs of uneven sizes that keep {@code cores} cores busy on average. */
  private static List<JobSpec> submitBurst(SimFleet fleet, double cores) {
    Random random = new Random(SEED);
    List<JobSpec> jobs = new ArrayList<>();
    double coreMillisDue = 0;
    for (int elapsed = 0; elapsed < BURST_MILLIS; elapsed += STEP_MILLIS) {
      coreMillisDue += cores * STEP_MILLIS;
      while (coreMillisDue > 0) {
        int tasks = 1 + random.nextInt(MAX_TASKS_PER_JOB);
        coreMillisDue -= (double) tasks * CORES_PER_TASK * TASK_MILLIS;
        jobs.add(
            fleet.submitToOpenQueue(
                "job" + jobs.size(),
                POOL,
                SimFleet.stepOfMillis(TASK_MILLIS, tasks, CORES_PER_TASK * 1_000)));
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
