package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Guards against a second run of a task whose start is in doubt when its row, written anew for
 * another task, names a later incarnation that has never reported.
 */
class RewrittenRowOfMovedTaskTest {
  private static final String LOST = "w0";
  private static final String OTHER = "w1";

  /**
   * @param lateMillis when the start is executed after it was sent
   * @param secondMillis how long the second scheduler schedules
   */
  @ParameterizedTest
  @CsvSource({
    "2000, 1000",
    "3000, 1000",
    "5000, 1000",
    "2000, 5000",
    "3000, 5000",
    "4000, 5000",
    "5000, 5000"
  })
  void startInDoubtIsExecutedAfterRowIsRewritten(int lateMillis, int secondMillis) {
    SimFleet fleet =
        SimFleet.start(20261208, /* nodeCount= */ 3, SimLayout.singlePool(2).withMaxLease(10_000));
    fleet.multiplyTaskTimes(1_000);
    fleet.runFor(45_000);
    fleet.network.setLateCommandDelay(lateMillis, lateMillis + 1);
    setOutcome(fleet, EnumSet.of(CommandKind.START), CommandOutcome.EXECUTED_LATE);
    fleet.submitToOpenQueue(
        "lasting",
        SimFleet.QUEUE,
        TestJobs.step(2, 1_000, 500, TestJobs.StepKind.LONG_RUNNING, /* maxPerWorker= */ 1));
    while (fleet.startCommands.stream().noneMatch(start -> start.worker().equals(LOST))) {
      fleet.runFor(1);
    }
    fleet.runFor(100);
    fleet.startWorker(LOST);
    setOutcome(fleet, EnumSet.of(CommandKind.REPORT_REQUEST), CommandOutcome.NOT_DELIVERED);
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.startWorker("s0");
    fleet.startWorker("s1");
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(10);
    }
    fleet.runFor(500);
    // Its task runs again, so the row of the job is written anew.
    fleet.startWorker(OTHER);
    fleet.runFor(secondMillis);
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.runFor(60_000);
    assertAll(
        () -> assertEquals(List.of(), fleet.guaranteeChecker.violations()),
        () -> assertEquals(List.of(), fleet.guaranteeChecker.runHistory().duplicateRuns()));
  }

  private static void setOutcome(SimFleet fleet, Set<CommandKind> kinds, CommandOutcome outcome) {
    fleet.nodes.keySet().forEach(node -> fleet.network.setOutcome(node, LOST, kinds, outcome));
  }
}
