package org.sassafraslink.api.log;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the suppressed lines of each event name by second of the wall clock, so that a log that
 * limits its lines still shows the rate of every event.
 *
 * <p>Not thread-safe: {@link EventLog} calls it while holding its lock.
 */
final class SuppressedLineCounts {
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Suppressed lines by event name in the second that starts at {@code startMillis}. */
  record Second(long startMillis, Map<String, Long> linesByEvent) {
    boolean isEmpty() {
      return linesByEvent.isEmpty();
    }
  }

  private long startMillis;
  private Map<String, Long> linesByEvent = new TreeMap<>();

  /** Counts a suppressed line. {@link #endSecondBefore} must have been called with its time. */
  void count(String event) {
    linesByEvent.merge(event, 1L, Long::sum);
  }

  /**
   * Starts the second of {@code nowMillis} unless it is the current one, and returns the counts of
   * the second that ended; they are empty if none ended or if it had no suppressed line.
   */
  Second endSecondBefore(long nowMillis) {
    long newStartMillis = nowMillis - Math.floorMod(nowMillis, MILLIS_PER_SECOND);
    if (newStartMillis == startMillis) {
      return new Second(startMillis, Map.of());
    }
    Second ended = new Second(startMillis, linesByEvent);
    startMillis = newStartMillis;
    linesByEvent = new TreeMap<>();
    return ended;
  }
}
