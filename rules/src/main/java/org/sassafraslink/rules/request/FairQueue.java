package org.sassafraslink.rules.request;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.sassafraslink.api.model.FleetConfig.WorkClass;

/**
 * Orders waiting work by the teams' shares, and within a team by class.
 *
 * <p>This is start-time fair queueing, charged in slot time: the virtual start of a team's next
 * item advances by the cost of the last one divided by the team's share. A team that was idle
 * starts at the current virtual time, so that unused share is lent and not saved up. The cost is
 * estimated when an item starts and corrected when it ends, because run times are not known before.
 *
 * <p>A class moves work forward or back by a bounded time: urgent work goes before other teams'
 * work while its team is not far ahead of its share, and bookkeeping waits behind others until its
 * team is far behind. Strict priority between classes would let one urgent team take everything.
 *
 * <p>The queue is confined to one thread.
 *
 * @param <T> the waiting work
 */
public final class FairQueue<T> {
  /** Slot time by which urgent work may run ahead of its team's share, in ms for a share of 1%. */
  private static final double URGENT_LEAD = 20;

  /** Slot time by which bookkeeping stays behind its team's share, in ms for a share of 1%. */
  private static final double BOOKKEEPING_LAG = 20;

  /** An item in the queue. Times are in milliseconds. */
  public record Entry<T>(
      String team, int share, WorkClass workClass, long deadlineMillis, T item) {}

  /** The bounds of a queue. */
  public record Bounds(int total, int perTeam) {}

  private static final class Flow<T> {
    final EnumMap<WorkClass, ArrayDeque<Entry<T>>> entries = new EnumMap<>(WorkClass.class);
    double nextStart;
    int size;

    Flow() {
      for (WorkClass workClass : WorkClass.values()) {
        entries.put(workClass, new ArrayDeque<>());
      }
    }
  }

  /** An entry that may start, with its place in the order. */
  private record Choice<T>(Flow<T> flow, Entry<T> entry, double place) {}

  private final Bounds bounds;
  private final Map<String, Flow<T>> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  private FairQueue(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Creates an empty queue. */
  public static <T> FairQueue<T> create(Bounds bounds) {
    return new FairQueue<>(bounds);
  }

  /** Adds an entry; false if the queue, or the team's part of it, is full. */
  public boolean offer(Entry<T> entry) {
    Flow<T> flow = flows.computeIfAbsent(entry.team(), team -> new Flow<>());
    if (size >= bounds.total() || flow.size >= bounds.perTeam()) {
      return false;
    }
    if (flow.size == 0) {
      flow.nextStart = Math.max(flow.nextStart, virtualTime);
    }
    flow.entries.get(entry.workClass()).addLast(entry);
    flow.size++;
    size++;
    return true;
  }

  /**
   * Takes the entry to start next, among those that may start, and charges its estimated cost in ms
   * to its team.
   */
  public Optional<Entry<T>> poll(
      Predicate<Entry<T>> mayStart, ToDoubleFunction<T> estimatedCostMillis) {
    Optional<Choice<T>> choice =
        flows.values().stream()
            .filter(flow -> flow.size > 0)
            .flatMap(flow -> first(flow, mayStart).stream())
            .min(Comparator.comparingDouble(Choice::place));
    choice.ifPresent(found -> take(found, estimatedCostMillis));
    return choice.map(Choice::entry);
  }

  /** Corrects the charge of an item that ended: {@code costMillis} may be negative. */
  public void charge(String team, int share, double costMillis) {
    Flow<T> flow = flows.get(team);
    if (flow != null) {
      flow.nextStart += costMillis / share;
    }
  }

  /** Removes the entries whose deadline has passed. */
  public ImmutableList<Entry<T>> expire(long nowMillis) {
    ImmutableList.Builder<Entry<T>> expired = ImmutableList.builder();
    for (Flow<T> flow : flows.values()) {
      for (ArrayDeque<Entry<T>> entries : flow.entries.values()) {
        int before = entries.size();
        entries.stream().filter(entry -> entry.deadlineMillis() <= nowMillis).forEach(expired::add);
        entries.removeIf(entry -> entry.deadlineMillis() <= nowMillis);
        flow.size -= before - entries.size();
      }
    }
    ImmutableList<Entry<T>> removed = expired.build();
    size -= removed.size();
    return removed;
  }

  /** The number of waiting entries. */
  public int size() {
    return size;
  }

  /** The team's first entry that may start, the most urgent class first. */
  private Optional<Choice<T>> first(Flow<T> flow, Predicate<Entry<T>> mayStart) {
    return flow.entries.values().stream()
        .map(ArrayDeque::peekFirst)
        .filter(entry -> entry != null && mayStart.test(entry))
        .findFirst()
        .map(entry -> new Choice<>(flow, entry, flow.nextStart + shift(entry.workClass())));
  }

  private static double shift(WorkClass workClass) {
    return switch (workClass) {
      case URGENT -> -URGENT_LEAD;
      case COUNTER -> 0;
      case BOOKKEEPING -> BOOKKEEPING_LAG;
    };
  }

  private void take(Choice<T> choice, ToDoubleFunction<T> costOf) {
    Entry<T> entry = choice.entry();
    Flow<T> flow = choice.flow();
    flow.entries.get(entry.workClass()).removeFirst();
    flow.size--;
    size--;
    virtualTime = Math.max(virtualTime, flow.nextStart);
    flow.nextStart += costOf.applyAsDouble(entry.item()) / entry.share();
  }
}
