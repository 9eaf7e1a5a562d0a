package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.TestJobs.Trait;

/** {@link Quarantine}: a worker that fails what others do gets no tasks for a while. */
class QuarantineTest {
  private static final long NOW = 100_000;

  private final Quarantine quarantine = new Quarantine(EventLog.silent());
  private final Worker worker = TestWorkers.named("w0");

  private static Task task() {
    return TestJobs.first(TestJobs.accepted(0, TestJobs.step(1, 1_000, 500, Trait.PLAIN, 0)));
  }

  @Test
  void holdsWorkerAfterFailuresInRowAndTriesItAgain() {
    quarantine.onEnd(worker, task(), true, NOW);
    assertFalse(quarantine.isHeld(worker, NOW));
    quarantine.onEnd(worker, task(), true, NOW);
    assertTrue(quarantine.isHeld(worker, NOW));
    assertFalse(quarantine.isHeld(worker, NOW + 2_500));
  }

  @Test
  void lengthensEachFurtherQuarantine() {
    quarantine.onEnd(worker, task(), true, NOW);
    quarantine.onEnd(worker, task(), true, NOW);
    quarantine.onEnd(worker, task(), true, NOW + 3_000);
    assertTrue(quarantine.isHeld(worker, NOW + 3_000 + 4_999));
  }

  @Test
  void successEndsTheRow() {
    quarantine.onEnd(worker, task(), true, NOW);
    quarantine.onEnd(worker, task(), false, NOW);
    quarantine.onEnd(worker, task(), true, NOW);
    assertFalse(quarantine.isHeld(worker, NOW));
  }

  @Test
  void tasksThatFailElsewhereTooDoNotCount() {
    for (int i = 0; i < 5; i++) {
      Task hopeless = task();
      hopeless.failedOn.add("w9");
      quarantine.onEnd(worker, hopeless, true, NOW);
    }
    assertEquals(false, quarantine.isHeld(worker, NOW));
  }
}
