package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.scheduler.incarnation.SilentWorkers;

/** Guards against gauges that show the wait for silent workers in a wrong unit, or no more. */
class SilentWorkerGaugesTest {
  private final EventMetrics metrics = new EventMetrics();
  private final AtomicReference<SilentWorkers> workers = new AtomicReference<>(SilentWorkers.NONE);

  @ParameterizedTest
  @CsvSource({"0, 0, 0.0, 0.0", "3, 10700, 3.0, 10.7"})
  void silentWorkersAreExported(int count, long millis, String countText, String seconds) {
    SilentWorkerGauges.register(metrics, workers::get);
    workers.set(new SilentWorkers(count, 6_540, 10_699, millis));
    String text = metrics.prometheusText();
    String prefix = "sassafraslink_scheduler_silent_workers";
    assertTrue(text.contains(prefix + " " + countText), text);
    assertTrue(text.contains(prefix + "_longest_wait_seconds " + seconds), text);
  }
}
