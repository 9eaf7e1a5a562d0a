package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.scheduler.relocation.Absences;
import org.sassafraslink.scheduler.relocation.Absences.Absence;
import org.sassafraslink.scheduler.relocation.AwayReason;

/** Guards against gauges that show absences in a wrong unit, or lack a reason that has ended. */
class LongRunningGaugesTest {
  private final EventMetrics metrics = new EventMetrics();
  private final AtomicReference<Absences> absences = new AtomicReference<>(Absences.NONE);

  @ParameterizedTest
  @CsvSource({"0, 0.0, 0.0, 0.0", "1, 1.0, 4.1, 1.0"})
  void absencesAreExported(int tasks, String count, String seconds, String cordoned) {
    LongRunningGauges.register(metrics, absences::get);
    absences.set(
        Absences.of(
            List.of(new Absence(AwayReason.CORDONED, /* awayMillis= */ 4_100)).subList(0, tasks)));
    String text = metrics.prometheusText();
    String prefix = "sassafraslink_scheduler_long_running_";
    assertTrue(text.contains(prefix + "away " + count), text);
    assertTrue(text.contains(prefix + "longest_away_seconds " + seconds), text);
    assertTrue(text.contains(prefix + "away_by_reason{reason=\"cordoned\"} " + cordoned), text);
    assertTrue(text.contains(prefix + "away_by_reason{reason=\"no_room\"} 0.0"), text);
  }
}
