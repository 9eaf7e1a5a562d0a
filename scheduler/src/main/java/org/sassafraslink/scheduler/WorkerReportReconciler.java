package org.sassafraslink.scheduler;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.fleet.WorkerReport.EndKind;
import org.sassafraslink.api.fleet.WorkerReport.Ended;
import org.sassafraslink.api.fleet.WorkerReport.Running;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.placement.EvacuatedZones;

/**
 * Updates tasks from the reports of workers.
 *
 * <p>An attempt whose start was sent to an earlier incarnation is over if a report of the present
 * one does not list it, because the present one then rejects that start, whose fencing token is
 * lower than that of the report request.
 *
 * <p>An attempt that its worker has confirmed is over if a report requested after the confirmation
 * lists it neither as running nor as ended. An attempt whose start was sent by an earlier scheduler
 * is over if the first report under the new fencing token does not list it, because from then on
 * the worker rejects commands with the old token.
 */
final class WorkerReportReconciler {
  /**
   * Most ended attempts that a worker report lists. A report with this many may be incomplete, so
   * no conclusion is drawn from what it does not list.
   */
  private static final int MAX_REPORTED_ENDS = 500;

  /** How long the response to a command that stops an orphaned attempt may take, in ms. */
  private static final long STOP_RESPONSE_MILLIS = 600;

  /** Receives changes of tasks; called on the scheduler's thread. */
  interface Listener {
    /**
     * Called when a worker runs an attempt of a task that is not its current one, and is told to
     * stop it.
     *
     * @param endMillis when the attempt has ended if the worker responds, monotonic ms
     */
    void onOrphan(Task task, long endMillis);

    void onStarted(Task task);

    /** Called when the restarted worker of an attempt reports that it runs it. */
    void onRunningAfterRestart(Task task);

    /**
     * Called when a worker's report does not list an attempt whose start is not repeated, although
     * it may still arrive.
     */
    void onUnreportedStart(Task task, String reason);

    /** Called when an attempt is over, but no report lists how it ended. */
    void onOutcomeUnknown(Task task);

    /**
     * Called when an attempt has succeeded.
     *
     * @param runMillis time since the worker confirmed the attempt, in ms
     */
    void onDone(Task task, long runMillis);

    void onFailed(Task task);

    /** Called when an attempt ended neither successfully nor by a failure of the task. */
    void onInterrupted(Task task, String endKind);
  }

  private record Attempt(TaskId task, int number) {}

  private final WorkerClient client;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final BackfillThrottle backfillThrottle;
  private final Function<String, Job> findLiveJob;
  private final Listener listener;
  private final long maxStopMillis;

