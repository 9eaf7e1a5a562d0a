package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Guards against tasks that run twice because a VM that has arrived in its pool is moved there
 * again, by a list of VMs that still shows it in the standby pool.
 */
class OutdatedVmListTest {
  private static final long SEED = 20261207;
  private static final String POOL = "rounds";
  private static final int CORES_PER_TASK = 2;
  private static final int STANDBY_VMS = 8;
  private static final int JOBS = 24;
  private static final int TASKS_PER_JOB = 8;

  private final SimFleet fleet =
      SimFleet.start(
          SEED,
          /* nodeCount= */ 2,
          SimLayout.withStandbyPool(
              ImmutableMap.of(POOL, 2, SimLayout.STANDBY_POOL, STANDBY_VMS),
              /* movesPerSecond= */ 10));

  /** Times from which on lists are missing, before, while and after VMs are moved. */
  static IntStream timesMillis() {
    return IntStream.iterate(0, millis -> millis <= 1_500, millis -> millis + 100);
  }

  /** Submits jobs for more workers than there are, one every 100 ms. */
  private void submitJobs() {
    for (int i = 0; i < JOBS; i++) {
      fleet.submitToOpenQueue(
          jobId(i), POOL, SimFleet.stepOfMillis(1_500, TASKS_PER_JOB, CORES_PER_TASK * 1_000));
      fleet.runFor(100);
    }
  }

  private static String jobId(int number) {
    return "job" + number;
  }

  private void assertEachTaskRanOnce() {
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    for (int i = 0; i < JOBS; i++) {
      assertEquals(JobState.COMPLETED, fleet.checkedState(jobId(i)).orElseThrow());
    }
  }

  /** Guards against decisions on a list that was requested before the last move of a VM. */
  @ParameterizedTest
  @MethodSource("timesMillis")
  void vmIsMovedAgainAfterItsArrivalWhileListsAreMissing(int atMillis) {
    fleet.runFor(3_000);
    fleet.clock.runAfter(atMillis, () -> fleet.rejectVmLists(1_800));
    submitJobs();
    fleet.runFor(30_000);
    assertEquals(0, fleet.vmMovesDoneAlready());
    assertEachTaskRanOnce();
  }

  /** Guards against the end of a worker by a move that was done before the worker started. */
  @ParameterizedTest
  @ValueSource(ints = {1_500, 2_000, 2_500})
  void workerIsEndedByMoveThatWasDoneAlready(int listLagMillis) {
    fleet.runFor(3_000);
    fleet.setVmListLag(listLagMillis);
    submitJobs();
    fleet.runFor(30_000);
    assertEachTaskRanOnce();
  }
}
