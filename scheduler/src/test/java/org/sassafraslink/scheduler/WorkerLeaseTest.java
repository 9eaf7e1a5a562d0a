package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against leases that never expire, or count as expired too early, because their end was
 * computed for a clock that the worker has not reported.
 */
final class WorkerLeaseTest {
  private static final long NOW_MILLIS = 500_000_000;
  private static final long LEASE_MILLIS = 6_000;
  private static final long MAX_LEASE_MILLIS = 10_000;

  /** After {@code waitMillis}, a lease is granted, after the clock was read if {@code isRead}. */
  record Step(long waitMillis, boolean isRead) {}

  @Test
  void noLeaseEndIsKnownBeforeTheClockIsReported() {
    WorkerLease lease = WorkerLease.ofUnknownClock(NOW_MILLIS, 0);
    assertEquals(Optional.empty(), lease.endOf(LEASE_MILLIS, NOW_MILLIS));
    assertEquals(Optional.empty(), lease.longestEnd());
    assertEquals(lease, lease.grantUntil(NOW_MILLIS + LEASE_MILLIS));
  }

  /** Guards against releasing tasks that commands to an earlier incarnation may have started. */
  @Test
  void leasesOfUnknownEndCountAsExpiredWithTheClockOrWithoutIt() {
    WorkerLease unread = WorkerLease.ofUnknownClock(NOW_MILLIS, 0);
    WorkerLease read =
        unread.read(
            /* workerClockMillis= */ 500, /* inheritedLeaseMillis= */ 0, NOW_MILLIS - 3_000);
    for (WorkerLease lease : List.of(unread, read)) {
      assertFalse(lease.isExpired(NOW_MILLIS));
      assertTrue(lease.isExpired(NOW_MILLIS + 1));
    }
  }

  /**
   * Guards against releasing tasks that run under a lease of a command to an earlier incarnation.
   */
  @Property(tries = 1_000, seed = "20261206")
  void leaseOfLateCommandHasExpiredOnceItCounts(
      @ForAll @LongRange(min = 0, max = 10_000_000_000L) long entryUptimeMillis,
      @ForAll @LongRange(min = 0, max = 20_000) long firstReportAgeMillis,
      @ForAll @DoubleRange(min = 0, max = 1) double executedPart,
      @ForAll @DoubleRange(min = 0.98, max = 1) double rate) {
    long bornMillis = entryUptimeMillis;
    long reportMillis = bornMillis + firstReportAgeMillis;
    WorkerLease lease =
        WorkerLease.ofUnknownClock(0, 0)
            .read((long) (firstReportAgeMillis * rate), MAX_LEASE_MILLIS, reportMillis);
    double executedClockMillis = firstReportAgeMillis * rate * executedPart;
    double trueExpiryMillis = bornMillis + (executedClockMillis + MAX_LEASE_MILLIS) / rate;
    assertFalse(lease.isExpired((long) trueExpiryMillis));
    assertTrue(lease.isExpired(reportMillis + (long) (MAX_LEASE_MILLIS * 1.04) + 300));
  }

  /** Tries any uptime of the entry VM and of the worker, any rate of its clock, any order. */
  @Property(tries = 1_000, seed = "20261205")
  void expiryFollowsTheLastLeaseOnTheWorkersClock(
      @ForAll @LongRange(min = 0, max = 10_000_000_000L) long entryUptimeMillis,
      @ForAll @LongRange(min = 0, max = 10_000_000_000L) long workerUptimeMillis,
      @ForAll @DoubleRange(min = 0.98, max = 1) double rate,
      @ForAll("steps") List<Step> steps) {
    WorkerLease lease = WorkerLease.ofUnknownClock(0, 0);
    long elapsedMillis = 0;
    double longestEndMillis = 0;
    for (Step step : steps) {
      elapsedMillis += step.waitMillis();
      long nowMillis = entryUptimeMillis + elapsedMillis;
      if (step.isRead()) {
        lease =
            lease.read(
                (long) (workerUptimeMillis + elapsedMillis * rate),
                /* inheritedLeaseMillis= */ 0,
                nowMillis);
      }
      Optional<Long> endMillis = lease.endOf(LEASE_MILLIS, nowMillis);
      if (endMillis.isPresent()) {
        lease = lease.grantUntil(endMillis.get());
        longestEndMillis = Math.max(longestEndMillis, endMillis.get());
      }
    }
    // When the worker's own clock reaches the end of the lease, in ms after the first step.
    double trueExpiryMillis = (longestEndMillis - workerUptimeMillis) / rate;
    if (lease.longestEnd().isPresent()) {
      assertFalse(lease.isExpired((long) (entryUptimeMillis + trueExpiryMillis)));
      long latestMillis = elapsedMillis + (long) (LEASE_MILLIS * 1.1) + 500;
      assertTrue(lease.isExpired(entryUptimeMillis + latestMillis));
    }
  }

