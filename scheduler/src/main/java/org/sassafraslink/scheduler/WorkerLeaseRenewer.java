package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerClient.ReportRequest;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.cancellation.ClockTimes;
import org.sassafraslink.scheduler.command.CommandPermission;

/**
 * Renews the leases of workers and reads their reports, both with the same report requests.
 *
 * <p>A worker gets report requests only while tasks may run there, an end has to be acknowledged,
 * or it runs an attempt that is not expected there, whose stop may have been lost. A listed worker
 * without tasks gets a single one, from which it learns the fencing token, and another before it
 * gets a long-running task; either is repeated until it responds. A request to a worker with tasks
 * is a long poll: the worker responds when an attempt ends, or at the latest after {@link
 * #LONG_POLL_MILLIS}.
 */
final class WorkerLeaseRenewer {
  /**
   * How long a worker may hold a request open while no attempt ends, in ms; leases are renewed this
   * often.
   */
  private static final int LONG_POLL_MILLIS = 1_000;

  /**
   * Delay before the next request, in ms, so that attempts that end at almost the same time share a
   * report.
   */
  private static final long BATCH_DELAY_MILLIS = 15;

  /**
   * Delay before the next request to a worker without tasks, which acknowledges its last ends or
   * shows whether an unexpected attempt has ended, in ms.
   */
  private static final long IDLE_ACKNOWLEDGE_DELAY_MILLIS = 500;

  /** Delay after a failed request, in ms, doubled for each further consecutive failure. */
  private static final long RETRY_DELAY_MILLIS = 100;

  private static final int MAX_DOUBLINGS = 3;

  /** How long a worker gets no new tasks after a failed request, in ms. */
  private static final long AVOID_AFTER_FAILURE_MILLIS = 1_500;

  /** Receives the results of requests; called on the scheduler's thread. */
  interface Listener {
    /**
     * Called when a worker has responded with a worker report.
     *
     * @param sentMillis when the request was sent, monotonic ms
     */
    void onReport(Worker worker, WorkerReport report, long sentMillis);

    /**
     * Called when an incarnation with the worker's id has responded, before its report is used.
     *
     * @param sentMillis when the request was sent, monotonic ms
     */
    void onIncarnation(Worker worker, long incarnation, long sentMillis);

    /** Called when another incarnation has responded at the worker's address. */
    void onWrongIncarnation(Worker worker);

    /** Called when the worker has rejected a request because it has seen a higher fencing token. */
    void onFenced(Worker worker);

    /** Called in each pass in which requests to a worker fail and its lease has expired. */
    void onLeaseExpired(Worker worker, long nowMillis);
  }

