package org.sassafraslink.scheduler.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against {@link PoolShares} giving all VMs to the pool that asks for the most, or to the
 * first one, while others have none.
 */
class PoolSharesTest {
  private static PoolShares shares(double first, double second, double third, double total) {
    return PoolShares.of(
        List.of(
            new PoolShares.Need("first", first, 0),
            new PoolShares.Need("second", second, 0),
            new PoolShares.Need("third", third, 0)),
        total);
  }

  @ParameterizedTest
  @CsvSource({
    // Enough for all.
    "100, 60, 10, 200, 100, 60, 10",
    // The smallest need is met; the others get equal parts, however much one asks for.
    "400, 150, 10, 210, 100, 100, 10",
    "1000, 150, 10, 210, 100, 100, 10",
    "400, 80, 10, 210, 120, 80, 10",
    "0, 0, 0, 210, 0, 0, 0"
  })
  void smallNeedsAreMetAndLargeOnesShare(
      double first,
      double second,
      double third,
      double total,
      double firstShare,
      double secondShare,
      double thirdShare) {
    PoolShares shares = shares(first, second, third, total);
    assertEquals(firstShare, shares.vmsOf("first"), 1e-6);
    assertEquals(secondShare, shares.vmsOf("second"), 1e-6);
    assertEquals(thirdShare, shares.vmsOf("third"), 1e-6);
  }

  @Test
  void urgentNeedHasTwiceTheWeight() {
    PoolShares shares =
        PoolShares.of(
            List.of(new PoolShares.Need("urgent", 400, 1), new PoolShares.Need("other", 400, 0)),
            150);
    assertEquals(100, shares.vmsOf("urgent"), 1e-6);
    assertEquals(50, shares.vmsOf("other"), 1e-6);
  }

  @Test
  void nextVmGoesToPoolWithSmallestFractionOfItsShare() {
    PoolShares shares = shares(100, 60, 10, 170);
    PoolShares.Shortage first = new PoolShares.Shortage("first", 80, 20, 0);
    PoolShares.Shortage second = new PoolShares.Shortage("second", 10, 50, 0);
    PoolShares.Shortage third = new PoolShares.Shortage("third", 4, 6, 0);
    assertEquals("second", nextPool(shares, first, second, third));
    PoolShares.Shortage longRunning = new PoolShares.Shortage("first", 80, 20, 1);
    assertEquals("first", nextPool(shares, longRunning, second, third));
    assertEquals("second", nextPool(shares, longRunning.afterMove(), second, third));
  }

  private static String nextPool(PoolShares shares, PoolShares.Shortage... shortages) {
    return shares.next(List.of(shortages)).orElseThrow().pool();
  }
}
