package org.sassafraslink.entry.request;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.ConfigWatcher;
import org.sassafraslink.platform.fleet.JobCodec;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.PendingJobCounts;

/**
 * Handles callers' requests to submit and cancel jobs and to read the state of a job or the number
 * of pending jobs of a queue.
 *
 * <p>Confined to one thread.
 */
public final class JobRequestHandler {
  private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

  /** Age at which the cached counts of pending jobs are read again, in ms. */
  private static final long MAX_PENDING_COUNTS_AGE_MILLIS = 500;

  /** Most retries of a cancellation; after them the outcome is reported as unknown. */
  private static final int MAX_CANCEL_RETRIES = 6;

  private final ConfigWatcher configWatcher;
  private final RowStore store;
  private final SubmissionWriter submissionWriter;
  private final StoreHealth storeHealth;
  private final FleetClock clock;
  private final EventLog log;

  /** The cached value of the row of {@link PendingJobCounts}. */
  private String pendingCountsValue = "{}";

  /** When {@link #pendingCountsValue} was read, monotonic ms; far in the past before that. */
  private long pendingCountsReadMillis = Long.MIN_VALUE / 2;

  private JobRequestHandler(
      ConfigWatcher configWatcher,
      RowStore store,
      SubmissionWriter submissionWriter,
      StoreHealth storeHealth,
      FleetClock clock,
      EventLog log) {
    this.configWatcher = configWatcher;
    this.store = store;
    this.submissionWriter = submissionWriter;
    this.storeHealth = storeHealth;
    this.clock = clock;
    this.log = log;
  }

  /** Returns a handler that uses the newest configuration of {@code configWatcher}. */
  public static JobRequestHandler create(
      ConfigWatcher configWatcher,
      RowStore store,
      SubmissionWriter submissionWriter,
      StoreHealth storeHealth,
      FleetClock clock,
      EventLog log) {
    return new JobRequestHandler(configWatcher, store, submissionWriter, storeHealth, clock, log);
  }

  /**
   * Handles a request: finds the queue for the host and path of the request, checks the caller's
   * key unless the queue is open, and runs the operation.
   *
   * @param callback receives the response exactly once
   */
  public void handleRequest(CallerRequest request, Consumer<CallerResponse> callback) {
    Optional<FleetSettings> config = configWatcher.newestConfig();
    if (config.isEmpty()) {
      callback.accept(retryLater(FailureType.NOT_READY, "No configuration has been read yet."));
      return;
    }
    Optional<QueueConfig> queue = config.get().queueForPath(request.host(), request.path());
    if (queue.isEmpty()) {
      reject(
          request,
          FailureType.SERVICE_UNKNOWN,
          "No queue is configured for this host and path.",
          callback);
      return;
    }
    String team = "";
    if (!queue.get().open()) {
      Optional<FleetSettings.TeamConfig> keyOwner = config.get().teamForKey(request.key());
      if (keyOwner.isEmpty()) {
        reject(request, FailureType.KEY_REJECTED, "The key does not belong to any team.", callback);
        return;
      }
      team = keyOwner.get().name();
    }
    String pathSuffix = request.path().substring(queue.get().pathPrefix().length());
    dispatchByMethod(request, queue.get(), team, pathSuffix, callback);
  }

  private void dispatchByMethod(
      CallerRequest request,
      QueueConfig queue,
      String team,
      String pathSuffix,
      Consumer<CallerResponse> callback) {
    boolean isJobId = JOB_ID.matcher(pathSuffix).matches();
    switch (request.method()) {
      case "POST" -> {
        if (isJobId) {
          submit(request, queue, team, pathSuffix, callback);
        } else {
          reject(
              request,
              FailureType.REQUEST_MALFORMED,
              "A job id must consist of 16 hexadecimal digits.",
              callback);
        }
      }
      case "GET" -> {
        if (pathSuffix.isEmpty()) {
          respondWithPendingCount(queue, callback);
        } else if (isJobId) {
          respondWithState(pathSuffix, callback);
        } else {
          callback.accept(CallerResponse.jobNotFound());
        }
      }
      case "DELETE" -> {
        if (isJobId) {
          cancel(request, pathSuffix, 0, callback);
        } else {
          callback.accept(CallerResponse.jobNotFound());
        }
      }
      default ->
          reject(request, FailureType.RESOURCE_UNKNOWN, "This method is not supported.", callback);
    }
  }

  private void submit(
      CallerRequest request,
      QueueConfig queue,
      String team,
      String jobId,
      Consumer<CallerResponse> callback) {
    Either<Failure, JobSpec> job =
        JobCodec.decodeSubmission(request.body(), jobId, queue, team, clock.wallMillis());
    if (job.isLeft()) {
      log.log("job.malformed", "job", jobId, "detail", job.getLeft().detail());
      callback.accept(CallerResponse.failed(job.getLeft()));
    } else {
      submissionWriter.submit(
          jobId, JobCodec.encodeRow(job.get(), request.body()), request.deadlineMillis(), callback);
    }
  }

  private void respondWithState(String jobId, Consumer<CallerResponse> callback) {
    readStateRows(
        jobId,
        result -> {
          if (result.isLeft()) {
            callback.accept(storeUnavailable());
            return;
          }
          Optional<JobState> state = JobRows.jobState(result.get().rows());
          callback.accept(
              state
                  .map(jobState -> CallerResponse.ok(JobCodec.encodeState(jobState)))
                  .orElseGet(CallerResponse::jobNotFound));
        });
  }

