package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a holder that is replaced although it works, only slowly, and against one that is
 * replaced late although it has vanished.
 */
class HolderObservationTest {
  private static final long NOW = 100_000;

  /** A heartbeat age of -1 means that none has arrived. */
  private static HolderObservation observe(long renewalAge, long readAge, long heartbeatAge) {
    return new HolderObservation(
        /* exists= */ true,
        /* released= */ false,
        /* isOwnNode= */ false,
        /* reportedGone= */ false,
        NOW - renewalAge,
        NOW - readAge,
        heartbeatAge < 0 ? OptionalLong.empty() : OptionalLong.of(NOW - heartbeatAge));
  }

  @ParameterizedTest
  @CsvSource({
    // It does not renew the lease while the store is slow, but lives.
    "1_900, 100, 200, false",
    // It cannot be reached from here, but renews the lease.
    "600, 100, 5_000, false",
    // It vanished.
    "1_000, 900, 800, true",
    // It has never sent a heartbeat, as an earlier version of this program.
    "2_200, 100, -1, false",
    "2_400, 100, -1, true",
    // This process was suspended, so it does not know.
    "9_000, 9_000, -1, false",
  })
  void holderIsReplacedIfItsLeaseExpiredOrTwoSignsAgree(
      String renewalAge, String readAge, String heartbeatAge, boolean expected) {
    HolderObservation observed = observe(millis(renewalAge), millis(readAge), millis(heartbeatAge));
    assertEquals(expected, observed.isReplaceable(NOW));
  }

  /** Guards against leases of workers that count as expired while the old holder renews them. */
  @ParameterizedTest
  @CsvSource({"1_000, 1_300", "2_200, 100", "2_400, 0"})
  void silentHolderMayActUntilItsLeaseHasExpired(String renewalAge, String remaining) {
    assertEquals(
        NOW + millis(remaining), observe(millis(renewalAge), 0, 900).authorityEndMillis(NOW));
  }

  /** Guards against a long poll that ends long after the lease has expired. */
  @ParameterizedTest
  @CsvSource({"0, 1_000", "1_000, 1_000", "2_000, 301", "2_300, 50", "4_000, 50"})
  void longPollEndsWhenTheLeaseExpires(String renewalAge, String expected) {
    int wait = observe(millis(renewalAge), 0, 900).longPollMillis(1_000, NOW);
    assertEquals(millis(expected), wait);
    assertTrue(wait > 0);
  }

  private static long millis(String text) {
    return Long.parseLong(text.replace("_", ""));
  }
}
