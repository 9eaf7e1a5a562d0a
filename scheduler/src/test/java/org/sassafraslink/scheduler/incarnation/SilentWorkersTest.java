package org.sassafraslink.scheduler.incarnation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sassafraslink.scheduler.incarnation.SilentWorkers.SilentWorker;

/** Guards against a wait in metrics that is not the longest, or that has passed. */
class SilentWorkersTest {
  private static final long NOW_MILLIS = 10_000;

  @Test
  void longestRemainingWaitOfEachKindIsMissed() {
    UnknownLeases young = new UnknownLeases(NOW_MILLIS - 100, NOW_MILLIS + 1, NOW_MILLIS + 5);
    UnknownLeases old = new UnknownLeases(NOW_MILLIS - 100, NOW_MILLIS + 3, NOW_MILLIS - 50);
    assertEquals(
        new SilentWorkers(2, 3, 5, 7),
        SilentWorkers.of(
            List.of(
                new SilentWorker(young, young.endMillis()), new SilentWorker(old, NOW_MILLIS + 7)),
            NOW_MILLIS));
  }

  @Test
  void passedWaitIsNegative() {
    UnknownLeases passed = new UnknownLeases(1, 2, 3);
    assertEquals(
        new SilentWorkers(1, 0, 0, 0),
        SilentWorkers.of(List.of(new SilentWorker(passed, passed.endMillis())), NOW_MILLIS));
    assertEquals(SilentWorkers.NONE, SilentWorkers.of(List.of(), NOW_MILLIS));
  }
}
