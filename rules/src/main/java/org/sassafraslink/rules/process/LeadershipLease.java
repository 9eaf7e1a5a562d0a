package org.sassafraslink.rules.process;

import java.util.Optional;

/**
 * The leadership lease of one leadership task, as stored in its row of the table service.
 *
 * <p>A leadership task is work that one elected process does for all daemons. The lease only makes
 * it unlikely that two processes do the task at the same time and overwrite each other's changes.
 * It does not stop a holder that is paused and resumes after its lease has expired. Therefore each
 * transaction of the task checks the version of this row, which every change of the row increases,
 * so the transactions of a previous holder fail.
 *
 * @param holder the id of the process that acquired the lease last; empty if none did
 * @param epoch incremented with each change of holder
 * @param untilMillis when the lease expires and another process may acquire it, in Unix
 *     milliseconds
 */
public record LeadershipLease(String holder, long epoch, long untilMillis) {
  private static final String KEY_PREFIX = "duty/";

  /** Returns the key of the lease row of the leadership task {@code task}. */
  public static String key(String task) {
    return KEY_PREFIX + task;
  }

  /** Returns the lease of a leadership task that no process has held yet. */
  public static LeadershipLease neverHeld() {
    return new LeadershipLease("", 0, 0);
  }

  /**
   * Returns the lease after {@code self} acquires or renews it, or empty while another process
   * holds it.
   *
   * @param nowMillis the current time, in Unix milliseconds
   * @param leaseMillis the duration of the lease, in ms
   */
  public Optional<LeadershipLease> acquire(String self, long nowMillis, long leaseMillis) {
    boolean isHeldBySelf = holder.equals(self);
    if (!isHeldBySelf && nowMillis < untilMillis) {
      return Optional.empty();
    }
    long nextEpoch = isHeldBySelf ? epoch : epoch + 1;
    return Optional.of(new LeadershipLease(self, nextEpoch, nowMillis + leaseMillis));
  }

  /**
   * Returns whether {@code self} should call {@link #acquire} now: it does not hold the lease, or
   * less than half of the duration of the lease is left.
   *
   * @param nowMillis the current time, in Unix milliseconds
   * @param leaseMillis the duration of a lease, in ms
   */
  public boolean shouldAcquire(String self, long nowMillis, long leaseMillis) {
    return !holder.equals(self) || untilMillis - nowMillis < leaseMillis / 2;
  }
}
