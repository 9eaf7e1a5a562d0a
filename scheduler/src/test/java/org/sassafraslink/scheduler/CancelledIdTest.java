package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;

/**
 * Guards against rows of cancelled ids that are deleted too early, so that a late insert stores the
 * job, or never, and against a job that never runs because its id was cancelled long before.
 */
class CancelledIdTest {
  private static final long SEED = 20261207;
  private static final String JOB_ID = "a";
  private static final RowKey KEY = JobRows.key(JOB_ID, Kind.ENDED);

  /** The longest wait of a caller, 120 s, and the longest delay of a write, some seconds. */
  private static final int LATEST_INSERT_MILLIS = 132_000;

  /** 1.5 times the configured retention of 120 s. */
  private static final int RETENTION_MILLIS = 180_000;

  private static final int MAX_DELETION_MILLIS = RETENTION_MILLIS + 5_000;

  private final SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 3, /* workerCount= */ 4);

  private void cancelId() {
    cancelId(fleet);
  }

  private static void cancelId(SimFleet fleet) {
    fleet.runFor(1_500);
    putCancelledId(fleet);
  }

  private static void putCancelledId(SimFleet fleet) {
    Put row = JobRows.cancelledId(JOB_ID);
    fleet.rowStore.putRow(row.key().table(), row.key().partition(), row.key().key(), row.value());
  }

  private void loseResponses() {
    List.copyOf(fleet.nodes.keySet())
        .forEach(node -> fleet.rowStore.setBehavior(node, Behavior.LOSES_RESPONSES));
  }

  private void answerAgain() {
    List.copyOf(fleet.nodes.keySet())
        .forEach(node -> fleet.rowStore.setBehavior(node, Behavior.NORMAL));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void rowIsKeptUntilNoInsertCanFollowAndThenDeleted(boolean schedulersRestart) {
    cancelId();
    fleet.runFor(1_000);
    if (schedulersRestart) {
      List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
    }
    fleet.runFor(LATEST_INSERT_MILLIS);
    assertTrue(fleet.rowStore.hasRow(KEY));
    fleet.runFor(MAX_DELETION_MILLIS - LATEST_INSERT_MILLIS);
    assertFalse(fleet.rowStore.hasRow(KEY));
  }

  @Test
  void cancelledIdHasNoState() {
    cancelId();
    assertEquals(Optional.empty(), JobRows.jobState(ImmutableList.of(fleet.rowStore.findRow(KEY))));
  }

  /** Guards against a job that is ignored because the scheduler still remembers its id. */
  @Test
  void jobRunsThatIsSubmittedAfterTheResponseToTheDeletionWasLost() {
    cancelId();
    fleet.runFor(1_000);
    fleet.rowStore.deleteRow(KEY.table(), KEY.partition(), KEY.key());
    fleet.submit(JOB_ID, SimFleet.step(2, 1_000));
    fleet.runFor(10_000);
    assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState(JOB_ID));
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  /** Returns when the row of the cancelled id is deleted if nothing disturbs that. */
  private long deletionMillis() {
    SimFleet undisturbed = SimFleet.start(SEED, /* nodeCount= */ 3, /* workerCount= */ 4);
    cancelId(undisturbed);
    for (int i = 0; i < MAX_DELETION_MILLIS && undisturbed.rowStore.hasRow(KEY); i++) {
      undisturbed.runFor(1);
    }
    return undisturbed.clock.nowMillis();
  }

  /** Guards against a late insert of a job whose id was cancelled for the second time. */
  @ParameterizedTest
  @ValueSource(ints = {0, 20, 200})
  void idIsCancelledAgainAfterTheResponseToTheDeletionWasLost(int millisAfterDeletion) {
    cancelId();
    fleet.runFor(deletionMillis() - fleet.clock.nowMillis() - 10);
    loseResponses();
    fleet.runFor(20);
    assertFalse(fleet.rowStore.hasRow(KEY));
    fleet.runFor(millisAfterDeletion);
    putCancelledId(fleet);
    answerAgain();
    fleet.runFor(LATEST_INSERT_MILLIS);
    assertTrue(fleet.rowStore.hasRow(KEY));
    fleet.runFor(MAX_DELETION_MILLIS - LATEST_INSERT_MILLIS);
    assertFalse(fleet.rowStore.hasRow(KEY));
  }

  /** Guards against an accepted job that never runs, since its id was cancelled long before. */
  @Test
  void jobRunsWhoseIdIsUsedAgainDuringATakeover() {
    cancelId();
    fleet.runFor(1_000);
    fleet.nodes.values().forEach(node -> node.setOperatorReadsFail(true));
    List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNodeWithFailingOperatorReads);
    fleet.runFor(10_000);
    assertEquals(Optional.empty(), fleet.schedulingNodeName());
    fleet.rowStore.deleteRow(KEY.table(), KEY.partition(), KEY.key());
    fleet.submit(JOB_ID, SimFleet.step(2, 1_000));
    fleet.runFor(2_000);
    fleet.nodes.values().forEach(node -> node.setOperatorReadsFail(false));
    fleet.runFor(20_000);
    assertTrue(fleet.schedulingNodeName().isPresent());
    assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState(JOB_ID));
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }
}
