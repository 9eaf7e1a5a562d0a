package org.sassafraslink.scheduler;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.sassafraslink.scheduler.cancellation.ClockTimes;

/**
 * Converts the time at which the inherited leases of a worker's incarnation have expired to the
 * store's clock and back, so that the row of a job tells it to the next scheduler.
 *
 * <p>A task is assigned only to an incarnation that has reported, and commands to earlier ones have
 * no effect after its first report. So the time is final once it is in the row of a job. Without it
 * a scheduler assumes the worst that the age of the incarnation allows.
 */
final class InheritedLeaseEnds {
  /** The stored value if all inherited leases have expired. */
  private static final long EXPIRED = 0;

  private final Supplier<Optional<StoreTime>> storeTime;

  private InheritedLeaseEnds(Supplier<Optional<StoreTime>> storeTime) {
    this.storeTime = storeTime;
  }

  /**
   * Creates an instance.
   *
   * @param storeTime the latest reading of the store's clock; empty if there is none
   */
  static InheritedLeaseEnds of(Supplier<Optional<StoreTime>> storeTime) {
    return new InheritedLeaseEnds(storeTime);
  }

  /**
   * Returns the time to store for an incarnation of a worker, in ms of the store's clock; empty if
   * that clock is unknown.
   */
  OptionalLong toStore(Worker worker, ClockTimes now) {
    long endMillis = worker.lease().latestInheritedExpiryMillis();
    if (endMillis < now.monotonicMillis()) {
      return OptionalLong.of(EXPIRED);
    }
    return storeTime.get().stream()
        .mapToLong(time -> time.notPassedBefore(endMillis, now.monotonicMillis(), now.wallMillis()))
        .findFirst();
  }

  /**
   * Returns from which time on the leases have expired, monotonic ms, given the stored value; empty
   * if the store's clock is needed and unknown.
   */
  OptionalLong fromStore(long storedMillis, long nowMillis) {
    if (storedMillis == EXPIRED) {
      return OptionalLong.of(nowMillis);
    }
    return storeTime.get().stream()
        .mapToLong(time -> time.certainlyPassedFromMillis(storedMillis))
        .findFirst();
  }
}
