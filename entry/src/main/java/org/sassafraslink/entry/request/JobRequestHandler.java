package org.sassafraslink.entry.request;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.job.JobCanceller;
import org.sassafraslink.entry.job.JobStateReader;
import org.sassafraslink.entry.process.ConfigWatcher;
import org.sassafraslink.platform.fleet.JobCodec;
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

  private final ConfigWatcher configWatcher;
  private final RowStore store;
  private final JobStateReader stateReader;
  private final JobCanceller canceller;
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
    this.stateReader = JobStateReader.of(store);
    this.canceller = JobCanceller.create(store, stateReader, clock, log);
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
          canceller.cancel(
              pathSuffix,
              request.deadlineMillis(),
              result -> callback.accept(cancellationResponse(result)));
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
    stateReader.read(
        jobId,
        result -> {
          if (result.isLeft()) {
            callback.accept(storeUnavailable());
            return;
          }
          callback.accept(
              result
                  .get()
                  .state()
                  .map(jobState -> CallerResponse.ok(JobCodec.encodeState(jobState)))
                  .orElseGet(CallerResponse::jobNotFound));
        });
  }

  private CallerResponse cancellationResponse(JobCanceller.Result result) {
    return switch (result) {
      case CANCELLED -> CallerResponse.ok();
      case NO_SUCH_JOB -> CallerResponse.jobNotFound();
      case LIMITED ->
          retryLater(
              FailureType.CANCELLATION_LIMITED,
              "Too many ids that belong to no stored job have been cancelled here.");
      case NOT_PERFORMED -> storeUnavailable();
      case OUTCOME_UNKNOWN ->
          CallerResponse.failed(
              Failure.of(
                  FailureType.STORE_OUTCOME_UNKNOWN,
                  "The store has not confirmed whether the job was cancelled."));
    };
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

  private CallerResponse retryLater(FailureType type, String detail) {
    return CallerResponse.failed(
        Failure.of(type, detail), RetryDelay.seconds(storeHealth.outageMillis()));
  }
}
