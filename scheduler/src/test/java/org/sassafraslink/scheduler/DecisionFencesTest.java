package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.sim.DisabledMechanism;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNode;

/**
 * Guards against decisions of a deposed scheduler that take effect after another one has read the
 * rows of jobs, and against a scheduler that starts before all its fences are written.
 */
class DecisionFencesTest {
  private static final long SEED = 20261204;

  /** Longest time from the end of a scheduler or of a fault until another process schedules. */
  private static final int TAKEOVER_MILLIS = 4_000;

  private static final int JOBS = 24;

  private static SimFleet fleet(long seed, int nodes) {
    SimFleet fleet = SimFleet.start(seed, nodes, /* workerCount= */ 4);
    fleet.runFor(1_500);
    return fleet;
  }

  private static String schedulingNode(SimFleet fleet) {
    return fleet.schedulingNodeName().orElseThrow();
  }

  private static void submitJobs(SimFleet fleet) {
    IntStream.range(0, JOBS).forEach(i -> fleet.submit("job" + i, SimFleet.step(2, 100)));
  }

  private static void assertAllCompleted(SimFleet fleet, String context) {
    for (int i = 0; i < JOBS; i++) {
      assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState("job" + i), context);
    }
    assertEquals(List.of(), fleet.guaranteeChecker.violations(), context);
  }

  private static Set<String> fenceValues(SimFleet fleet) {
    Set<String> values = new HashSet<>();
    for (String partition : JobRows.decisionPartitions()) {
      StoredRow row = fleet.rowStore.findRow(DecisionFences.key(partition));
      values.add(row == null ? "" : row.value());
    }
    return values;
  }

  /** Lets the scheduler's commits be applied 3 s late, when another process schedules. */
  private static SimFleet fleetAfterLateCommits(
      int killMillis, Optional<DisabledMechanism> disabled) {
    SimFleet fleet = fleet(SEED + killMillis, /* nodes= */ 3);
    disabled.ifPresent(fleet::disable);
    String deposed = schedulingNode(fleet);
    fleet.rowStore.setBehavior(deposed, Behavior.APPLIES_TRANSACTIONS_LATE);
    submitJobs(fleet);
    fleet.runFor(killMillis);
    fleet.killNode(deposed);
    fleet.runFor(20_000);
    assertFalse(deposed.equals(schedulingNode(fleet)));
    return fleet;
  }

  /** Guards against a deposed scheduler's commits that the store applies after the takeover. */
  @ParameterizedTest
  @ValueSource(ints = {60, 200, 400, 800})
  void lateCommitOfDeposedSchedulerIsRejected(int killMillis) {
    assertAllCompleted(fleetAfterLateCommits(killMillis, Optional.empty()), "kill " + killMillis);
  }

  /** Shows that the test above fails if the commits do not check the fences. */
  @ParameterizedTest
  @EnumSource(names = {"COMMIT_CHECKS", "DECISION_FENCE_CHECKS"})
  void lateCommitTakesEffectWithoutFenceChecks(DisabledMechanism disabled) {
    SimFleet fleet = fleetAfterLateCommits(/* killMillis= */ 200, Optional.of(disabled));
    assertTrue(
        fleet.guaranteeChecker.violations().stream()
            .anyMatch(violation -> violation.contains("STALE_DECISION")),
        fleet.guaranteeChecker.violations().toString());
  }

  /** Guards against reading the rows of jobs while a predecessor may still change them. */
  @Test
  void schedulerDoesNotStartBeforeAllFencesAreWritten() {
    SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 1, /* workerCount= */ 4);
    boolean isScheduling = false;
    for (int elapsed = 0; elapsed < 1_500; elapsed++) {
      fleet.runFor(1);
      isScheduling = fleet.schedulingNodeName().isPresent();
      if (isScheduling) {
        break;
      }
    }
    assertTrue(isScheduling);
    Set<String> values = fenceValues(fleet);
    assertEquals(1, values.size(), values.toString());
    assertFalse(values.contains(""));
  }

  /** Guards against a fence write whose response is lost and that is never recognized as ours. */
  @ParameterizedTest
  @EnumSource(
      value = Behavior.class,
      names = {"LOSES_RESPONSES", "APPLIES_TRANSACTIONS_LATE", "UNRESPONSIVE", "FAILS_CALLS"})
  void faultyStoreWhileFencesAreWritten(Behavior behavior) {
    for (int faultMillis = 0; faultMillis < 200; faultMillis += 10) {
      SimFleet fleet = fleet(SEED + faultMillis, /* nodes= */ 3);
      submitJobs(fleet);
      fleet.killNode(schedulingNode(fleet));
      fleet.runFor(faultMillis);
      List<String> nodes = List.copyOf(fleet.nodes.keySet());
      nodes.forEach(node -> fleet.rowStore.setBehavior(node, behavior));
      fleet.runFor(1_500);
      nodes.forEach(node -> fleet.rowStore.setBehavior(node, Behavior.NORMAL));
      fleet.runFor(TAKEOVER_MILLIS + 16_000);
      assertAllCompleted(fleet, behavior + " at ms " + faultMillis);
    }
  }

  /** Guards against a process that is paused while it writes fences and finishes them later. */
  @Test
  void processPausedWhileFencingDoesNotReplaceNewerFences() {
    for (int pauseMillis = 0; pauseMillis < 200; pauseMillis += 5) {
      SimFleet fleet = fleet(SEED + pauseMillis, /* nodes= */ 3);
      submitJobs(fleet);
      fleet.killNode(schedulingNode(fleet));
      fleet.runFor(pauseMillis);
      Optional<SimNode> successor =
          fleet.nodes.values().stream()
              .filter(node -> fleet.holderNode().equals(Optional.of(node.name())))
              .findFirst();
      successor.ifPresent(SimNode::pause);
      fleet.runFor(TAKEOVER_MILLIS);
      successor.ifPresent(node -> node.resume(/* clockStopMillis= */ TAKEOVER_MILLIS));
      fleet.runFor(16_000);
      Set<String> values = fenceValues(fleet);
      assertEquals(1, values.size(), "pause at ms " + pauseMillis + ": " + values);
      assertAllCompleted(fleet, "pause at ms " + pauseMillis);
    }
  }

  /** Guards against jobs that are lost or run twice because a previous version accepted them. */
  @ParameterizedTest
  @ValueSource(ints = {0, 150, 300, 600, 900, 1_500})
  void jobsOfPreviousVersionSurviveTheUpgrade(int restartMillis) {
    SimFleet fleet = fleet(SEED + restartMillis, /* nodes= */ 3);
    fleet.submitToPreviousVersion("old", SimFleet.step(4, 100), SimFleet.step(4, 100, 0));
    fleet.submitToPreviousVersion("cancelled", SimFleet.step(4, 100), SimFleet.step(4, 100, 0));
    fleet.runFor(restartMillis);
    List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
    fleet.cancel("cancelled");
    fleet.runFor(12_000);
    assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState("old"));
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertTrue(fleet.rowStore.hasRow(fleet.rowKey("old", Kind.FINAL)));
    assertFalse(fleet.rowStore.hasRow(JobRows.key("old", Kind.FINAL)));
    assertTrue(fleet.checkedState("cancelled").map(JobState::isFinal).orElse(false));
    fleet.runFor(200_000);
    for (Kind kind : Kind.values()) {
      assertFalse(fleet.rowStore.hasRow(fleet.rowKey("old", kind)), kind + " is not deleted");
    }
  }
}
