package org.sassafraslink.scheduler;

import org.sassafraslink.api.fleet.Resources;

/**
 * Tracks the resources that a team's tasks use on all workers.
 *
 * <p>Not thread-safe: used only on the scheduler's thread.
 */
final class TeamUsage {
  final String name;
  private Resources used = Resources.NONE;

  TeamUsage(String name) {
    this.name = name;
  }

  void acquire(Resources need) {
    used = used.plus(need);
  }

  void release(Resources need) {
    used = used.minus(need);
  }

  Resources used() {
    return used;
  }

  /**
   * Returns whether the team may use {@code need} in addition without exceeding {@code limit}. A
   * resource whose limit is 0 is not limited.
   */
  boolean admits(Resources need, Resources limit) {
    Resources usedAfter = used.plus(need);
    return isWithin(usedAfter.cpuMillis(), limit.cpuMillis())
        && isWithin(usedAfter.memoryMb(), limit.memoryMb())
        && isWithin(usedAfter.accelerators(), limit.accelerators());
  }

  private static boolean isWithin(long amount, long limit) {
    return limit == 0 || amount <= limit;
  }
}
