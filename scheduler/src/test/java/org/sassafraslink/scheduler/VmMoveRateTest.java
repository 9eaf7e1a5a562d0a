package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against moves of VMs whose rate does not follow the rate that the platform accepts. */
class VmMoveRateTest {
  private static int countMoves(VmMoveRate rate, long fromMillis, long toMillis) {
    int moves = 0;
    for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis++) {
      while (rate.allowsMove(nowMillis)) {
        rate.countMove();
        moves++;
      }
    }
    return moves;
  }

  @ParameterizedTest
  @ValueSource(doubles = {1, 12, 64, 215, 1_800})
  void movesUseHalfOfThePlatformsRate(double commandsPerSecond) {
    VmMoveRate rate = VmMoveRate.of(commandsPerSecond);
    countMoves(rate, 0, 10_000);
    assertEquals(commandsPerSecond * 5, countMoves(rate, 10_000, 20_000), 1);
  }

  @ParameterizedTest
  @ValueSource(doubles = {12, 64, 215, 1_800})
  void burstAfterIdleTimeStaysBelowThePlatformsRate(double commandsPerSecond) {
    VmMoveRate rate = VmMoveRate.of(commandsPerSecond);
    assertTrue(countMoves(rate, 60_000, 61_000) <= commandsPerSecond * 0.7);
  }
}
