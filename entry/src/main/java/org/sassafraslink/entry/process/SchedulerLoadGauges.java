package org.sassafraslink.entry.process;

import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.sassafraslink.scheduler.SchedulerLoad;

/** Exports the load of the scheduler's thread in the last second as gauges. */
final class SchedulerLoadGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private SchedulerLoadGauges() {}

  /** Registers the gauges; all are 0 while this process does not schedule. */
  static void register(EventMetrics metrics, Supplier<SchedulerLoad.Interval> lastSecond) {
    register(
        metrics,
        lastSecond,
        "busy_ratio",
        "Share of the last second in which the scheduler's thread handled events and due work",
        load -> ratio(load.busyMillis(), load.lengthMillis()));
    register(
        metrics,
        lastSecond,
        "processor_ratio",
        "Processor time of the scheduler's thread in the last second, in cores",
        load -> ratio(load.processorMillis(), load.lengthMillis()));
    register(
        metrics,
        lastSecond,
        "longest_pass_seconds",
        "Longest pass of due work in the last second",
        load -> load.longestPassMillis() / MILLIS_PER_SECOND);
    register(
        metrics,
        lastSecond,
        "longest_round_seconds",
        "Longest placement round in the last second",
        load -> load.longestRoundMillis() / MILLIS_PER_SECOND);
    register(
        metrics,
        lastSecond,
        "longest_queue_wait_seconds",
        "Longest wait of an event in the scheduler's queue in the last second",
        load -> load.longestQueueWaitMillis() / MILLIS_PER_SECOND);
    register(
        metrics,
        lastSecond,
        "queue_length",
        "Greatest number of events in the scheduler's queue in the last second",
        SchedulerLoad.Interval::longestQueue);
    register(
        metrics,
        lastSecond,
        "dirty_jobs",
        "Greatest number of jobs with uncommitted changes in the last second",
        SchedulerLoad.Interval::mostDirtyJobs);
    register(
        metrics,
        lastSecond,
        "longest_commit_seconds",
        "Longest time from the assignment of a task to its commit in the last second",
        load -> load.longestCommitMillis() / MILLIS_PER_SECOND);
  }

  private static void register(
      EventMetrics metrics,
      Supplier<SchedulerLoad.Interval> lastSecond,
      String name,
      String help,
      ToDoubleFunction<SchedulerLoad.Interval> value) {
    metrics.registerGauge(
        "sassafraslink_scheduler_" + name, help, () -> value.applyAsDouble(lastSecond.get()));
  }

  private static double ratio(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
