package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a small VM that takes the scheduling lease while larger ones could. */
class SchedulerSettingsTest {
  @ParameterizedTest
  @CsvSource({"3, 0", "1.5, 0", "0.75, 0", "0.5, 125", "0.25, 500"})
  void smallerVmsLeaveFreeLeaseToLargerOnesFor(double processors, long expectedMillis) {
    assertEquals(expectedMillis, SchedulerSettings.takeoverDelayMillis(processors));
  }
}
