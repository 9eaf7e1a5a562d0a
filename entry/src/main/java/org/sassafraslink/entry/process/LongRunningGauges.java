package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableMap;
import java.util.EnumSet;
import java.util.function.Supplier;
import org.sassafraslink.scheduler.relocation.Absences;
import org.sassafraslink.scheduler.relocation.AwayReason;

/** Exports the long-running tasks that should run and do not as gauges. */
final class LongRunningGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private LongRunningGauges() {}

  /** Registers the gauges; all are 0 while this process does not schedule. */
  static void register(EventMetrics metrics, Supplier<Absences> absences) {
    metrics.registerGauge(
        "sassafraslink_scheduler_long_running_away",
        "Long-running tasks that should run and do not",
        () -> absences.get().count());
    metrics.registerGauge(
        "sassafraslink_scheduler_long_running_longest_away_seconds",
        "Longest time for which a long-running task that should run has not run",
        () -> absences.get().longestMillis() / MILLIS_PER_SECOND);
    metrics.registerGauge(
        "sassafraslink_scheduler_long_running_away_by_reason",
        "Long-running tasks that should run and do not, by reason",
        "reason",
        () -> countByReason(absences.get()));
  }

  private static ImmutableMap<String, Double> countByReason(Absences absences) {
    return EnumSet.allOf(AwayReason.class).stream()
        .collect(
            ImmutableMap.toImmutableMap(
                AwayReason::label, reason -> (double) absences.countOf(reason)));
  }
}
