package org.sassafraslink.scheduler;

import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.scheduler.cancellation.ClockTimes;

/**
 * Until when a process may act as the holder of the scheduling lease. Both clocks must show an
 * earlier time, because the monotonic clock stops while the VM is suspended.
 *
 * @param untilMillis monotonic ms
 * @param untilWallMillis Unix ms
 */
record LeaseValidity(long untilMillis, long untilWallMillis) {
  /** The validity before the lease was ever held. */
  static final LeaseValidity NONE = new LeaseValidity(Long.MIN_VALUE, Long.MIN_VALUE);

  /** Returns the validity after a renewal that was sent at the given times of the two clocks. */
  static LeaseValidity renewed(long sentMillis, long sentWallMillis) {
    return new LeaseValidity(
        sentMillis + SchedulerLease.LEASE_MILLIS, sentWallMillis + SchedulerLease.LEASE_MILLIS);
  }

  /** Returns how long ago the renewal was sent, by the clock that has advanced more, in ms. */
  long ageMillis(ClockTimes now) {
    return SchedulerLease.LEASE_MILLIS
        - Math.min(untilMillis - now.monotonicMillis(), untilWallMillis - now.wallMillis());
  }

  boolean isValidAt(FleetClock clock) {
    return clock.monotonicMillis() < untilMillis && clock.wallMillis() < untilWallMillis;
  }
}
