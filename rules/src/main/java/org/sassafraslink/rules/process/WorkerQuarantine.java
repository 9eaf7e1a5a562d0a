package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which workers get no new jobs because their recent jobs failed.
 *
 * <p>A worker on which every job fails quickly always has free resources, so without a quarantine
 * all jobs would be started there. After {@link #FAILURES_TO_QUARANTINE} consecutive failures it
 * gets no jobs for {@link #QUARANTINE_MILLIS}, and then one job as a probe.
 *
 * @param historyByWorker the recent outcomes of each worker on which a job has ended, by worker id
 */
public record WorkerQuarantine(ImmutableMap<String, History> historyByWorker) {
  /** Consecutive failures that start a quarantine. */
  public static final int FAILURES_TO_QUARANTINE = 3;

  /** Duration of a quarantine, in ms. */
  public static final long QUARANTINE_MILLIS = 60_000;

  /**
   * The recent outcomes of the jobs on one worker.
   *
   * @param quarantineEndMillis when the worker may get a job again; 0 if it is not quarantined
   */
  public record History(int consecutiveFailures, long quarantineEndMillis) {}

  /** Returns the state before any job has ended. */
  public static WorkerQuarantine create() {
    return new WorkerQuarantine(ImmutableMap.of());
  }

  /** Returns the state after a job has ended on {@code worker}. */
  public WorkerQuarantine recordOutcome(String worker, boolean failed, long nowMillis) {
    int previousFailures =
        historyByWorker.containsKey(worker) ? historyByWorker.get(worker).consecutiveFailures() : 0;
    int failures = failed ? previousFailures + 1 : 0;
    long quarantineEnd = failures >= FAILURES_TO_QUARANTINE ? nowMillis + QUARANTINE_MILLIS : 0;
    return withHistory(worker, new History(failures, quarantineEnd));
  }

  /**
   * Returns the state after a job was started on {@code worker}. If the job is a probe, the
   * quarantine starts again, so that the worker gets no second job before the probe has ended.
   */
  public WorkerQuarantine recordStart(String worker, long nowMillis) {
    History history = historyByWorker.get(worker);
    return history == null || history.consecutiveFailures() < FAILURES_TO_QUARANTINE
        ? this
        : withHistory(
            worker, new History(history.consecutiveFailures(), nowMillis + QUARANTINE_MILLIS));
  }

  /** Returns the ids of the workers that get no jobs at {@code nowMillis}. */
  public ImmutableSet<String> quarantinedWorkers(long nowMillis) {
    return historyByWorker.entrySet().stream()
        .filter(entry -> nowMillis < entry.getValue().quarantineEndMillis())
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  private WorkerQuarantine withHistory(String worker, History history) {
    Map<String, History> next = new LinkedHashMap<>(historyByWorker);
    next.put(worker, history);
    return new WorkerQuarantine(ImmutableMap.copyOf(next));
  }
}
