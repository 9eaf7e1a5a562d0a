package org.sassafraslink.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.entry.job.EntryVms.Call;
import org.sassafraslink.entry.job.LateRowStore.Behavior;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Guards against a job that runs although its cancelling was acknowledged with 410, since its
 * submission is stored afterwards.
 */
class CancelledSubmissionTest {
  private static final String JOB_ID = "5c0e7a21d94b36f8";

  private final EntryVms vms = EntryVms.start(2);

  private boolean isStored(String jobId) {
    return vms.store.has(JobRows.key(jobId, Kind.SUBMISSION));
  }

  /** Submits a job while the store is silent, so that its caller gets no definite answer. */
  private void submitDuringSilence(String jobId) {
    vms.store.setBehavior(Behavior.SILENT);
    Call call = vms.submit(0, jobId);
    vms.runFor(EntryVms.WAIT_MILLIS);
    vms.store.setBehavior(Behavior.NORMAL);
    assertEquals(504, call.status());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void lateInsertIsAppliedAfterCancelling(int cancellingVm) {
    submitDuringSilence(JOB_ID);
    assertEquals(410, vms.cancel(cancellingVm, JOB_ID).status());
    vms.store.applyLate();
    assertFalse(isStored(JOB_ID));
    assertEquals(410, vms.state(cancellingVm, JOB_ID).status());
  }

  @Test
  void jobThatWasStoredBeforeIsCancelled() {
    submitDuringSilence(JOB_ID);
    vms.store.applyLate();
    assertEquals(200, vms.cancel(1, JOB_ID).status());
    assertTrue(vms.store.has(JobRows.key(JOB_ID, Kind.CANCELLATION)));
  }

  @Test
  void jobThatIsStoredWhileItsIdIsCancelledIsCancelled() {
    submitDuringSilence(JOB_ID);
    vms.store.setBeforeNextCommit(vms.store::applyLate);
    assertEquals(200, vms.cancel(1, JOB_ID).status());
    assertTrue(vms.store.has(JobRows.key(JOB_ID, Kind.CANCELLATION)));
  }

  /** Guards against an acceptance of a job that is cancelled, or a job that runs after all. */
  @ParameterizedTest
  @CsvSource({"0, 0", "0, 1", "1, 0", "1, 1"})
  void cancelledIdIsSubmittedAgain(int cancellingVm, int submittingVm) {
    submitDuringSilence(JOB_ID);
    assertEquals(410, vms.cancel(cancellingVm, JOB_ID).status());
    Call again = vms.submit(submittingVm, JOB_ID);
    assertEquals(503, again.status());
    assertTrue(again.body().contains("job-cancelled"), again.body());
    assertFalse(isStored(JOB_ID));
    assertEquals(410, vms.state(submittingVm, JOB_ID).status());
  }

  @Test
  void cancellingIsRepeatedWithoutAnotherWrite() {
    assertEquals(410, vms.cancel(0, JOB_ID).status());
    int commits = vms.store.commits();
    assertEquals(410, vms.cancel(1, JOB_ID).status());
    assertEquals(commits, vms.store.commits());
  }

  /** Guards against neighbours in a transaction that are rejected or sent for ever. */
  @Test
  void cancelledJobSharesATransactionWithOthers() {
    List<String> ids =
        IntStream.range(0, 10_000)
            .mapToObj(i -> String.format(Locale.ROOT, "%016x", i))
            .filter(
                id -> JobRows.submissionPartition(id).equals(JobRows.submissionPartition(JOB_ID)))
            .limit(40)
            .toList();
    assertEquals(410, vms.cancel(1, JOB_ID).status());
    vms.store.setBehavior(Behavior.REJECTS_CALLS);
    List<Call> calls = new ArrayList<>();
    Call cancelled = vms.submit(0, JOB_ID);
    ids.forEach(id -> calls.add(vms.submit(0, id)));
    vms.store.setBehavior(Behavior.NORMAL);
    int commits = vms.store.commits();
    vms.runFor(100);
    assertEquals(503, cancelled.status());
    calls.forEach(call -> assertEquals(200, call.status()));
    assertTrue(vms.store.commits() - commits <= 4, vms.store.commits() - commits + " transactions");
  }

  /** Guards against an acknowledgement of a cancelling that is not stored. */
  @ParameterizedTest
  @EnumSource(LateRowStore.Behavior.class)
  void cancellingIsAcknowledgedOnlyOnceItIsStored(Behavior behavior) {
    submitDuringSilence(JOB_ID);
    vms.store.setBehavior(behavior);
    Call cancelled = vms.cancel(1, JOB_ID);
    vms.runFor(EntryVms.WAIT_MILLIS);
    vms.store.setBehavior(Behavior.NORMAL);
    vms.store.applyLate();
    assertEquals(
        switch (behavior) {
          case NORMAL, LOSES_RESPONSES -> 410;
          case SILENT -> 504;
          case REJECTS_CALLS -> 503;
        },
        cancelled.status());
    assertEquals(cancelled.status() != 410, isStored(JOB_ID));
  }

  /** Guards against a claim that nothing was changed after a transaction without a response. */
  @ParameterizedTest
  @CsvSource({"NORMAL, 410", "SILENT, 504", "REJECTS_CALLS, 504"})
  void storeFailsAfterTheResponseWasLost(Behavior behaviorAfterwards, int status) {
    vms.store.loseNextResponseThen(behaviorAfterwards);
    Call cancelled = vms.cancel(1, JOB_ID);
    vms.runFor(EntryVms.WAIT_MILLIS);
    assertEquals(status, cancelled.status());
  }

  /** Guards against callers that fill the store, and the scheduler's memory, with cancelled ids. */
  @Test
  void idsThatNeverExistedAreCancelled() {
    int rows = vms.store.rowCount();
    int seconds = 4;
    int limited = 0;
    for (int i = 0; i < seconds * 1_000; i++) {
      Call call = vms.cancel(0, String.format(Locale.ROOT, "%016x", i));
      limited += call.status() == 503 ? 1 : 0;
      vms.runFor(1);
    }
    int stored = vms.store.rowCount() - rows;
    assertEquals(seconds * 1_000, stored + limited);
    assertTrue(stored <= 100 + 5 * seconds, stored + " rows");
    assertEquals(200, vms.submit(0, JOB_ID).status());
    assertEquals(200, vms.cancel(0, JOB_ID).status());
  }
}
