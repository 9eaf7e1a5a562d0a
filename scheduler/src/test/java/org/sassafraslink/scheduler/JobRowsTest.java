package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.scheduler.JobRows.Kind;

/** Guards against a cancellation that is ignored because it is read before its submission. */
class JobRowsTest {
  private static StoredRow row(String jobId, Kind kind) {
    return new StoredRow(JobRows.key(jobId, kind), "", /* version= */ 1, /* deleted= */ false);
  }

  @Test
  void cancellationIsAppliedAfterSubmissionOfItsJob() {
    StoredRow cancellation = row("job1", Kind.CANCELLATION);
    StoredRow progress = row("job2", Kind.PROGRESS);
    StoredRow submission = row("job1", Kind.SUBMISSION);
    StoredRow otherSubmission = row("job2", Kind.SUBMISSION);
    assertEquals(
        ImmutableList.of(submission, otherSubmission, cancellation, progress),
        JobRows.submissionsFirst(
            ImmutableList.of(cancellation, progress, submission, otherSubmission)));
  }
}
