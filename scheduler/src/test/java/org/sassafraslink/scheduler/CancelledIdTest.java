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
    fleet.runFor(1_500);
    Put row = JobRows.cancelledId(JOB_ID);
    fleet.rowStore.putRow(row.key().table(), row.key().partition(), row.key().key(), row.value());
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
}
