package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which workers get no new jobs because they fail what they start.
 *
 * <p>A worker that fails everything is always free and would attract all work. After some failures
 * in a row it is left alone for a time, then probed with one job.
 */
public record WorkerQuarantine(ImmutableMap<String, History> records) {
  /** Failures in a row that start a quarantine. */
  public static final int FAILURES_TO_QUARANTINE = 3;

  /** Length of a quarantine, in ms. */
  public static final long QUARANTINE_MILLIS = 60_000;

  /** What is known of a worker. */
  public record History(int failuresInRow, long untilMillis) {}

  /** The state before any job ended. */
  public static WorkerQuarantine create() {
    return new WorkerQuarantine(ImmutableMap.of());
  }

  /** Takes in a job that ended on {@code worker}. */
  public WorkerQuarantine onEnd(String worker, boolean failed, long nowMillis) {
    int before = records.containsKey(worker) ? records.get(worker).failuresInRow() : 0;
    int failures = failed ? before + 1 : 0;
    long until = failures >= FAILURES_TO_QUARANTINE ? nowMillis + QUARANTINE_MILLIS : 0;
    return with(worker, new History(failures, until));
  }

  /** Takes in a start on {@code worker}: a probe keeps others away until it ends. */
  public WorkerQuarantine onStart(String worker, long nowMillis) {
    History record = records.get(worker);
    return record == null || record.failuresInRow() < FAILURES_TO_QUARANTINE
        ? this
        : with(worker, new History(record.failuresInRow(), nowMillis + QUARANTINE_MILLIS));
  }

  /** The workers that get no jobs at {@code nowMillis}. */
  public ImmutableSet<String> quarantined(long nowMillis) {
    return records.entrySet().stream()
        .filter(entry -> nowMillis < entry.getValue().untilMillis())
        .map(Map.Entry::getKey)
        .collect(ImmutableSet.toImmutableSet());
  }

  private WorkerQuarantine with(String worker, History record) {
    Map<String, History> next = new LinkedHashMap<>(records);
    next.put(worker, record);
    return new WorkerQuarantine(ImmutableMap.copyOf(next));
  }
}
