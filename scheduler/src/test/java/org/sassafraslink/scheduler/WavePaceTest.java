package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that {@link WavePace} lets a wave wait and drain only for as long as the remaining rounds
 * still fit in its time.
 */
class WavePaceTest {
  @ParameterizedTest
  @CsvSource({
    // 21 s of the 30 s are planned; three rounds of 4 s leave 9 s to wait.
    "0, 15, true",
    "8900, 15, true",
    "9000, 15, false",
    // 10 VMs take two rounds instead of three.
    "9000, 10, true",
    // Behind schedule: the planned time has passed.
    "25000, 1, false"
  })
  void canWaitWhileRemainingRoundsFitInPlannedTime(
      long elapsedMillis, int remainingVms, boolean expected) {
    assertEquals(
        expected,
        new WavePace(
                /* durationMillis= */ 30_000,
                elapsedMillis,
                remainingVms,
                /* maxDown= */ 5,
                /* maintenanceMillis= */ 2_000)
            .canWait());
  }

  /** Guards against a wave that takes VMs away from a burst although it has time. */
  @ParameterizedTest
  @CsvSource({
    // 128 times 3.5 s in the 15 s that are planned.
    "0, 128, true, 30",
    "0, 128, false, 54",
    // A third of this time has passed, but three quarters of the VMs remain.
    "5000, 96, true, 34",
    "5000, 3, true, 2",
    // Behind schedule.
    "10500, 96, true, 54",
    "15000, 1, true, 54"
  })
  void takesOnlyNeededVmsDownWhileCapacityIsScarce(
      long elapsedMillis, int remainingVms, boolean isCapacityScarce, int expected) {
    assertEquals(
        expected,
        new WavePace(
                /* durationMillis= */ 30_000,
                elapsedMillis,
                remainingVms,
                /* maxDown= */ 54,
                /* maintenanceMillis= */ 2_000)
            .downAtOnce(isCapacityScarce));
  }

  @ParameterizedTest
  @CsvSource({
    // A drain takes at most 2 s.
    "0, 5, 2000",
    // 9 s are left for three rounds, each with 2 s of maintenance.
    "12000, 15, 1000",
    // A drain takes at least 0.7 s, even if no time is left.
    "21000, 15, 700"
  })
  void dividesRemainingTimeAmongRoundsWithinBounds(
      long elapsedMillis, int remainingVms, long expectedMillis) {
    assertEquals(
        expectedMillis,
        new WavePace(
                /* durationMillis= */ 30_000,
                elapsedMillis,
                remainingVms,
                /* maxDown= */ 5,
                /* maintenanceMillis= */ 2_000)
            .drainMillis());
  }
}
