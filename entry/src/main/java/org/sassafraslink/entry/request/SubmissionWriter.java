package org.sassafraslink.entry.request;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Writes submitted jobs to the store and responds to their callers. A job is accepted only after it
 * has been stored.
 *
 * <p>Submissions that wait at the same time for the same partition of the store share a
 * transaction, which inserts each of them only if its id is new. An id that is stored already is
 * accepted too, because it belongs to the same job. One that was cancelled before is rejected.
 *
 * <p>A job is rejected only if none of its inserts was applied or can still be applied. After an
 * insert whose outcome is unknown, the same insert is repeated while the store answers other calls.
 * If the store answers no call, or when the caller's deadline is near, the caller is told that the
 * outcome is unknown.
 *
 * <p>Confined to one thread.
 */
public final class SubmissionWriter {
  /**
   * Most submissions in one transaction. Each takes three entries (two expectations and one put),
   * and the platform allows 100 entries in a transaction.
   */
  private static final int MAX_BATCH_JOBS = 30;

  /**
   * Time from the receipt of a job until it is rejected if the store fails and the job cannot have
   * been stored, in ms.
   */
  private static final long REJECT_AFTER_MILLIS = 140;

  /**
   * Most transactions in flight. More than one, so that a transaction without an answer does not
   * delay all others: in a burst, an entry VM of a large zone receives 20 submissions a second, and
   * a slow store takes 0.6 s to answer.
   */
  private static final int MAX_TRANSACTIONS_IN_FLIGHT = 12;

  /** Pause before a failed insert is sent again, in ms. */
  private static final int RETRY_PAUSE_MILLIS = 60;

  /** Time before the caller's deadline at which the response is sent at the latest, in ms. */
  private static final long RESPONSE_MARGIN_MILLIS = 150;

  /** Number of jobs whose outcome is remembered for callers that submit them again. */
  private static final int MAX_REMEMBERED_JOBS = 10_000;

  /** The outcome of an earlier request to submit a job to this process. */
  private enum KnownOutcome {
    ACCEPTED,
    POSSIBLY_STORED
  }

  /** A submitted job whose caller has no response yet. */
  private static final class Submission {
    private final String jobId;
    private final String row;
    private final long receivedMillis;
    private final long deadlineMillis;
    private final Consumer<CallerResponse> callback;

    /** Whether an insert of the job may have been applied or may still be applied. */
    private boolean possiblyStored;

    /** Earliest time at which the next insert is sent, monotonic ms. */
    private long nextAttemptMillis;

    Submission(
        String jobId,
        String row,
        long receivedMillis,
        long deadlineMillis,
        Consumer<CallerResponse> callback) {
      this.jobId = jobId;
      this.row = row;
      this.receivedMillis = receivedMillis;
      this.deadlineMillis = deadlineMillis;
      this.callback = callback;
    }
  }

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final BiConsumer<Runnable, Integer> timer;

  /** Submissions that are in no transaction; retried ones are at the front. */
  private final Deque<Submission> waitingSubmissions = new ArrayDeque<>();

  private final StoreHealth storeHealth;
  private final Consumer<String> onStored;

  /** Transactions that have no outcome yet. */
  private int transactionsInFlight;

