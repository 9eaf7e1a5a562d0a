package org.sassafraslink.scheduler;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which jobs of a team exceed the team's rate.
 *
 * <p>A team's weight is also its rate in jobs per second. The excess jobs run only when no other
 * jobs wait, so that the burst of one team does not delay the others.
 */
final class TeamRate {
  /** Window in which a team's jobs are counted, in ms; 1 s, since rates are jobs per second. */
  private static final long WINDOW_MILLIS = 1_000;

  private final Map<String, Deque<Long>> acceptedMillisByTeam = new HashMap<>();

  void reset() {
    acceptedMillisByTeam.clear();
  }

  /**
   * Returns whether a job exceeds its team's rate. Must be called for jobs in the order of their
   * acceptance. Excess jobs do not count towards the rate.
   *
   * @param weight the rate in jobs per second; 0 or less for no limit
   */
  boolean isExcess(String team, long acceptedMillis, double weight) {
    if (weight <= 0) {
      return false;
    }
    Deque<Long> recentMillis =
        acceptedMillisByTeam.computeIfAbsent(team, name -> new ArrayDeque<>());
    while (!recentMillis.isEmpty() && recentMillis.peekFirst() <= acceptedMillis - WINDOW_MILLIS) {
      recentMillis.pollFirst();
    }
    if (recentMillis.size() >= weight) {
      return true;
    }
    recentMillis.addLast(acceptedMillis);
    return false;
  }
}