  WorkerReportReconciler(
      WorkerClient client,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      BackfillThrottle backfillThrottle,
      Function<String, Job> findLiveJob,
      Listener listener,
      long maxStopMillis) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.backfillThrottle = backfillThrottle;
    this.findLiveJob = findLiveJob;
    this.listener = listener;
    this.maxStopMillis = maxStopMillis;
  }

  /**
   * Updates the tasks of a worker from a worker report requested at {@code sentMillis}, monotonic
   * ms.
   */
  void applyReport(Worker worker, WorkerReport report, long sentMillis) {
    for (Ended ended : report.ended()) {
      if (ended.sequence() > worker.lastProcessedEnd) {
        worker.lastProcessedEnd = ended.sequence();
        applyEnded(worker, ended);
      }
    }
    // Reports on different connections may overtake each other.
    boolean isNewest = report.clockMillis() >= worker.newestReportClockMillis;
    worker.newestReportClockMillis = Math.max(worker.newestReportClockMillis, report.clockMillis());
    if (isNewest) {
      worker.runsOrphan = countUnknownAttempts(worker, report) > 0;
    }
    Set<Attempt> reported = new HashSet<>();
    for (Running running : report.running()) {
      reported.add(new Attempt(running.task(), running.attempt()));
      applyRunning(worker, running, isNewest);
    }
    if (report.ended().size() < MAX_REPORTED_ENDS) {
      for (Task task : worker.tasks()) {
        boolean isReported = reported.contains(new Attempt(task.id, task.attempt));
        if (!isReported && isOverIfUnreported(task, sentMillis)) {
          listener.onOutcomeUnknown(task);
        } else if (!isReported && isWithheldSince(task, sentMillis)) {
          task.membersOfAttempt()
              .forEach(member -> listener.onUnreportedStart(member, EvacuatedZones.REASON));
        }
      }
    }
    backfillThrottle.adjustBackfill(worker);
  }

  /**
   * Returns whether an attempt is over, given that a report requested at {@code sentMillis},
   * monotonic ms, does not list it.
   */
  private static boolean isOverIfUnreported(Task task, long sentMillis) {
    if (task.movedToRestartedWorker) {
      return true;
    }
    return switch (task.phase) {
      case RUNNING -> task.confirmedMillis < sentMillis;
      case STOPPING -> task.stopAcceptedMillis > 0 && task.stopAcceptedMillis < sentMillis;
      case ORDERED -> task.restored;
      default -> false;
    };
  }

  private static boolean isWithheldSince(Task task, long sentMillis) {
    return task.phase == TaskPhase.ORDERED
        && task.startWithheldMillis > 0
        && task.startWithheldMillis <= sentMillis;
  }

  private void applyRunning(Worker worker, Running running, boolean isNewest) {
    Task task = findCurrentTask(worker, running.task(), running.attempt());
    if (task == null) {
      stopOrphanedAttempt(worker, running);
      return;
    }
    if (isNewest && !running.checkpoint().isEmpty()) {
      task.job.recordCheckpoint(task, running.checkpoint());
    }
    task.speedPercent = running.speedPercent();
    task.reportedLoad = running.load();
    if (task.phase == TaskPhase.ORDERED) {
      listener.onStarted(task);
    }
    if (task.movedToRestartedWorker) {
      listener.onRunningAfterRestart(task);
    }
  }

  private void applyEnded(Worker worker, Ended ended) {
    Task task = findCurrentTask(worker, ended.task(), ended.attempt());
    if (task == null) {
      // The end was processed before, or it belongs to an attempt that is no longer current.
      return;
    }
    Job job = task.job;
    if (!ended.checkpoint().isEmpty()) {
      job.recordCheckpoint(task, ended.checkpoint());
    }
    log.log(
        "task.ended",
        "job",
        task.id.job(),
        "task",
        task.id,
        "attempt",
        task.attempt,
        "worker",
        worker.entry.id(),
        "how",
        ended.kind(),
        "ran",
        clock.monotonicMillis() - task.confirmedMillis);
    if (ended.kind() == EndKind.DONE && task.step.gang()) {
      // A gang succeeds as a whole: one reported success counts for all its tasks.
      task.membersOfAttempt().forEach(member -> notifyDone(member));
    } else if (ended.kind() == EndKind.DONE) {
      notifyDone(task);
    } else if (ended.kind() == EndKind.FAILED) {
      listener.onFailed(task);
    } else {
      listener.onInterrupted(task, ended.kind().name());
    }
    worker.acknowledgeAfterCommit(ended.sequence(), job);
  }

  private void notifyDone(Task task) {
    listener.onDone(task, clock.monotonicMillis() - task.confirmedMillis);
  }

  /** Returns how many running attempts of a report this scheduler does not expect there. */
  long countUnknownAttempts(Worker worker, WorkerReport report) {
    return report.running().stream()
        .filter(running -> findCurrentTask(worker, running.task(), running.attempt()) == null)
        .count();
  }

  /**
   * Returns the task whose current attempt has this number and may run on this worker; null if
   * there is none.
   */
  private Task findCurrentTask(Worker worker, TaskId id, int attempt) {
    Job job = findLiveJob.apply(id.job());
    Task task = job == null ? null : job.task(id);
    boolean isCurrent =
        task != null
            && task.worker == worker
            && task.attempt == attempt
            && task.phase.mayBeKnownToWorker();
    return isCurrent ? task : null;
  }

  private void stopOrphanedAttempt(Worker worker, Running running) {
    if (!lease.isValid()) {
      return;
    }
    log.log(
        "task.stray",
        "job",
        running.task().job(),
        "task",
        running.task(),
        "attempt",
        running.attempt(),
        "worker",
        worker.entry.id());
    Job job = findLiveJob.apply(running.task().job());
    Task task = job == null ? null : job.task(running.task());
    if (task != null) {
      listener.onOrphan(task, clock.monotonicMillis() + STOP_RESPONSE_MILLIS + maxStopMillis);
    }
    client.stop(
        worker.entry,
        running.task(),
        running.attempt(),
        worker.fencingToken(lease.epoch()),
        lease.commandPermission(),
        response -> log.log("task.stray_stopped", "task", running.task(), "answer", response));
  }
}