  private final Map<String, KnownOutcome> knownOutcomeByJob =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, KnownOutcome> eldest) {
          return size() > MAX_REMEMBERED_JOBS;
        }
      };
  private boolean lastCommitFailed;
  private boolean checkScheduled;

  private SubmissionWriter(
      RowStore store,
      FleetClock clock,
      EventLog log,
      BiConsumer<Runnable, Integer> timer,
      StoreHealth storeHealth,
      Consumer<String> onStored) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.timer = timer;
    this.storeHealth = storeHealth;
    this.onStored = onStored;
  }

  /**
   * Returns a writer that inserts jobs into {@code store}.
   *
   * @param timer runs a task on the writer's thread after a delay in ms
   * @param onStored receives the id of each job that the writer has stored
   */
  public static SubmissionWriter create(
      RowStore store,
      FleetClock clock,
      EventLog log,
      BiConsumer<Runnable, Integer> timer,
      StoreHealth storeHealth,
      Consumer<String> onStored) {
    return new SubmissionWriter(store, clock, log, timer, storeHealth, onStored);
  }

  /**
   * Stores a job and passes the response to {@code callback} once the outcome is known or the
   * deadline is near.
   *
   * <p>While the store is unreachable, nothing is sent to it. The job is then rejected, unless an
   * earlier request accepted it or left unknown whether it is stored.
   *
   * @param row the row to store
   * @param deadlineMillis time until which the caller waits, monotonic ms
   */
  public void submit(
      String jobId, String row, long deadlineMillis, Consumer<CallerResponse> callback) {
    KnownOutcome knownOutcome = knownOutcomeByJob.get(jobId);
    if (knownOutcome == KnownOutcome.ACCEPTED) {
      callback.accept(CallerResponse.ok());
      return;
    }
    if (storeHealth.isOutageLikely()) {
      boolean isPossiblyStored = knownOutcome == KnownOutcome.POSSIBLY_STORED;
      log.log(
          "job.submitted",
          "job",
          jobId,
          "outcome",
          isPossiblyStored ? "unknown" : "refused",
          "reason",
          "store_silent");
      callback.accept(isPossiblyStored ? outcomeUnknownResponse() : notStoredResponse());
      return;
    }
    waitingSubmissions.add(
        new Submission(jobId, row, clock.monotonicMillis(), deadlineMillis, callback));
    sendDueBatches();
  }

  /** Returns the number of submissions that are in no transaction. */
  public int waitingSubmissions() {
    return waitingSubmissions.size();
  }

  private void sendDueBatches() {
    respondToOverdue();
    while (transactionsInFlight < MAX_TRANSACTIONS_IN_FLIGHT) {
      List<Submission> batch = removeDueBatch();
      if (batch.isEmpty()) {
        break;
      }
      transactionsInFlight++;
      store.commit(
          insertTransaction(batch),
          outcome -> {
            transactionsInFlight--;
            applyOutcome(outcome, batch);
          });
    }
    scheduleCheck();
  }

  /**
   * Removes and returns the first submission that is due, together with other due submissions for
   * the same partition. Returns an empty list if none is due.
   */
  private List<Submission> removeDueBatch() {
    long nowMillis = clock.monotonicMillis();
    List<Submission> batch = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    waitingSubmissions.removeIf(
        submission -> {
          boolean isSamePartition =
              batch.isEmpty()
                  || JobRows.submissionPartition(submission.jobId)
                      .equals(JobRows.submissionPartition(batch.get(0).jobId));
          // Two inserts of the same id in one transaction would conflict with each other.
          boolean joinsBatch =
              nowMillis >= submission.nextAttemptMillis
                  && batch.size() < MAX_BATCH_JOBS
                  && BatchLimit.admits(rowLengths(batch), submission.row.length())
                  && isSamePartition
                  && ids.add(submission.jobId);
          if (joinsBatch) {
            batch.add(submission);
          }
          return joinsBatch;
        });
    return batch;
  }

  private static int[] rowLengths(List<Submission> batch) {
    return batch.stream().mapToInt(submission -> submission.row.length()).toArray();
  }

  private static Transaction insertTransaction(List<Submission> batch) {
    ImmutableList.Builder<Expectation> expectations = ImmutableList.builder();
    ImmutableList.Builder<Put> puts = ImmutableList.builder();
    for (Submission submission : batch) {
      RowKey submissionKey = JobRows.key(submission.jobId, Kind.SUBMISSION);
      expectations.add(new Expectation(submissionKey, RowStore.ABSENT));
      RowKey endedKey = JobRows.key(submission.jobId, Kind.ENDED);
      expectations.add(new Expectation(endedKey, RowStore.ABSENT));
      puts.add(new Put(submissionKey, submission.row));
    }
    return new Transaction(expectations.build(), puts.build(), ImmutableList.of());
  }

  /**
   * Schedules another check of the waiting submissions. They may be due for a retry or overdue
   * although no answer of the store arrives.
   */
  private void scheduleCheck() {
    if (!checkScheduled && !waitingSubmissions.isEmpty()) {
      checkScheduled = true;
      timer.accept(
          () -> {
            checkScheduled = false;
            sendDueBatches();
          },
          RETRY_PAUSE_MILLIS);
    }
  }

  private void applyOutcome(Outcome outcome, List<Submission> batch) {
    lastCommitFailed = outcome instanceof Outcome.Failed;
    if (outcome instanceof Outcome.Committed) {
      batch.forEach(submission -> respond(submission, CallerResponse.ok(), "stored"));
      batch.forEach(submission -> onStored.accept(submission.jobId));
      sendDueBatches();
    } else if (outcome instanceof Outcome.Conflict conflict) {
      Map<RowKey, StoredRow> stored = new HashMap<>();
      for (StoredRow row : conflict.current()) {
        if (!row.deleted() && row.version() != RowStore.ABSENT) {
          stored.put(row.key(), row);
        }
      }
      for (Submission submission : batch) {
        StoredRow ended = stored.get(JobRows.key(submission.jobId, Kind.ENDED));
        if (ended != null && JobRows.isCancelledId(ended)) {
          respond(submission, cancelledResponse(), "cancelled");
        } else if (ended != null
            || stored.containsKey(JobRows.key(submission.jobId, Kind.SUBMISSION))) {
          respond(submission, CallerResponse.ok(), "known");
        } else {
          waitingSubmissions.addFirst(submission);
        }
      }
      sendDueBatches();
    } else {
      requeueAfterFailure(((Outcome.Failed) outcome).failure(), batch);
    }
  }

  private void requeueAfterFailure(CallFailure failure, List<Submission> batch) {
    for (Submission submission : batch) {
      // REJECTED counts as possibly stored too: HttpRowStore also reports server errors by it.
      submission.possiblyStored |= failure != CallFailure.NOT_PERFORMED;
      submission.nextAttemptMillis = clock.monotonicMillis() + RETRY_PAUSE_MILLIS;
      waitingSubmissions.addFirst(submission);
    }
    log.log("submissions.not_stored", "failure", failure, "jobs", batch.size());
    respondToOverdue();
    scheduleCheck();
  }

  /**
   * Responds to the waiting submissions whose deadline is near, and earlier to those for which a
   * retry is not worth waiting for: possibly stored ones while the store is unreachable, and others
   * {@link #REJECT_AFTER_MILLIS} after their receipt while the store fails.
   */
  private void respondToOverdue() {
    long nowMillis = clock.monotonicMillis();
    waitingSubmissions.removeIf(
        submission -> {
          if (submission.possiblyStored) {
            boolean isOverdue =
                storeHealth.isOutageLikely()
                    || nowMillis >= submission.deadlineMillis - RESPONSE_MARGIN_MILLIS;
            if (isOverdue) {
              respond(submission, outcomeUnknownResponse(), "unknown");
            }
            return isOverdue;
          }
          boolean isOverdue =
              (nowMillis - submission.receivedMillis >= REJECT_AFTER_MILLIS
                      && (lastCommitFailed || storeHealth.isOutageLikely()))
                  || nowMillis >= submission.deadlineMillis - RESPONSE_MARGIN_MILLIS;
          if (isOverdue) {
            respond(submission, notStoredResponse(), "refused");
          }
          return isOverdue;
        });
  }

  private static CallerResponse outcomeUnknownResponse() {
    return CallerResponse.failed(
        Failure.of(
            FailureType.STORE_OUTCOME_UNKNOWN,
            "The store has not confirmed whether the job was stored."));
  }

  /**
   * Returns the response to a submission of a cancelled id. The job never runs: its earlier inserts
   * fail too, since the cancelled id is stored for longer than an insert can be delayed.
   */
  private static CallerResponse cancelledResponse() {
    return CallerResponse.failed(
        Failure.of(
            FailureType.JOB_CANCELLED,
            "The job was cancelled before it was stored. Use a new id to submit it again."));
  }

  private CallerResponse notStoredResponse() {
    return CallerResponse.failed(
        Failure.of(FailureType.STORE_UNAVAILABLE, "The job was not stored."),
        RetryDelay.seconds(storeHealth.outageMillis()));
  }

  private void respond(Submission submission, CallerResponse response, String outcome) {
    if (response.isSuccess()) {
      knownOutcomeByJob.put(submission.jobId, KnownOutcome.ACCEPTED);
    } else if (submission.possiblyStored) {
      knownOutcomeByJob.put(submission.jobId, KnownOutcome.POSSIBLY_STORED);
    }
    log.log(
        "job.submitted",
        "job",
        submission.jobId,
        "outcome",
        outcome,
        "status",
        response.status(),
        "millis",
        clock.monotonicMillis() - submission.receivedMillis);
    submission.callback.accept(response);
  }
}
