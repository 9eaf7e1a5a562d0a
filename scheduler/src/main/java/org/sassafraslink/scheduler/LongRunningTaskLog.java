package org.sassafraslink.scheduler;

import java.util.Optional;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.relocation.AwaySince;

/**
 * Writes a line when a long-running task loses its worker and when it runs again.
 *
 * <p>The lines have event names of their own, since many of the lines that all tasks share are
 * suppressed in a busy second.
 */
final class LongRunningTaskLog {
  private final EventLog log;

  /** When this process acquired the scheduling lease, monotonic ms. */
  private long takeoverMillis;

  LongRunningTaskLog(EventLog log) {
    this.log = log;
  }

  /** Discards all state, because this process has acquired or lost the scheduling lease. */
  void reset(long newTakeoverMillis) {
    takeoverMillis = newTakeoverMillis;
  }

  /**
   * Records that a task of a job, whose previous scheduler has stored its attempts, has no worker.
   * Since when is unknown, but at least since the takeover.
   */
  void recordRestored(Task task) {
    if (task.step.longRunning() && task.phase == TaskPhase.WAITING && task.attempt > 0) {
      task.awaySince = Optional.of(new AwaySince(takeoverMillis, AwaySince.Source.TAKEOVER));
    }
  }

  /** Records that the current attempt of a task ends, unless the task is to end. */
  void recordRelease(Task task, TaskPhase nextPhase, String reason, long nowMillis) {
    if (!task.step.longRunning()
        || nextPhase != TaskPhase.WAITING
        || task.job.state.isFinal()
        || task.job.cancelRequested) {
      return;
    }
    boolean mayHaveRun = task.confirmedMillis > 0 || task.restored;
    if (mayHaveRun) {
      task.awaySince = Optional.of(task.lastKnownRun(takeoverMillis, nowMillis));
    }
    write("long_running.away", task, reason, nowMillis);
  }

  /** Records that a worker has confirmed that it runs the current attempt of a task. */
  void recordStart(Task task, long nowMillis) {
    if (task.awaySince.isPresent()) {
      write("long_running.back", task, "", nowMillis);
      task.awaySince = Optional.empty();
    }
  }

  private void write(String event, Task task, String reason, long nowMillis) {
    log.log(
        event,
        "job",
        task.id.job(),
        "task",
        task.id,
        "attempt",
        task.attempt,
        "worker",
        task.worker == null ? "" : task.worker.entry.id(),
        "reason",
        reason,
        "awayMillis",
        task.awaySince.map(since -> nowMillis - since.millis()).orElse(0L),
        "since",
        task.awaySince.map(since -> since.source().name()).orElse(""));
  }
}