  /**
   * The rows that determine a job's state.
   *
   * @param decisionPartition the partition for the job's cancellation
   */
  private record StateRows(String decisionPartition, ImmutableList<StoredRow> rows) {}

  /**
   * Reads the rows that determine a job's state. The submission is in another partition and is read
   * only if the scheduler has written nothing about the job and no cancellation exists.
   */
  private void readStateRows(String jobId, Consumer<Either<CallFailure, StateRows>> callback) {
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

  private void cancel(
      CallerRequest request, String jobId, int retries, Consumer<CallerResponse> callback) {
    readStateRows(
        jobId,
        result -> {
          if (result.isLeft()) {
            retryCancel(request, jobId, retries, result.getLeft(), callback);
            return;
          }
          Optional<JobState> state = JobRows.jobState(result.get().rows());
          if (state.equals(Optional.of(JobState.CANCELLED))) {
            callback.accept(CallerResponse.ok());
          } else if (state.isEmpty() || state.get().isFinal()) {
            callback.accept(CallerResponse.jobNotFound());
          } else {
            insertCancellation(request, jobId, result.get().decisionPartition(), retries, callback);
          }
        });
  }

  private void insertCancellation(
      CallerRequest request,
      String jobId,
      String partition,
      int retries,
      Consumer<CallerResponse> callback) {
    RowKey key = JobRows.decisionKey(partition, jobId, Kind.CANCELLATION);
    RowKey finalKey = JobRows.decisionKey(partition, jobId, Kind.FINAL);
    Transaction transaction =
        new Transaction(
            ImmutableList.of(new Expectation(finalKey, RowStore.ABSENT)),
            ImmutableList.of(new Put(key, "{}")),
            ImmutableList.of());
    store.commit(
        transaction,
        outcome -> {
          log.log("job.cancelled", "job", jobId, "outcome", outcome);
          if (outcome instanceof Outcome.Committed) {
            callback.accept(CallerResponse.ok());
          } else if (outcome instanceof Outcome.Failed failed) {
            retryCancel(request, jobId, retries, failed.failure(), callback);
          } else {
            // The job ended after its rows were read: read its final state.
            cancel(request, jobId, retries + 1, callback);
          }
        });
  }

  private void retryCancel(
      CallerRequest request,
      String jobId,
      int retries,
      CallFailure failure,
      Consumer<CallerResponse> callback) {
    // Leaves 1 s for the retry and the response.
    boolean hasTime = clock.monotonicMillis() < request.deadlineMillis() - 1_000;
    if (failure == CallFailure.OUTCOME_UNKNOWN && hasTime && retries < MAX_CANCEL_RETRIES) {
      cancel(request, jobId, retries + 1, callback);
    } else {
      callback.accept(cancellationFailed(failure));
    }
  }

  private void respondWithPendingCount(QueueConfig queue, Consumer<CallerResponse> callback) {
    if (clock.monotonicMillis() - pendingCountsReadMillis < MAX_PENDING_COUNTS_AGE_MILLIS) {
      callback.accept(
          CallerResponse.ok(
              JobCodec.encodePendingCount(
                  PendingJobCounts.count(pendingCountsValue, queue.name()))));
      return;
    }
    RowKey key = PendingJobCounts.key();
    store.read(
        new Range(key.table(), key.partition(), key.key(), key.key() + '\0'),
        result -> {
          if (result.isLeft()) {
            callback.accept(storeUnavailable());
            return;
          }
          pendingCountsValue =
              result.get().rows().isEmpty() ? "{}" : result.get().rows().get(0).value();
          pendingCountsReadMillis = clock.monotonicMillis();
          callback.accept(
              CallerResponse.ok(
                  JobCodec.encodePendingCount(
                      PendingJobCounts.count(pendingCountsValue, queue.name()))));
        });
  }

  /**
   * Rejects a request for a reason that may depend on the configuration. If the configuration may
   * be outdated for longer than the bound on a change, the response only asks the caller to retry.
   */
  private void reject(
      CallerRequest request, FailureType type, String detail, Consumer<CallerResponse> callback) {
    long configAgeMillis = configWatcher.millisSinceVerified(clock.monotonicMillis());
    boolean mayBeStale = !configWatcher.state(clock.monotonicMillis()).isReliable();
    log.log(
        "call.refused",
        "method",
        request.method(),
        "path",
        request.path(),
        "type",
        mayBeStale ? FailureType.CONFIGURATION_STALE : type,
        "configVersion",
        configWatcher.newestConfig().map(FleetSettings::version).orElse(0L),
        "configAge",
        configAgeMillis);
    callback.accept(
        mayBeStale
            ? retryLater(FailureType.CONFIGURATION_STALE, "The configuration may have changed.")
            : CallerResponse.failed(Failure.of(type, detail)));
  }

  /** Returns the response to a request whose read failed; nothing has been changed. */
  private CallerResponse storeUnavailable() {
    return retryLater(FailureType.STORE_UNAVAILABLE, "The store is not responding.");
  }

  private CallerResponse cancellationFailed(CallFailure failure) {
    return failure == CallFailure.NOT_PERFORMED
        ? retryLater(FailureType.STORE_UNAVAILABLE, "The store is not responding.")
        : CallerResponse.failed(
            Failure.of(
                FailureType.STORE_OUTCOME_UNKNOWN,
                "The store has not confirmed whether the job was cancelled."));
  }

  private CallerResponse retryLater(FailureType type, String detail) {
    return CallerResponse.failed(
        Failure.of(type, detail), RetryDelay.seconds(storeHealth.outageMillis()));
  }
}
