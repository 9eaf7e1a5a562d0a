package org.sassafraslink.scheduler;

import java.util.Optional;

/**
 * The leases granted to one incarnation of a worker. The end of a lease is a time on the clock of
 * the incarnation, so no lease is granted before the incarnation has reported its clock.
 *
 * <p>An incarnation may also hold a lease that a command to an earlier one granted. Such commands
 * are executed only before the first report under the incarnation's own fencing token, so the clock
 * in this report bounds their leases.
 *
 * <p>The clock may run as slow as {@link #MIN_CLOCK_RATE}, so a lease counts as expired only when
 * it has expired at that rate.
 *
 * @param unknownLeasesEndMillis when all leases have expired that earlier schedulers granted to
 *     this incarnation, monotonic ms
 * @param unknownInheritedEndMillis when all leases have expired that commands to earlier
 *     incarnations granted before this one has reported its clock, monotonic ms
 * @param onWorkerClock empty until the incarnation has reported its clock
 */
record WorkerLease(
    long unknownLeasesEndMillis,
    long unknownInheritedEndMillis,
    Optional<OnWorkerClock> onWorkerClock) {
  /** Lowest rate of a worker's monotonic clock, as a fraction of true time. */
  private static final double MIN_CLOCK_RATE = 0.98;

  /** Bound on the error of a difference of two rounded times, in ms. */
  private static final long ROUNDING_MILLIS = 2;

  /** Added to the end of a lease before the worker's tasks count as killed, in ms. */
  private static final long EXPIRY_MARGIN_MILLIS = 150;

  /** The kinds of leases of an incarnation. */
  enum Bound {
    /** Granted to this incarnation by this scheduler, with an end on the worker's clock. */
    GRANTED,
    /** Granted by commands to earlier incarnations. */
    INHERITED,
    /** Granted to this incarnation by earlier schedulers; the end on its clock is unknown. */
    UNKNOWN_OWN,
    /** Granted by commands of earlier schedulers to earlier incarnations, as above. */
    UNKNOWN_INHERITED
  }

  /**
   * The last reading of the worker's clock, and the lease granted on it.
   *
   * @param clockMillis the worker's clock, ms
   * @param readMillis when it was read, monotonic ms
   * @param endMillis end of the longest lease granted, on the worker's clock; 0 if none was granted
   * @param inheritedEndMillis end of the leases that commands to earlier incarnations may have
   *     granted, on the worker's clock
   */
  record OnWorkerClock(long clockMillis, long readMillis, long endMillis, long inheritedEndMillis) {
    private OnWorkerClock read(long workerClockMillis, long nowMillis) {
      return new OnWorkerClock(
          Math.max(clockMillis, workerClockMillis), nowMillis, endMillis, inheritedEndMillis);
    }

    private OnWorkerClock grantUntil(long newEndMillis) {
      return new OnWorkerClock(
          clockMillis, readMillis, Math.max(endMillis, newEndMillis), inheritedEndMillis);
    }

    private boolean isExpired(long nowMillis) {
      double minElapsedMillis = (nowMillis - readMillis) * MIN_CLOCK_RATE;
      return clockMillis + minElapsedMillis
          > Math.max(endMillis, inheritedEndMillis) + EXPIRY_MARGIN_MILLIS;
    }

    /** Returns the last time at which a lease may not have expired, monotonic ms. */
    private long expiryMillis(long leaseEndMillis) {
      long leftMillis = leaseEndMillis + EXPIRY_MARGIN_MILLIS - clockMillis;
      return readMillis + (long) Math.floor(leftMillis / MIN_CLOCK_RATE);
    }

    /** Returns the lowest time that this clock can have shown at {@code millis}, monotonic ms. */
    private long lowestAt(long millis) {
      long sinceReadMillis = millis - readMillis;
      double elapsedMillis =
          sinceReadMillis < 0 ? sinceReadMillis : sinceReadMillis * MIN_CLOCK_RATE;
      return clockMillis + (long) Math.floor(elapsedMillis) - ROUNDING_MILLIS;
    }
  }

  /** Returns the leases of an incarnation that has not reported its clock. */
  static WorkerLease ofUnknownClock(long unknownLeasesEndMillis, long unknownInheritedEndMillis) {
    return new WorkerLease(unknownLeasesEndMillis, unknownInheritedEndMillis, Optional.empty());
  }

  /**
   * Returns these leases after the incarnation has reported its clock.
   *
   * @param inheritedLeaseMillis how long after its first report leases may last that commands to
   *     earlier incarnations granted; ignored for further reports
   */
  WorkerLease read(long workerClockMillis, long inheritedLeaseMillis, long nowMillis) {
    OnWorkerClock read =
        onWorkerClock
            .map(known -> known.read(workerClockMillis, nowMillis))
            .orElseGet(
                () ->
                    new OnWorkerClock(
                        workerClockMillis,
                        nowMillis,
                        /* endMillis= */ 0,
                        workerClockMillis + inheritedLeaseMillis));
    return new WorkerLease(unknownLeasesEndMillis, unknownInheritedEndMillis, Optional.of(read));
  }

  /**
   * Returns whether a response with this time of the worker's clock, to a request sent at {@code
   * sentMillis}, can be from this incarnation. The clock of a later one begins at any value. If it
   * is ahead, leases on the clock of this incarnation are shorter there, or have expired.
   */
  boolean canBeClock(long responseClockMillis, long sentMillis) {
    return onWorkerClock
        .map(known -> responseClockMillis >= known.lowestAt(sentMillis))
        .orElse(true);
  }

  /**
   * Returns the end of a lease of {@code leaseMillis} from now on, in ms on the worker's clock;
   * empty if that clock is unknown.
   */
  Optional<Long> endOf(long leaseMillis, long nowMillis) {
    return onWorkerClock.map(
        known -> known.clockMillis() + (nowMillis - known.readMillis()) + leaseMillis);
  }

  /** Returns the end of the longest lease granted; empty if the worker's clock is unknown. */
  Optional<Long> longestEnd() {
    return onWorkerClock.map(OnWorkerClock::endMillis);
  }

  /** Returns these leases after one with this end on the worker's clock was granted. */
  WorkerLease grantUntil(long endMillis) {
    return new WorkerLease(
        unknownLeasesEndMillis,
        unknownInheritedEndMillis,
        onWorkerClock.map(known -> known.grantUntil(endMillis)));
  }

  /**
   * Returns these leases with others of unknown end, granted to an earlier incarnation, that have
   * expired at {@code endMillis}.
   */
  WorkerLease withInheritedLeasesUntil(long endMillis) {
    return new WorkerLease(
        unknownLeasesEndMillis, Math.max(unknownInheritedEndMillis, endMillis), onWorkerClock);
  }

  /**
   * Returns these leases, given that those from commands to earlier incarnations have expired at
   * {@code endMillis}, monotonic ms.
   */
  WorkerLease limitInheritedLeases(long endMillis) {
    return new WorkerLease(
        unknownLeasesEndMillis, Math.min(unknownInheritedEndMillis, endMillis), onWorkerClock);
  }

  /** Returns these leases, given that those of unknown end have expired at {@code endMillis}. */
  WorkerLease limitUnknownLeases(long endMillis) {
    return new WorkerLease(
        Math.min(unknownLeasesEndMillis, endMillis),
        Math.min(unknownInheritedEndMillis, endMillis),
        onWorkerClock);
  }

  /** Returns whether every lease has expired. */
  boolean isExpired(long nowMillis) {
    return nowMillis > unknownLeasesEndMillis
        && nowMillis > unknownInheritedEndMillis
        && onWorkerClock.map(known -> known.isExpired(nowMillis)).orElse(true);
  }

  /** Returns the last time at which a lease may not have expired, monotonic ms. */
  long latestExpiryMillis() {
    return Math.max(
        latestUnknownExpiryMillis(),
        onWorkerClock
            .map(known -> known.expiryMillis(Math.max(known.endMillis, known.inheritedEndMillis)))
            .orElse(unknownLeasesEndMillis));
  }

  /** Returns the last time at which a lease of unknown end may not have expired, monotonic ms. */
  long latestUnknownExpiryMillis() {
    return Math.max(unknownLeasesEndMillis, unknownInheritedEndMillis);
  }

  /**
   * Returns the last time at which a lease from a command to an earlier incarnation may not have
   * expired, monotonic ms.
   */
  long latestInheritedExpiryMillis() {
    return Math.max(
        unknownInheritedEndMillis,
        onWorkerClock
            .map(known -> known.expiryMillis(known.inheritedEndMillis))
            .orElse(unknownInheritedEndMillis));
  }

  /** Returns which leases expire last. */
  Bound lastBound() {
    long latestExpiryMillis = latestExpiryMillis();
    if (latestExpiryMillis == unknownLeasesEndMillis) {
      return Bound.UNKNOWN_OWN;
    }
    if (latestExpiryMillis == unknownInheritedEndMillis) {
      return Bound.UNKNOWN_INHERITED;
    }
    return onWorkerClock.map(known -> known.inheritedEndMillis > known.endMillis).orElse(false)
        ? Bound.INHERITED
        : Bound.GRANTED;
  }

  /**
   * Returns the lowest time that the worker's clock can have shown at {@code millis}, monotonic ms;
   * empty if that clock is unknown.
   */
  Optional<Long> lowestClockAt(long millis) {
    return onWorkerClock.map(known -> known.lowestAt(millis));
  }
}
