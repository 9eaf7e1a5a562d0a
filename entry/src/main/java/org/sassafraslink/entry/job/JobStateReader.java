package org.sassafraslink.entry.job;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.platform.fleet.JobCodec;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/** Reads the rows that determine a job's state. */
public final class JobStateReader {
  private final RowStore store;

  private JobStateReader(RowStore store) {
    this.store = store;
  }

  /** Returns a reader of the rows in {@code store}. */
  public static JobStateReader of(RowStore store) {
    return new JobStateReader(store);
  }

  /**
   * The rows that determine a job's state.
   *
   * @param decisionPartition the partition for the job's cancellation
   */
  public record StateRows(String decisionPartition, ImmutableList<StoredRow> rows) {
    /** Returns the state of the job, or empty if there is no such job. */
    public Optional<JobState> state() {
      return JobRows.jobState(rows);
    }

    /** Returns whether the id was cancelled before any submission of it was stored. */
    boolean isCancelledId() {
      return JobRows.findRow(rows, Kind.ENDED).map(JobRows::isCancelledId).orElse(false);
    }

    /** Returns the version of the newest row, or {@link RowStore#ABSENT} if there is none. */
    long newestVersion() {
      return rows.stream().mapToLong(StoredRow::version).max().orElse(RowStore.ABSENT);
    }

    /** Returns the name of the state, {@code CANCELLED_ID} or {@code NONE}, for the log. */
    String describeState() {
      return state().map(JobState::name).orElseGet(() -> isCancelledId() ? "CANCELLED_ID" : "NONE");
    }
  }

  /**
   * Reads the rows that determine a job's state. The submission is in another partition and is read
   * only if the scheduler has written nothing about the job and no cancellation exists.
   */
  public void read(String jobId, Consumer<Either<CallFailure, StateRows>> callback) {
    String partition = JobRows.decisionPartition(jobId);
    store.read(
        JobRows.decisionRange(partition, jobId),
        decisionRows -> {
          boolean isKnown = decisionRows.isRight() && !decisionRows.get().rows().isEmpty();
          if (decisionRows.isLeft() || isKnown) {
            callback.accept(decisionRows.map(rows -> new StateRows(partition, rows.rows())));
          } else {
            readSubmission(jobId, callback);
          }
        });
  }

  private void readSubmission(String jobId, Consumer<Either<CallFailure, StateRows>> callback) {
    store.read(
        JobRows.submissionRange(jobId),
        submissionRows -> {
          boolean isFromPreviousVersion =
              submissionRows.isRight()
                  && JobRows.findRow(submissionRows.get().rows(), Kind.SUBMISSION)
                      .filter(row -> !JobCodec.hasDecisionPartition(row.value()))
                      .isPresent();
          if (isFromPreviousVersion) {
            readMainPartition(jobId, submissionRows.get().rows(), callback);
          } else {
            callback.accept(
                submissionRows.map(
                    rows -> new StateRows(JobRows.decisionPartition(jobId), rows.rows())));
          }
        });
  }

  /** Reads the decision rows of a job that was submitted to a previous version. */
  private void readMainPartition(
      String jobId,
      ImmutableList<StoredRow> submissionRows,
      Consumer<Either<CallFailure, StateRows>> callback) {
    store.read(
        JobRows.decisionRange(JobRows.MAIN_PARTITION, jobId),
        mainRows ->
            callback.accept(
                mainRows
                    .map(Rows::rows)
                    .map(rows -> rows.isEmpty() ? submissionRows : rows)
                    .map(rows -> new StateRows(JobRows.MAIN_PARTITION, rows))));
  }
}
