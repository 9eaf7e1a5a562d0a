package org.sassafraslink.scheduler;

import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerClient.TaskReply;
import org.sassafraslink.api.log.EventLog;

/**
 * Reduces the speed of backfill tasks while a serving task on the same worker is near or above its
 * latency target, and raises it when all serving tasks there are well below their targets.
 *
 * <p>The speed, in percent of full speed, is halved after each report in which the ratio of tail
 * latency to target is too high for a serving task. It is raised in small steps.
 */
final class BackfillThrottle {
  /** Ratio of tail latency to target above which the speed of backfill is reduced. */
  private static final double REDUCE_ABOVE_RATIO = 0.9;

  /** Ratio of tail latency to target below which the speed of backfill is raised. */
  private static final double RAISE_BELOW_RATIO = 0.65;

  /** A speed reduced below this, in percent, is replaced by 0. */
  private static final int MIN_PERCENT = 20;

  private static final int RAISE_STEP_PERCENT = 10;
  private static final int FULL_PERCENT = 100;

  /**
   * Minimum time between two changes for one task, in ms. Reported loads are means over half a
   * second, so an earlier report does not show the full effect of the last change.
   */
  private static final long MIN_CHANGE_INTERVAL_MILLIS = 700;

  private final WorkerClient client;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;

  BackfillThrottle(WorkerClient client, FleetClock clock, EventLog log, SchedulerLease lease) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
  }

  /** Adjusts the speeds of the backfill tasks on {@code worker} after a worker report. */
  void adjustBackfill(Worker worker) {
    if (!worker.hasBackfillTask()) {
      return;
    }
    double worstLatencyRatio = 0;
    for (Task task : worker.tasks()) {
      if (task.step.serving() && task.phase == TaskPhase.RUNNING) {
        worstLatencyRatio =
            Math.max(worstLatencyRatio, task.reportedLoad / task.step.latencyTargetMillis());
      }
    }
    for (Task task : worker.tasks()) {
      if (task.step.backfill() && task.phase == TaskPhase.RUNNING) {
        int newSpeedPercent = nextSpeedPercent(task.requestedSpeedPercent, worstLatencyRatio);
        if (newSpeedPercent != task.requestedSpeedPercent) {
          requestSpeed(task, newSpeedPercent, worstLatencyRatio);
        }
      }
    }
  }

  /**
   * Returns the next speed of a backfill task, in percent of full speed.
   *
   * @param worstLatencyRatio highest ratio of tail latency to target among the serving tasks on the
   *     same worker
   */
  static int nextSpeedPercent(int currentPercent, double worstLatencyRatio) {
    if (worstLatencyRatio > REDUCE_ABOVE_RATIO) {
      int halfPercent = currentPercent / 2;
      return halfPercent < MIN_PERCENT ? 0 : halfPercent;
    }
    return worstLatencyRatio < RAISE_BELOW_RATIO
        ? Math.min(FULL_PERCENT, currentPercent + RAISE_STEP_PERCENT)
        : currentPercent;
  }

  private void requestSpeed(Task task, int speedPercent, double worstLatencyRatio) {
    long now = clock.monotonicMillis();
    if (now < task.nextSpeedChangeMillis || !lease.isValid()) {
      return;
    }
    task.nextSpeedChangeMillis = now + MIN_CHANGE_INTERVAL_MILLIS;
    int attempt = task.attempt;
    client.setSpeed(
        task.worker.entry,
        task.id,
        attempt,
        speedPercent,
        task.worker.fencingToken(lease.epoch()),
        lease.commandPermission(),
        response -> {
          log.log(
              "task.paced",
              "job",
              task.id.job(),
              "task",
              task.id,
              "percent",
              speedPercent,
              "worstPartOfTarget",
              worstLatencyRatio,
              "answer",
              response);
          boolean isApplied =
              response.map(found -> found.reply() == TaskReply.ACCEPTED).getOrElse(false);
          if (isApplied && task.attempt == attempt) {
            task.requestedSpeedPercent = speedPercent;
          }
        });
  }
}
