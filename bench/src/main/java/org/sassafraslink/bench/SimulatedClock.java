package org.sassafraslink.bench;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.sassafraslink.api.fleet.FleetClock;

/** A simulated clock, and a queue of actions that run when the clock reaches their time. */
final class SimulatedClock implements FleetClock {
  private static final long START_MILLIS = 1_000_000;

  private record Action(long atMillis, long sequence, Runnable runnable) {}

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::sequence));
  private long nowMillis = START_MILLIS;
  private long nextSequence;

  @Override
  public long monotonicMillis() {
    return nowMillis;
  }

  @Override
  public long wallMillis() {
    return nowMillis;
  }

  /** Schedules an action to run in {@code delayMillis} ms of simulated time. */
  void runAfter(long delayMillis, Runnable runnable) {
    actions.add(new Action(nowMillis + Math.max(1, delayMillis), nextSequence++, runnable));
  }

  /** Advances the clock by 1 ms and runs the actions that are due; returns whether any was. */
  boolean tick() {
    nowMillis++;
    boolean anyDue = false;
    while (!actions.isEmpty() && actions.peek().atMillis() <= nowMillis) {
      anyDue = true;
      actions.poll().runnable().run();
    }
    return anyDue;
  }
}
