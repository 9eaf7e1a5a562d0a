package org.sassafraslink.scheduler.incarnation;

/**
 * Bounds what commands to an incarnation of a worker can cause in a later one. A command without a
 * response may be executed seconds later, also by an incarnation that has started since. The end of
 * a lease in such a command may lie far ahead on the new clock. The worker then shortens the lease
 * to the longest that it grants, from the time of execution.
 *
 * @param maxLeaseMillis the duration to which a worker shortens a lease, on its own clock
 * @param commandDelayMillis how long after it was sent a command is executed at most
 * @param lastCommandMillis how long after the start of an incarnation a command with a lease is
 *     sent to an earlier one at most
 */
public record LateCommandBounds(
    long maxLeaseMillis, long commandDelayMillis, long lastCommandMillis) {
  /** Bound on the error of an age that is the difference of two VMs' wall clocks, in ms. */
  private static final long WALL_CLOCK_ERROR_MILLIS = 5_000;

  /** Longest true duration of a lease per duration on the worker's clock, which may be slow. */
  private static final double MAX_TRUE_PER_CLOCK_MILLIS = 1.04;

  /** Added to the true duration of a lease whose end is not known on a clock, in ms. */
  private static final long UNKNOWN_END_MARGIN_MILLIS = 300;

  /** Returns how long a lease may last in true time if its end on a known clock is unknown. */
  public static long longestTrueMillis(long leaseMillis) {
    return (long) (leaseMillis * MAX_TRUE_PER_CLOCK_MILLIS) + UNKNOWN_END_MARGIN_MILLIS;
  }

  /**
   * Returns how much longer an incarnation may hold a lease from commands to earlier ones, on its
   * own clock, if it executes no further ones. This is less than the longest lease if it is so old
   * that it executed the last of these commands some time ago.
   *
   * @param ageMillis time since the start of the incarnation, by wall clocks
   */
  public long inheritedLeaseMillis(long ageMillis) {
    long lastExecutedMillis = lastCommandMillis + commandDelayMillis + WALL_CLOCK_ERROR_MILLIS;
    return Math.max(0, maxLeaseMillis - Math.max(0, ageMillis - lastExecutedMillis));
  }

  /** Returns when a run has ended that a start executed at {@code executedMillis} began. */
  long runEndMillis(long executedMillis) {
    return executedMillis + longestTrueMillis(maxLeaseMillis);
  }

  /** Returns when a run has ended that a start sent at {@code sentMillis} may begin later. */
  public long lateRunEndMillis(long sentMillis) {
    return runEndMillis(sentMillis + commandDelayMillis);
  }
}
