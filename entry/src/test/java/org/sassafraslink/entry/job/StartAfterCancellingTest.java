package org.sassafraslink.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sassafraslink.entry.job.EntryVms.Call;
import org.sassafraslink.entry.job.LateRowStore.Behavior;
import org.sassafraslink.entry.job.SchedulingVm.StartedTask;

/** Guards against tasks that start after the cancelling of their job was acknowledged. */
class StartAfterCancellingTest {
  private static final String JOB_ID = "5c0e7a21d94b36f8";
  private static final String BODY =
      "{\"spec\":\"x\",\"phases\":[{\"count\":3,\"cpu\":500,\"memMb\":256,"
          + "\"estimatedMs\":700,\"longRunning\":true}]}";

  private static final int TASKS = 3;
  private static final int DRAINS = 4;
  private static final int DRAIN_INTERVAL_MILLIS = 2_000;

  /** How long after the acknowledgement a start is allowed, in ms. */
  private static final int MAX_START_MILLIS = 4_000;

  private final EntryVms vms = EntryVms.start(3);
  private final SchedulingVm scheduling = SchedulingVm.start(vms, "w0");

  /** What becomes of an insert of the job that the entry VM sent before it ended. */
  private enum FirstInsert {
    LOST,
    APPLIED_BEFORE_CANCELLING,
    APPLIED_AFTER_CANCELLING,
    APPLIED_AFTER_SUBMISSION
  }

  private void drainWorkersInTurn() {
    for (int drain = 1; drain <= DRAINS; drain++) {
      vms.runFor(DRAIN_INTERVAL_MILLIS);
      scheduling.putWorker("w" + drain, "ready");
      scheduling.putWorker("w" + (drain - 1), "draining");
    }
    vms.runFor(DRAIN_INTERVAL_MILLIS);
  }

  @ParameterizedTest
  @EnumSource(FirstInsert.class)
  void submissionIsRepeatedAfterItsEntryVmEndedAndItWasCancelled(FirstInsert firstInsert) {
    vms.runFor(3_000);
    vms.store.setBehavior(Behavior.SILENT);
    Call first = vms.submit(0, JOB_ID, BODY);
    vms.end(0);
    vms.store.setBehavior(Behavior.NORMAL);
    if (firstInsert == FirstInsert.APPLIED_BEFORE_CANCELLING) {
      vms.store.applyLate();
      vms.runFor(1_000);
    }
    assertEquals(0, first.status());
    int status = vms.cancel(1, JOB_ID).status();
    assertEquals(firstInsert == FirstInsert.APPLIED_BEFORE_CANCELLING ? 200 : 410, status);
    long acknowledgedMillis = vms.clock().monotonicMillis();
    vms.runFor(300);
    if (firstInsert == FirstInsert.APPLIED_AFTER_CANCELLING) {
      vms.store.applyLate();
    }
    Call again = vms.submit(2, JOB_ID, BODY);
    if (firstInsert == FirstInsert.APPLIED_AFTER_SUBMISSION) {
      vms.store.applyLate();
    }
    drainWorkersInTurn();
    List<StartedTask> late =
        scheduling.starts.stream()
            .filter(start -> start.millis() > acknowledgedMillis + MAX_START_MILLIS)
            .toList();
    assertTrue(
        late.isEmpty(),
        () ->
            "repeated submission answered "
                + again.status()
                + "; "
                + late
                + " after "
                + acknowledgedMillis);
  }

  /** Checks that the test above has tasks that start after each drain. */
  @Test
  void longRunningTasksStartAgainAfterEachDrain() {
    vms.runFor(3_000);
    vms.submit(2, JOB_ID, BODY);
    drainWorkersInTurn();
    assertEquals(TASKS * (1 + DRAINS), scheduling.starts.size(), scheduling.starts.toString());
  }
}
