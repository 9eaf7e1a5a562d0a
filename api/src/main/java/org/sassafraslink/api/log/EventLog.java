package org.sassafraslink.api.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Writes one JSON object a line for each decision, with a stable event name and its inputs.
 *
 * <p>The volume is bounded: of each event at most {@link #LINES_PER_SECOND} lines are written in a
 * second; the rest are counted, and the count is written with the next line of that event.
 */
public final class EventLog {
  /** Lines of one event in one second. */
  private static final int LINES_PER_SECOND = 200;

  private static final long WINDOW_MILLIS = 1_000;

  /** Hears of every event, also of those whose line is left out. */
  @FunctionalInterface
  public interface Observer {
    /** An event with its fields, names and values in turn. */
    void onEvent(String event, Object... fields);
  }

  private final String node;
  private final LongSupplier wallMillis;
  private final Consumer<String> sink;
  private final Observer observer;
  private final Map<String, Window> windows = new HashMap<>();

  private EventLog(String node, LongSupplier wallMillis, Consumer<String> sink, Observer observer) {
    this.node = node;
    this.wallMillis = wallMillis;
    this.sink = sink;
    this.observer = observer;
  }

  /** A log of {@code node} that hands whole lines to {@code sink}, which must not block. */
  public static EventLog to(String node, LongSupplier wallMillis, Consumer<String> sink) {
    return new EventLog(node, wallMillis, sink, (event, fields) -> {});
  }

  /** This log, which also tells {@code other} of every event. */
  public EventLog observedBy(Observer other) {
    return new EventLog(node, wallMillis, sink, other);
  }

  /** A log that writes nothing. */
  public static EventLog silent() {
    return new EventLog("", () -> 0, line -> {}, (event, fields) -> {});
  }

  /**
   * Writes an event.
   *
   * @param event its stable name
   * @param fields names and values in turn
   */
  public void log(String event, Object... fields) {
    observer.onEvent(event, fields);
    long now = wallMillis.getAsLong();
    long suppressed = admit(event, now);
    if (suppressed < 0) {
      return;
    }
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("t", now).put("node", node).put("event", event);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      put(line, String.valueOf(fields[i]), fields[i + 1]);
    }
    if (suppressed > 0) {
      line.put("suppressed", suppressed);
    }
    sink.accept(line.toString());
  }

  private static void put(ObjectNode line, String name, Object value) {
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

  /** How many lines were left out before this one; -1 if this one is left out too. */
  private synchronized long admit(String event, long now) {
    Window window = windows.computeIfAbsent(event, name -> new Window());
    if (Math.abs(now - window.startMillis) >= WINDOW_MILLIS) {
      window.startMillis = now;
      window.lines = 0;
    }
    if (window.lines >= LINES_PER_SECOND) {
      window.suppressed++;
      return -1;
    }
    window.lines++;
    long suppressed = window.suppressed;
    window.suppressed = 0;
    return suppressed;
  }

  private static final class Window {
    private long startMillis;
    private int lines;
    private long suppressed;
  }
}
