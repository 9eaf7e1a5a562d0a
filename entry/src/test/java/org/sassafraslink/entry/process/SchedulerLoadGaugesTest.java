package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.sassafraslink.scheduler.SchedulerLoad;

/** Guards against gauges that show the load in a wrong unit, or no number at all. */
class SchedulerLoadGaugesTest {
  private final EventMetrics metrics = new EventMetrics();
  private final AtomicReference<SchedulerLoad.Interval> lastSecond =
      new AtomicReference<>(SchedulerLoad.Interval.NONE);

  // An alert on the busy share needs a ratio, whatever the length of the interval.
  @Test
  void loadIsExportedInMilliseconds() {
    SchedulerLoadGauges.register(metrics, lastSecond::get);
    lastSecond.set(
        new SchedulerLoad.Interval(2_000, 1_500, 500, 2, 402, 400, 700, 7, 2, 90, 1, 12, 230));
    String text = metrics.prometheusText();
    assertTrue(text.contains("sassafraslink_scheduler_busy_ratio 0.75"), text);
    assertTrue(text.contains("sassafraslink_scheduler_processor_ratio 0.25"), text);
    assertTrue(text.contains("sassafraslink_scheduler_longest_pass_seconds 0.4"), text);
    assertTrue(text.contains("sassafraslink_scheduler_longest_queue_wait_seconds 0.7"), text);
    assertTrue(text.contains("sassafraslink_scheduler_queue_length 7.0"), text);
    assertTrue(text.contains("sassafraslink_scheduler_longest_round_seconds 0.09"), text);
    assertTrue(text.contains("sassafraslink_scheduler_dirty_jobs 12.0"), text);
    assertTrue(text.contains("sassafraslink_scheduler_longest_commit_seconds 0.23"), text);
  }

  // A process without the lease has no interval to divide by.
  @Test
  void processThatDoesNotScheduleExportsNaN() {
    SchedulerLoadGauges.register(metrics, lastSecond::get);
    String text = metrics.prometheusText();
    assertTrue(text.contains("sassafraslink_scheduler_busy_ratio 0.0"), text);
    assertFalse(text.contains("NaN"), text);
  }
}
