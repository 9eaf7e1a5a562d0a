package org.sassafraslink.entry.job;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Cancels jobs.
 *
 * <p>A job that is not stored may still be stored: the store can apply an insert seconds after it
 * was sent, and a caller's submission can arrive late. So the cancelled id is stored before the
 * caller is told that there is no such job, and inserts of that id fail from then on.
 *
 * <p>Confined to one thread.
 */
public final class JobCanceller {
  /** The result of a cancellation. */
  public enum Result {
    CANCELLED,
    /** There is no such job, or it has ended, and none will be stored with this id. */
    NO_SUCH_JOB,
    /** Too many ids without a job were cancelled here; nothing was changed. */
    LIMITED,
    /** The store did not perform the calls; nothing was changed. */
    NOT_PERFORMED,
    /** The job may be cancelled. */
    OUTCOME_UNKNOWN
  }

  /** What shows that a result is true, as {@code job.cancel_answered} names it. */
  private enum Proof {
    /** Rows that were read after the request arrived. */
    READ,
    /** A transaction of this request. */
    COMMIT,
    /** Nothing: the result claims neither a cancelled job nor that there is none. */
    NONE
  }

  /** Most retries of a cancellation; after them the outcome is reported as unknown. */
  private static final int MAX_RETRIES = 6;

  /** Time before the caller's deadline that is left for a retry and the response, in ms. */
  private static final long RETRY_MARGIN_MILLIS = 1_000;

  /**
   * How many ids without a job may be stored in a second, and at once. Anyone with a key can cancel
   * ids that never existed, and each row costs a transaction, and memory in the process that
   * schedules.
   */
  private static final double CANCELLED_IDS_PER_SECOND = 5;

  private static final double MAX_CANCELLED_IDS_AT_ONCE = 100;

  private final RowStore store;
  private final JobStateReader stateReader;
  private final FleetClock clock;
  private final EventLog log;
  private TokenBucket cancelledIdTokens;

  private JobCanceller(RowStore store, JobStateReader stateReader, FleetClock clock, EventLog log) {
    this.store = store;
    this.stateReader = stateReader;
    this.clock = clock;
    this.log = log;
    this.cancelledIdTokens =
        TokenBucket.full(
            CANCELLED_IDS_PER_SECOND, MAX_CANCELLED_IDS_AT_ONCE, clock.monotonicMillis());
  }

  /** Returns a canceller of the jobs in {@code store}. */
  public static JobCanceller create(
      RowStore store, JobStateReader stateReader, FleetClock clock, EventLog log) {
    return new JobCanceller(store, stateReader, clock, log);
  }

  /**
   * Cancels a job.
   *
   * @param deadlineMillis time until which the caller waits, monotonic ms
   * @param callback receives the result exactly once
   */
  public void cancel(String jobId, long deadlineMillis, Consumer<Result> callback) {
    new Cancellation(jobId, deadlineMillis, callback).readState();
  }

  /** A cancellation that has no result yet. */
  private final class Cancellation {
    private final String jobId;
    private final long deadlineMillis;
    private final Consumer<Result> callback;
    private final long receivedMillis = clock.monotonicMillis();
    private int retries;

    /** The rows that were read last; empty until a read succeeds. */
    private Optional<JobStateReader.StateRows> lastRead = Optional.empty();

    /** Whether a transaction may have been applied or may still be applied. */
    private boolean possiblyStored;

    Cancellation(String jobId, long deadlineMillis, Consumer<Result> callback) {
      this.jobId = jobId;
      this.deadlineMillis = deadlineMillis;
      this.callback = callback;
    }

    void readState() {
      stateReader.read(
          jobId,
          result -> {
            if (result.isRight()) {
              applyState(result.get());
            } else {
              retryAfter(result.getLeft());
            }
          });
    }

    private void applyState(JobStateReader.StateRows stored) {
      lastRead = Optional.of(stored);
      Optional<JobState> state = stored.state();
      if (state.isEmpty() && !stored.isCancelledId()) {
        insertCancelledId();
      } else if (state.isEmpty()) {
        answer(Result.NO_SUCH_JOB, Proof.READ, stored.newestVersion());
      } else if (state.get() == JobState.CANCELLED) {
        answer(Result.CANCELLED, Proof.READ, stored.newestVersion());
      } else if (state.get().isFinal()) {
        answer(Result.NO_SUCH_JOB, Proof.READ, stored.newestVersion());
      } else {
        insertCancellation(stored.decisionPartition());
      }
    }

    private void insertCancelledId() {
      cancelledIdTokens = cancelledIdTokens.refill(clock.monotonicMillis());
      if (!cancelledIdTokens.hasToken()) {
        log.log("job.cancel_limited", "job", jobId);
        answerWithoutProof(possiblyStored ? Result.OUTCOME_UNKNOWN : Result.LIMITED);
        return;
      }
      cancelledIdTokens = cancelledIdTokens.take();
      Put cancelledId = JobRows.cancelledId(jobId);
      ImmutableList<Expectation> noJob =
          ImmutableList.of(
              new Expectation(JobRows.key(jobId, Kind.SUBMISSION), RowStore.ABSENT),
              new Expectation(cancelledId.key(), RowStore.ABSENT));
      commit("job.id_cancelled", noJob, cancelledId, Result.NO_SUCH_JOB);
    }

    private void insertCancellation(String partition) {
      RowKey finalKey = JobRows.decisionKey(partition, jobId, Kind.FINAL);
      commit(
          "job.cancelled",
          ImmutableList.of(new Expectation(finalKey, RowStore.ABSENT)),
          new Put(JobRows.decisionKey(partition, jobId, Kind.CANCELLATION), "{}"),
          Result.CANCELLED);
    }

    private void commit(
        String event, ImmutableList<Expectation> expectations, Put put, Result result) {
      store.commit(
          new Transaction(expectations, ImmutableList.of(put), ImmutableList.of()),
          outcome -> {
            log.log(event, "job", jobId, "outcome", outcome);
            if (outcome instanceof Outcome.Committed committed) {
              answer(result, Proof.COMMIT, committed.version());
            } else if (outcome instanceof Outcome.Failed failed) {
              possiblyStored |= failed.failure() != CallFailure.NOT_PERFORMED;
              retryAfter(failed.failure());
            } else if (retries < MAX_RETRIES) {
              // The rows have changed since they were read.
              retries++;
              readState();
            } else {
              answerWithoutProof(Result.OUTCOME_UNKNOWN);
            }
          });
    }

    private void retryAfter(CallFailure failure) {
      boolean hasTime = clock.monotonicMillis() < deadlineMillis - RETRY_MARGIN_MILLIS;
      if (failure == CallFailure.OUTCOME_UNKNOWN && hasTime && retries < MAX_RETRIES) {
        retries++;
        readState();
      } else {
        answerWithoutProof(
            failure == CallFailure.NOT_PERFORMED && !possiblyStored
                ? Result.NOT_PERFORMED
                : Result.OUTCOME_UNKNOWN);
      }
    }

    private void answerWithoutProof(Result result) {
      answer(result, Proof.NONE, RowStore.ABSENT);
    }

    private void answer(Result result, Proof proof, long version) {
      log.log(
          "job.cancel_answered",
          "job",
          jobId,
          "result",
          result,
          "state",
          lastRead.map(JobStateReader.StateRows::describeState).orElse("UNREAD"),
          "proof",
          proof,
          "version",
          version,
          "tries",
          retries + 1,
          "millis",
          clock.monotonicMillis() - receivedMillis);
      callback.accept(result);
    }
  }
}
