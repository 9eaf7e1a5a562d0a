package org.sassafraslink.scheduler.cancellation;

import org.sassafraslink.api.fleet.FleetClock;

/**
 * A moment on both clocks of this VM. The monotonic clock stops while the VM is suspended, and the
 * wall clock may be changed.
 *
 * @param monotonicMillis monotonic ms
 * @param wallMillis Unix ms
 */
public record ClockTimes(long monotonicMillis, long wallMillis) {
  /** A moment before all others. */
  public static final ClockTimes NEVER = new ClockTimes(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  /** Returns the present moment. */
  public static ClockTimes read(FleetClock clock) {
    return new ClockTimes(clock.monotonicMillis(), clock.wallMillis());
  }

  /** Returns the later of two moments by the monotonic clock. */
  public static ClockTimes later(ClockTimes first, ClockTimes second) {
    return first.monotonicMillis() >= second.monotonicMillis() ? first : second;
  }

  /** Returns whether less time than {@code millis} has passed until {@code now} by both clocks. */
  boolean isYoungerThan(long millis, ClockTimes now) {
    return now.monotonicMillis() - monotonicMillis < millis
        && now.wallMillis() - wallMillis < millis;
  }
}
