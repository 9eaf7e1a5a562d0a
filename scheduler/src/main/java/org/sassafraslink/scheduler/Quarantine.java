package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.log.EventLog;

/**
 * Excludes workers from new tasks for some time when tasks keep failing there.
 *
 * <p>A worker on which every task fails is always free and would attract all new tasks. Only the
 * first failure of each task counts, since some tasks fail on every worker; failures of
 * long-running tasks do not count.
 */
final class Quarantine {
  /** Consecutive failures that start a quarantine. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** Length of the first quarantine, in ms; each further one is twice as long. */
  private static final long FIRST_QUARANTINE_MILLIS = 2_500;

  /** How often the length of a quarantine is doubled at most. */
  private static final int MAX_DOUBLINGS = 4;

  /** The recent ends of attempts on one incarnation of a worker. */
  private static final class WorkerHistory {
    private final long incarnation;
    private int consecutiveFailures;
    private int consecutiveQuarantines;
    private long quarantinedUntilMillis;

    WorkerHistory(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  /** The history of the latest incarnation of each worker on which an attempt has ended. */
  private final Map<String, WorkerHistory> historyByWorkerId = new HashMap<>();

  private final EventLog log;

  Quarantine(EventLog log) {
    this.log = log;
  }

  void reset() {
    historyByWorkerId.clear();
  }

  /** Records that an attempt of {@code task} on {@code worker} has ended. */
  void recordEnd(Worker worker, Task task, boolean failed, long nowMillis) {
    WorkerHistory history =
        historyByWorkerId.merge(
            worker.entry.id(),
            new WorkerHistory(worker.entry.incarnation()),
            (known, added) -> added.incarnation > known.incarnation ? added : known);
    if (history.incarnation != worker.entry.incarnation()) {
      // A report of an earlier incarnation arrived late.
      return;
    }
    if (!failed) {
      history.consecutiveFailures = 0;
      history.consecutiveQuarantines = 0;
      return;
    }
    boolean hasFailedBefore = !task.failedWorkerIds.isEmpty();
    if (hasFailedBefore || task.step.longRunning()) {
      return;
    }
    history.consecutiveFailures++;
    if (history.consecutiveFailures >= FAILURES_TO_QUARANTINE
        && nowMillis >= history.quarantinedUntilMillis) {
      history.quarantinedUntilMillis =
          nowMillis + (FIRST_QUARANTINE_MILLIS << history.consecutiveQuarantines);
      history.consecutiveQuarantines = Math.min(history.consecutiveQuarantines + 1, MAX_DOUBLINGS);
      log.log(
          "worker.quarantined",
          "worker",
          worker.entry.id(),
          "failuresInRow",
          history.consecutiveFailures,
          "millis",
          history.quarantinedUntilMillis - nowMillis);
    }
  }

  /** Returns whether a worker gets no new tasks now. */
  boolean isQuarantined(Worker worker, long nowMillis) {
    WorkerHistory history = historyByWorkerId.get(worker.entry.id());
    return history != null
        && history.incarnation == worker.entry.incarnation()
        && nowMillis < history.quarantinedUntilMillis;
  }
}