  private final WorkerClient client;
  private final FleetClock clock;
  private final EventLog log;
  private final WorkerLeaseLog leaseLog;
  private final SchedulerLease lease;
  private final SchedulerSettings settings;
  private final WorkerRegistry workers;
  private final Listener listener;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  WorkerLeaseRenewer(
      WorkerClient client,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      SchedulerSettings settings,
      WorkerRegistry workers,
      Listener listener) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.leaseLog = new WorkerLeaseLog(log);
    this.lease = lease;
    this.settings = settings;
    this.workers = workers;
    this.listener = listener;
  }

  /**
   * Ignores the responses to all earlier requests, because the scheduling lease was acquired or
   * lost.
   */
  void reset() {
    generation++;
  }

  /**
   * Sends a report request to a worker if one is due, and calls the listener if the lease of a
   * worker with tasks has expired.
   */
  void renewIfDue(Worker worker, long nowMillis) {
    if (worker.consecutiveCallFailures > 0
        && !worker.isEmpty()
        && worker.isLeaseExpired(nowMillis)) {
      listener.onLeaseExpired(worker, nowMillis);
    }
    boolean isUnreachable = worker.ended || worker.entry.address().getPort() == 0;
    if (!isUnreachable && (worker.beginReplacementCheck() || worker.beginAnswerRequest())) {
      // A long poll that is pending could delay the response.
      sendReportRequest(worker, 0, nowMillis);
      return;
    }
    if (worker.reportRequestPending
        || nowMillis < worker.nextReportRequestMillis
        || isUnreachable) {
      if (isUnreachable) {
        // Counted as failing, so that the expiry of its lease is detected without a request.
        worker.consecutiveCallFailures = Math.max(1, worker.consecutiveCallFailures);
      }
      return;
    }
    // Tasks are stopped for a place on a worker only while it is known to answer.
    boolean hasTasks = !worker.isEmpty() || worker.hasHolds();
    boolean hasUnacknowledgedEnds = worker.lastCommittedEnd > worker.lastAcknowledgedEnd;
    boolean hasToRespond =
        worker.listed
            && (!worker.hasReported
                || worker.isReplacementSuspected()
                || worker.consecutiveCallFailures > 0);
    if (hasTasks || hasUnacknowledgedEnds || hasToRespond || worker.runsOrphan) {
      sendReportRequest(
          worker,
          hasTasks && worker.hasReported && worker.consecutiveCallFailures == 0
              ? LONG_POLL_MILLIS
              : 0,
          nowMillis);
    }
  }

  /** Renews the lease of a worker with tasks at once, even if another request is pending. */
  void renewNow(Worker worker, long nowMillis) {
    if (worker.hasReported && !worker.isEmpty() && worker.consecutiveCallFailures == 0) {
      sendReportRequest(worker, 0, nowMillis);
    }
  }

  private void sendReportRequest(Worker worker, int waitMillis, long nowMillis) {
    if (!lease.isValid()) {
      return;
    }
    // A later incarnation that executes the request would forget ends of its own, so an
    // acknowledgement is sent only until a response shows that it has been received.
    boolean isNewlyCommitted = worker.lastCommittedEnd > worker.lastAcknowledgedEnd;
    long acknowledgedEnd =
        isNewlyCommitted && worker.consecutiveCallFailures == 0 && !worker.laterIncarnationSeen
            ? worker.lastCommittedEnd
            : 0;
    // A worker that may run tasks unknown to this scheduler is asked for a report first. One
    // without tasks needs no lease, and a later incarnation may execute the request.
    Optional<Long> leaseEnd =
        worker.hasReported && !worker.isEmpty() && !worker.laterIncarnationSeen
            ? worker.grantLease(
                lease.grantableMillis(settings.leaseMillis(), ClockTimes.read(clock)), nowMillis)
            : Optional.empty();
    ReportRequest request =
        new ReportRequest(
            leaseEnd, acknowledgedEnd, worker.fencingToken(lease.epoch()), waitMillis);
    long sentRegistration = worker.registration;
    worker.reportRequestPending = true;
    worker.lastReportRequest++;
    long sentRequest = worker.lastReportRequest;
    long sentGeneration = generation;
    CommandPermission permission = lease.renewalPermission();
    client.pollReport(
        worker.entry,
        request,
        permission,
        response -> {
          if (generation == sentGeneration) {
            if (worker.lastReportRequest == sentRequest) {
              worker.reportRequestPending = false;
            }
            if (permission.wasDenied()) {
              worker.nextReportRequestMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
            } else {
              applyResponse(worker, response, acknowledgedEnd, sentRegistration, nowMillis);
            }
          }
        });
  }

  private void applyResponse(
      Worker worker,
      Either<CallFailure, WorkerReport> response,
      long acknowledgedEnd,
      long sentRegistration,
      long sentMillis) {
    long now = clock.monotonicMillis();
    if (worker.ended) {
      return;
    }
    if (response.isLeft()) {
      applyFailure(worker, response.getLeft(), sentRegistration, now);
      return;
    }
    WorkerReport report = response.get();
    if (report.incarnation() != worker.entry.incarnation()) {
      worker.nextReportRequestMillis = now + RETRY_DELAY_MILLIS;
      if (report.incarnation() > worker.entry.incarnation()) {
        leaseLog.logLaterIncarnation(worker, report, sentMillis);
      }
      listener.onIncarnation(worker, report.incarnation(), sentMillis);
      return;
    }
    listener.onIncarnation(worker, report.incarnation(), sentMillis);
    if (!worker.hasReported && worker.registration != sentRegistration) {
      // Commands to another incarnation with a higher token may still be executed.
      worker.nextReportRequestMillis = now;
      return;
    }
    if (worker.consecutiveCallFailures > 0) {
      log.log(
          "worker.answers_again",
          "worker",
          worker.entry.id(),
          "silences",
          worker.consecutiveCallFailures);
    }
    worker.recordResponse(
        report.clockMillis(), inheritedLeaseMillis(worker, sentMillis), sentMillis, now);
    worker.lastAcknowledgedEnd = Math.max(worker.lastAcknowledgedEnd, acknowledgedEnd);
    listener.onReport(worker, report, sentMillis);
    worker.hasReported = true;
    worker.nextReportRequestMillis =
        now + (worker.isEmpty() ? IDLE_ACKNOWLEDGE_DELAY_MILLIS : BATCH_DELAY_MILLIS);
  }

  private long inheritedLeaseMillis(Worker worker, long sentMillis) {
    long ageMillis = clock.wallMillis() - worker.entry.incarnation();
    return worker.inheritedLeaseMillis(
        settings.lateCommandBounds().inheritedLeaseMillis(ageMillis), sentMillis);
  }

  private void applyFailure(Worker worker, CallFailure failure, long sentRegistration, long now) {
    if (failure == CallFailure.WRONG_INCARNATION) {
      listener.onWrongIncarnation(worker);
    } else if (failure == CallFailure.REJECTED && !workers.isSuperseded(worker, sentRegistration)) {
      listener.onFenced(worker);
    } else {
      worker.consecutiveCallFailures++;
      worker.avoidUntilMillis = now + AVOID_AFTER_FAILURE_MILLIS;
      int doublings = Math.min(worker.consecutiveCallFailures - 1, MAX_DOUBLINGS);
      worker.nextReportRequestMillis = now + (RETRY_DELAY_MILLIS << doublings);
      if (worker.consecutiveCallFailures == 1) {
        leaseLog.logSilent(worker, failure, now);
      }
    }
  }
}
