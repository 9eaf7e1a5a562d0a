package org.sassafraslink.api.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Writes events, mostly decisions, as JSON objects, one per line. Each has a stable event name and
 * fields, such as the values from which the decision was made.
 *
 * <p>The volume is bounded: at most {@link #MAX_LINES_PER_SECOND} lines are written for each event
 * name in a second. Further lines are suppressed, and their number is written in the next line with
 * that event name. In addition, the first line after a second in which lines were suppressed is
 * preceded by a line {@code log.suppressed} with their number by event name, so that the rate of
 * each event can be read from the log. That is at most one line more a second.
 */
public final class EventLog {
  /** Maximum number of lines for one event name in one second. */
  private static final int MAX_LINES_PER_SECOND = 200;

  private static final long WINDOW_MILLIS = 1_000;

  private static final String SUPPRESSED_EVENT = "log.suppressed";

  /** Receives every event, including those whose line is suppressed. */
  @FunctionalInterface
  public interface Observer {
    /** Receives an event with its fields, as alternating names and values. */
    void onEvent(String event, Object... fields);
  }

  private final String node;
  private final LongSupplier wallMillis;
  private final Consumer<String> sink;
  private final Observer observer;
  private final Map<String, RateWindow> windowByEvent = new HashMap<>();
  private final SuppressedLineCounts suppressedCounts = new SuppressedLineCounts();

  private EventLog(String node, LongSupplier wallMillis, Consumer<String> sink, Observer observer) {
    this.node = node;
    this.wallMillis = wallMillis;
    this.sink = sink;
    this.observer = observer;
  }

  /**
   * Creates a log that passes complete lines to a sink.
   *
   * @param node the name of the VM, which is written in each line
   * @param wallMillis the wall clock, in Unix milliseconds
   * @param sink receives each line; must not block
   */
  public static EventLog create(String node, LongSupplier wallMillis, Consumer<String> sink) {
    return new EventLog(node, wallMillis, sink, (event, fields) -> {});
  }

  /**
   * Returns a log with the same sink that passes every event to {@code newObserver}, in place of
   * any previous observer.
   */
  public EventLog withObserver(Observer newObserver) {
    return new EventLog(node, wallMillis, sink, newObserver);
  }

  /** Returns a log that discards all lines. */
  public static EventLog silent() {
    return new EventLog("", () -> 0, line -> {}, (event, fields) -> {});
  }

  /**
   * Writes an event.
   *
   * @param event the stable name of the event
   * @param fields alternating names and values
   */
  public void log(String event, Object... fields) {
    observer.onEvent(event, fields);
    long now = wallMillis.getAsLong();
    SuppressedLineCounts.Second endedSecond;
    long suppressed;
    synchronized (this) {
      endedSecond = suppressedCounts.endSecondBefore(now);
      suppressed = admitLine(event, now);
    }
    if (!endedSecond.isEmpty()) {
      writeSuppressedCounts(endedSecond, now);
    }
    if (suppressed < 0) {
      return;
    }
    ObjectNode line = newLine(event, now);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      putField(line, String.valueOf(fields[i]), fields[i + 1]);
    }
    if (suppressed > 0) {
      line.put("suppressed", suppressed);
    }
    sink.accept(line.toString());
  }

  private void writeSuppressedCounts(SuppressedLineCounts.Second second, long now) {
    ObjectNode line = newLine(SUPPRESSED_EVENT, now).put("second", second.startMillis());
    ObjectNode lines = line.putObject("lines");
    second.linesByEvent().forEach(lines::put);
    sink.accept(line.toString());
  }

  private ObjectNode newLine(String event, long now) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("t", now)
        .put("node", node)
        .put("event", event);
  }

  private static void putField(ObjectNode line, String name, Object value) {
    if (value instanceof Long number) {
      line.put(name, number);
    } else if (value instanceof Integer number) {
      line.put(name, number);
    } else if (value instanceof Double number) {
      line.put(name, number);
    } else if (value instanceof Boolean flag) {
      line.put(name, flag);
    } else {
      line.put(name, String.valueOf(value));
    }
  }

  /**
   * Decides whether to write a line for {@code event}. Called with the lock of this log held.
   *
   * @return the number of suppressed lines since the last one that was written, or -1 if this line
   *     is suppressed too
   */
  private long admitLine(String event, long now) {
    RateWindow window = windowByEvent.computeIfAbsent(event, name -> new RateWindow());
    if (Math.abs(now - window.startMillis) >= WINDOW_MILLIS) {
      window.startMillis = now;
      window.lines = 0;
    }
    if (window.lines >= MAX_LINES_PER_SECOND) {
      window.suppressed++;
      suppressedCounts.count(event);
      return -1;
    }
    window.lines++;
    long suppressed = window.suppressed;
    window.suppressed = 0;
    return suppressed;
  }

  /** The lines of one event name in the current interval of {@link #WINDOW_MILLIS}. */
  private static final class RateWindow {
    private long startMillis;
    private int lines;
    private long suppressed;
  }
}
