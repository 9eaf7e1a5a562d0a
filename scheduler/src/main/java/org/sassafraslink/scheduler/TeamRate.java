package org.sassafraslink.scheduler;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which jobs of a team lie beyond the rate that its share entitles it to.
 *
 * <p>A team's weight is also the number of jobs a second that it is owed. What a team sends beyond
 * is run when nothing else waits, so that one team's burst does not delay the others.
 */
final class TeamRate {
  private static final long WINDOW_MILLIS = 1_000;

  private final Map<String, Deque<Long>> acceptedByTeam = new HashMap<>();

  void reset() {
    acceptedByTeam.clear();
  }

  /**
   * Whether a job is beyond its team's rate; jobs come in the order of their acceptance.
   *
   * @param weight jobs a second; 0 or less for no bound
   */
  boolean isExcess(String team, long acceptedMillis, double weight) {
    if (weight <= 0) {
      return false;
    }
    Deque<Long> accepted = acceptedByTeam.computeIfAbsent(team, name -> new ArrayDeque<>());
    while (!accepted.isEmpty() && accepted.peekFirst() <= acceptedMillis - WINDOW_MILLIS) {
      accepted.pollFirst();
    }
    if (accepted.size() >= weight) {
      return true;
    }
    accepted.addLast(acceptedMillis);
    return false;
  }
}
