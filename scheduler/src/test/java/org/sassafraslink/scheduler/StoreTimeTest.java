package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a bound on the store's clock that does not hold for a clock of another rate or a
 * response that travelled long: commands of two schedulers would come too close to each other.
 */
class StoreTimeTest {
  @ParameterizedTest
  @MethodSource("clocks")
  void boundsHoldForClocksOfAnotherRate(double rate, long requestMillis, long responseMillis) {
    long sentMillis = 1_000;
    long readMillis = sentMillis + requestMillis; // when the store reads its clock
    StoreTime time = new StoreTime(50_000, sentMillis, 7_000, readMillis + responseMillis);
    for (long until = 50_000; until < 56_000; until += 250) {
      double reachedMillis = readMillis + (until - 50_000) / rate;
      assertTrue(time.certainlyBeforeUntilMillis(until) <= reachedMillis);
      assertTrue(time.certainlyBeforeUntilWallMillis(until) <= reachedMillis + 6_000);
      assertTrue(time.certainlyPassedFromMillis(until) >= reachedMillis);
    }
  }

  /** Guards against an end of leases that the next scheduler reads as an earlier one. */
  @ParameterizedTest
  @MethodSource("clocks")
  void timeIsNotPassedBefore(double rate, long requestMillis, long responseMillis) {
    long sentMillis = 1_000;
    long readMillis = sentMillis + requestMillis;
    long receivedMillis = readMillis + responseMillis;
    StoreTime time = new StoreTime(50_000, sentMillis, 7_000, receivedMillis);
    for (long millis = sentMillis; millis < 9_000; millis += 250) {
      long nowMillis = Math.max(receivedMillis, millis - 6_500);
      double shownMillis = 50_000 + Math.max(0, (millis - readMillis) * rate);
      assertTrue(time.notPassedBefore(millis, nowMillis, nowMillis + 6_000) >= shownMillis);
    }
  }

  /** Guards against an end that is too early by the time for which a VM was suspended. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1, 1_500})
  void suspensionSinceReadingCounts(long suspendedMillis) {
    StoreTime time = new StoreTime(50_000, 1_000, 7_000, 1_000);
    long nowMillis = 1_200;
    long endStoreMillis =
        time.notPassedBefore(nowMillis + 6_000, nowMillis, 7_200 + suspendedMillis);
    assertTrue(endStoreMillis >= 50_000 + 200 + suspendedMillis + 6_000);
  }

  static Stream<Arguments> clocks() {
    return Stream.of(0.981, 1.0, 1.019)
        .flatMap(
            rate ->
                Stream.of(
                    Arguments.of(rate, 0, 0),
                    Arguments.of(rate, 1_700, 2),
                    Arguments.of(rate, 2, 1_700)));
  }
}
