package org.sassafraslink.scheduler.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

/** One simulated time for all parts of a test, and what happens at which moment. */
public final class SimClock {
  private record Event(long atMillis, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private long nowMillis = 1_000_000;
  private long sequence;

  /** The time in ms. */
  public long now() {
    return nowMillis;
  }

  /** Runs {@code action} after some ms. */
  public void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + Math.max(0, millis), sequence++, action));
  }

  /** Runs all that happens in the next ms. */
  public void advance(long millis) {
    long end = nowMillis + millis;
    while (!events.isEmpty() && events.peek().atMillis() <= end) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = end;
  }
}