  /** Guards against a log whose bounds are not those that the scheduler decides by. */
  @Property(tries = 1_000, seed = "20261206")
  void latestExpiryIsTheLastTimeBeforeExpiry(
      @ForAll @LongRange(min = 0, max = 20_000) long unknownLeaseMillis,
      @ForAll @LongRange(min = 0, max = 20_000) long unknownInheritedMillis,
      @ForAll @LongRange(min = 0, max = 20_000) long leaseMillis,
      @ForAll @LongRange(min = 0, max = 20_000) long inheritedLeaseMillis,
      @ForAll @LongRange(min = 0, max = 10_000_000_000L) long workerClockMillis) {
    long unknownInheritedEndMillis = NOW_MILLIS + unknownInheritedMillis;
    WorkerLease lease =
        WorkerLease.ofUnknownClock(NOW_MILLIS + unknownLeaseMillis, unknownInheritedEndMillis)
            .read(workerClockMillis, inheritedLeaseMillis, NOW_MILLIS)
            .grantUntil(workerClockMillis + leaseMillis);
    assertFalse(lease.isExpired(lease.latestExpiryMillis()));
    assertTrue(lease.isExpired(lease.latestExpiryMillis() + 1));
    assertEquals(
        lease.latestExpiryMillis() == NOW_MILLIS + unknownLeaseMillis,
        lease.lastBound() == WorkerLease.Bound.UNKNOWN_OWN);
    assertEquals(
        lease.latestExpiryMillis() == unknownInheritedEndMillis
            && unknownInheritedMillis > unknownLeaseMillis,
        lease.lastBound() == WorkerLease.Bound.UNKNOWN_INHERITED);
  }

  /** Guards against taking a late or an early response of an incarnation for one of another. */
  @Property(tries = 1_000, seed = "20261206")
  void everyResponseOfTheIncarnationCanHaveItsClock(
      @ForAll @LongRange(min = 0, max = 10_000_000_000L) long workerUptimeMillis,
      @ForAll @DoubleRange(min = 0.98, max = 1) double rate,
      @ForAll @LongRange(min = -3_000, max = 3_000) long sentAfterReadMillis,
      @ForAll @LongRange(min = 0, max = 20_000) long responseTimeMillis) {
    WorkerLease lease = WorkerLease.ofUnknownClock(0, 0).read(workerUptimeMillis, 0, NOW_MILLIS);
    long sentMillis = NOW_MILLIS + sentAfterReadMillis;
    double elapsedMillis = (sentAfterReadMillis + responseTimeMillis) * rate;
    long responseClockMillis = (long) Math.floor(workerUptimeMillis + elapsedMillis);
    assertTrue(lease.canBeClock(responseClockMillis, sentMillis));
  }

  /** Guards against taking the execution by a later incarnation for one by the earlier. */
  @Test
  void clockOfLaterIncarnationIsBehind() {
    WorkerLease lease = WorkerLease.ofUnknownClock(0, 0).read(2_900, 0, NOW_MILLIS);
    assertEquals(Optional.of(2_900L + 980 - 2), lease.lowestClockAt(NOW_MILLIS + 1_000));
    assertFalse(lease.canBeClock(10, NOW_MILLIS + 1_000));
    assertFalse(lease.canBeClock(3_877, NOW_MILLIS + 1_000));
    assertTrue(lease.canBeClock(3_878, NOW_MILLIS + 1_000));
    assertTrue(WorkerLease.ofUnknownClock(0, 0).canBeClock(10, NOW_MILLIS));
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.longs().between(0, 1_000), Arbitraries.of(true, true, true, false))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(20);
  }
}
