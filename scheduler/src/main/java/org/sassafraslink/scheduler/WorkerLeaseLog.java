package org.sassafraslink.scheduler;

import java.util.Optional;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerClient.CommandResponse;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.WorkerLease.OnWorkerClock;
import org.sassafraslink.scheduler.incarnation.UnknownLeases;

/**
 * Logs the clock and the leases of a worker's incarnation whenever a decision may rest on them, so
 * that they can be compared with when the worker's tasks have ended.
 */
final class WorkerLeaseLog {
  /** Stands for a time on the clock of an incarnation that has not reported its clock. */
  private static final long UNKNOWN_MILLIS = -1;

  private final EventLog log;

  WorkerLeaseLog(EventLog log) {
    this.log = log;
  }

  /**
   * Logs the first report of an incarnation, or the first one after its lease expired.
   *
   * @param unknownAttempts how many of the running attempts are not assigned to it
   */
  void logConfirmed(Worker worker, WorkerReport report, long unknownAttempts, long nowMillis) {
    log.log(
        "worker.confirmed",
        "worker",
        worker.entry.id(),
        "incarnation",
        report.incarnation(),
        "clock",
        report.clockMillis(),
        "running",
        report.running().size(),
        "unknown",
        unknownAttempts,
        "unknownLeaseLeft",
        Math.max(0, worker.lease().latestUnknownExpiryMillis() - nowMillis));
  }

  /** Logs the first of several consecutive report requests that failed. */
  void logSilent(Worker worker, CallFailure failure, long nowMillis) {
    log.log(
        "worker.silent",
        "worker",
        worker.entry.id(),
        "incarnation",
        worker.entry.incarnation(),
        "failure",
        failure,
        "tasks",
        worker.tasks().size(),
        "heardAgo",
        nowMillis - worker.silentSinceMillis(),
        "leaseLeft",
        Math.max(0, worker.lease().latestExpiryMillis() - nowMillis));
  }

  /**
   * Logs that every lease of an incarnation has expired and that tasks were released. The others
   * are in doubt: a later incarnation may run them.
   *
   * @param unknown the ends of the leases that earlier schedulers granted
   * @param silentSinceMillis when it last responded, or since when a response has been expected,
   *     monotonic ms
   */
  void logExpired(
      Worker worker, int released, UnknownLeases unknown, long silentSinceMillis, long nowMillis) {
    WorkerLease lease = worker.lease();
    Optional<OnWorkerClock> onWorkerClock = lease.onWorkerClock();
    log.log(
        "worker.lease_expired",
        "worker",
        worker.entry.id(),
        "incarnation",
        worker.entry.incarnation(),
        "tasks",
        released,
        "inDoubt",
        worker.tasks().size(),
        "lastBound",
        lease.lastBound(),
        "leaseEnd",
        onWorkerClock.map(OnWorkerClock::endMillis).orElse(UNKNOWN_MILLIS),
        "inheritedLeaseEnd",
        onWorkerClock.map(OnWorkerClock::inheritedEndMillis).orElse(UNKNOWN_MILLIS),
        "clock",
        onWorkerClock.map(OnWorkerClock::clockMillis).orElse(UNKNOWN_MILLIS),
        "clockAge",
        onWorkerClock.map(known -> nowMillis - known.readMillis()).orElse(UNKNOWN_MILLIS),
        "unknownLeaseEndAgo",
        nowMillis - unknown.endMillis(),
        "unknownOwnEndAgo",
        nowMillis - unknown.ownEndMillis(),
        "unknownInheritedEndAgo",
        unknown.inheritedEndMillis() > 0
            ? nowMillis - unknown.inheritedEndMillis()
            : UNKNOWN_MILLIS,
        "unknownCountedFromAgo",
        nowMillis - unknown.countedFromMillis(),
        "silentMillis",
        nowMillis - silentSinceMillis);
  }

  /**
   * Logs that a later incarnation has executed a command, which the clock in the response shows.
   *
   * @param worker the incarnation for which the command was meant
   * @param sentMillis when the command was sent, monotonic ms
   */
  void logLaterIncarnation(
      Worker worker,
      String command,
      TaskId task,
      int attempt,
      CommandResponse response,
      long sentMillis) {
    log.log(
        "worker.later_incarnation",
        "worker",
        worker.entry.id(),
        "incarnation",
        worker.entry.incarnation(),
        "command",
        command,
        "task",
        task,
        "attempt",
        attempt,
        "reply",
        response.reply(),
        "clock",
        response.clockMillis().orElse(UNKNOWN_MILLIS),
        "lowestClock",
        worker.lease().lowestClockAt(sentMillis).orElse(UNKNOWN_MILLIS),
        "leaseEnd",
        worker.lease().longestEnd().orElse(UNKNOWN_MILLIS));
  }

  /**
   * Logs that a later incarnation has executed a report request.
   *
   * @param worker the incarnation for which the request was meant
   * @param sentMillis when the request was sent, monotonic ms
   */
  void logLaterIncarnation(Worker worker, WorkerReport report, long sentMillis) {
    log.log(
        "worker.later_incarnation",
        "worker",
        worker.entry.id(),
        "incarnation",
        worker.entry.incarnation(),
        "command",
        "report",
        "newIncarnation",
        report.incarnation(),
        "clock",
        report.clockMillis(),
        "lowestClock",
        worker.lease().lowestClockAt(sentMillis).orElse(UNKNOWN_MILLIS),
        "leaseEnd",
        worker.lease().longestEnd().orElse(UNKNOWN_MILLIS));
  }
}
