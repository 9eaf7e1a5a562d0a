package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.SimFleet;

/** Guards against tasks that wait for ever for a worker that only their job's row names. */
class UnlistedWorkerTest {
  private static final long SEED = 20261205;

  @ParameterizedTest
  @ValueSource(ints = {0, 1_000, 4_000, 4_600, 5_200})
  void tasksOfUnlistedWorkerAreNeverReleased(int killMillis) {
    SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 2, /* workerCount= */ 4);
    fleet.runFor(3_000);
    fleet.multiplyTaskTimes(10);
    fleet.submit("a", SimFleet.step(8, 4_000));
    fleet.runFor(500);
    fleet.crashWorker("w0");
    fleet.runFor(killMillis);
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.runFor(60_000);
    assertEquals(JobState.COMPLETED, fleet.checkedState("a").orElseThrow());
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }
}
