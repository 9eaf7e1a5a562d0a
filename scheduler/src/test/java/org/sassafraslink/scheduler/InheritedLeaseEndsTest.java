package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.sassafraslink.scheduler.cancellation.ClockTimes;

class InheritedLeaseEndsTest {
  private static final long WRITER_MILLIS = 1_000_000;
  private static final long READER_MILLIS = 2_000_000;
  private static final long STORE_MILLIS = 50_000;

  private static Worker workerWithInheritedLease(long leaseMillis) {
    Worker worker = TestWorkers.withId("w");
    worker.recordResponse(
        /* workerClockMillis= */ 500, leaseMillis, /* sentMillis= */ WRITER_MILLIS, WRITER_MILLIS);
    return worker;
  }

  /** Both clocks show the same time here. */
  private static ClockTimes at(long millis) {
    return new ClockTimes(millis, millis);
  }

  private static InheritedLeaseEnds endsAt(long storeMillis, long sentMillis, long receivedMillis) {
    return InheritedLeaseEnds.of(
        () -> Optional.of(new StoreTime(storeMillis, sentMillis, sentMillis, receivedMillis)));
  }

  /** Guards against a successor that counts an inherited lease as expired too early. */
  @Property(tries = 1_000, seed = "20261208")
  void endIsNeverEarlierForTheReader(
      @ForAll @LongRange(min = 1_000, max = 10_000) long leaseMillis,
      @ForAll @LongRange(min = 0, max = 700) long writerResponseMillis,
      @ForAll @LongRange(min = 0, max = 700) long readerResponseMillis,
      @ForAll @LongRange(min = 0, max = 8_000) long takeoverMillis,
      @ForAll @DoubleRange(min = 0, max = 1) double part,
      @ForAll @DoubleRange(min = 0.98, max = 1.02) double storeRate) {
    Worker worker = workerWithInheritedLease(leaseMillis);
    long trueEndMillis = worker.lease().latestInheritedExpiryMillis();
    // The store reads its clock at any moment between the request and the response.
    long readMillis = WRITER_MILLIS - (long) (writerResponseMillis * part);
    long stored =
        endsAt(STORE_MILLIS, WRITER_MILLIS - writerResponseMillis, WRITER_MILLIS)
            .toStore(worker, at(WRITER_MILLIS))
            .getAsLong();
    long laterReadMillis = WRITER_MILLIS + takeoverMillis;
    long laterStoreMillis = STORE_MILLIS + (long) ((laterReadMillis - readMillis) * storeRate);
    long received = READER_MILLIS + (long) (readerResponseMillis * part);
    long restored =
        endsAt(laterStoreMillis, READER_MILLIS - readerResponseMillis, received)
            .fromStore(stored, received)
            .getAsLong();
    long trueEndForReader = READER_MILLIS + (trueEndMillis - laterReadMillis);
    assertTrue(restored >= trueEndForReader - 1, restored + " < " + trueEndForReader);
  }

  /** Guards against a wait for leases of which the predecessor knew that they had expired. */
  @Example
  void expiredLeasesNeedNoClock() {
    InheritedLeaseEnds withoutClock = InheritedLeaseEnds.of(Optional::empty);
    Worker worker = workerWithInheritedLease(0);
    long nowMillis = worker.lease().latestInheritedExpiryMillis() + 1;
    OptionalLong stored = withoutClock.toStore(worker, at(nowMillis));
    assertEquals(OptionalLong.of(0), stored);
    assertEquals(
        OptionalLong.of(READER_MILLIS), withoutClock.fromStore(stored.getAsLong(), READER_MILLIS));
  }

  /** Guards against a time that no reader can tell. */
  @Example
  void endIsNotStoredWithoutTheStoresClock() {
    InheritedLeaseEnds withoutClock = InheritedLeaseEnds.of(Optional::empty);
    assertEquals(
        OptionalLong.empty(),
        withoutClock.toStore(workerWithInheritedLease(10_000), at(WRITER_MILLIS)));
    assertEquals(OptionalLong.empty(), withoutClock.fromStore(5_000, READER_MILLIS));
  }

  /** Guards against a worker that is waited for longer once its first report is under way. */
  @Example
  void storedEndBoundsTheLeaseAfterTheFirstReportToTheSuccessor() {
    Worker worker = TestWorkers.withId("w");
    worker.limitInheritedLeases(READER_MILLIS + 300);
    assertEquals(300, worker.inheritedLeaseMillis(10_000, READER_MILLIS));
    assertEquals(0, worker.inheritedLeaseMillis(10_000, READER_MILLIS + 400));
    assertEquals(200, worker.inheritedLeaseMillis(200, READER_MILLIS));
  }
}
