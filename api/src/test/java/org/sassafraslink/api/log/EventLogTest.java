package org.sassafraslink.api.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against a log whose limit on the lines of an event hides how often the event occurred in
 * each second, and against a log that exceeds its limit.
 */
class EventLogTest {
  private final AtomicLong wallMillis = new AtomicLong(10_000);
  private final List<String> lines = new ArrayList<>();
  private final EventLog log = EventLog.create("n", wallMillis::get, lines::add);

  private void logTimes(String event, int count) {
    for (int i = 0; i < count; i++) {
      log.log(event);
    }
  }

  private List<String> suppressedLines() {
    return lines.stream().filter(line -> line.contains("\"event\":\"log.suppressed\"")).toList();
  }

  // The next line with the name of a suppressed event may come seconds later, or never.
  @Test
  void rateOfSuppressedEventIsHiddenUntilItsNextLine() {
    logTimes("task.assigned", 645);
    logTimes("job.seen", 210);
    wallMillis.set(11_000);
    log.log("lease.lost");
    assertEquals(
        List.of(
            "{\"t\":11000,\"node\":\"n\",\"event\":\"log.suppressed\",\"second\":10000,"
                + "\"lines\":{\"job.seen\":10,\"task.assigned\":445}}"),
        suppressedLines());
  }

  // Each second must be counted by itself, or a burst and a steady rate look the same.
  @Test
  void countsOfSeveralSecondsAreMerged() {
    logTimes("task.assigned", 300);
    wallMillis.set(11_000);
    logTimes("task.assigned", 250);
    wallMillis.set(12_000);
    log.log("lease.lost");
    assertEquals(
        List.of(true, true),
        List.of(
            suppressedLines().get(0).contains("\"second\":10000,\"lines\":{\"task.assigned\":100}"),
            suppressedLines().get(1).contains("\"second\":11000,\"lines\":{\"task.assigned\":50}")),
        suppressedLines().toString());
  }

  // Without suppressed lines, a further line a second would only cost processor time.
  @Test
  void lineIsWrittenWithoutSuppressedEvents() {
    logTimes("task.assigned", 200);
    wallMillis.set(11_000);
    log.log("lease.lost");
    assertEquals(List.of(), suppressedLines());
  }

  // The new line must not make the volume of the log depend on the rate of events.
  @Test
  void limitIsExceededWhileLinesAreSuppressed() {
    logTimes("task.assigned", 5_000);
    wallMillis.set(11_000);
    logTimes("task.assigned", 5_000);
    assertEquals(401, lines.size());
  }
}
