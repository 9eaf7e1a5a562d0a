package org.sassafraslink.entry.process;

import java.util.function.Supplier;
import org.sassafraslink.scheduler.incarnation.SilentWorkers;

/** Exports the workers with tasks that are silent, and how long they are waited for, as gauges. */
final class SilentWorkerGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private SilentWorkerGauges() {}

  /** Registers the gauges; all are 0 while this process does not schedule. */
  static void register(EventMetrics metrics, Supplier<SilentWorkers> workers) {
    metrics.registerGauge(
        "sassafraslink_scheduler_silent_workers",
        "Workers with tasks that do not respond or have not reported to this scheduler",
        () -> workers.get().count());
    metrics.registerGauge(
        "sassafraslink_scheduler_silent_workers_longest_wait_seconds",
        "Longest time until all leases of one of these workers have expired",
        () -> workers.get().longestMillis() / MILLIS_PER_SECOND);
  }
}
