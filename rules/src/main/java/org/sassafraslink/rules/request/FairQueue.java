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
 * Orders waiting work by class, and within a class by the teams' shares.
 *
 * <p>This is start-time fair queueing, charged in slot time: the virtual start of a team's next
 * item advances by the cost of the last one divided by the team's share. A team that was idle
 * starts at the current virtual time, so that unused share is lent and not saved up. The cost is
 * estimated when an item starts and corrected when it ends, because run times are not known before.
 *
 * <p>The queue is confined to one thread.
 *
 * @param <T> the waiting work
 */
public final class FairQueue<T> {
  /** An item in the queue. Times are in milliseconds. */
  public record Entry<T>(
      String team, int share, WorkClass workClass, long deadlineMillis, T item) {}

  /** The bounds of a queue. */
  public record Bounds(int total, int perTeam) {}

  private static final class Flow<T> {
    final ArrayDeque<Entry<T>> entries = new ArrayDeque<>();
    double nextStart;
  }

  private static final class Level<T> {
    final Map<String, Flow<T>> flows = new HashMap<>();
    double virtualTime;
  }

  private final Bounds bounds;
  private final EnumMap<WorkClass, Level<T>> levels = new EnumMap<>(WorkClass.class);
  private int size;

  private FairQueue(Bounds bounds) {
    this.bounds = bounds;
    for (WorkClass workClass : WorkClass.values()) {
      levels.put(workClass, new Level<>());
    }
  }

  /** Creates an empty queue. */
  public static <T> FairQueue<T> create(Bounds bounds) {
    return new FairQueue<>(bounds);
  }

  /** Adds an entry; false if the queue, or the team's part of it, is full. */
  public boolean offer(Entry<T> entry) {
    Level<T> level = levels.get(entry.workClass());
    Flow<T> flow = level.flows.computeIfAbsent(entry.team(), team -> new Flow<>());
    if (size >= bounds.total() || flow.entries.size() >= bounds.perTeam()) {
      return false;
    }
    if (flow.entries.isEmpty()) {
      flow.nextStart = Math.max(flow.nextStart, level.virtualTime);
    }
    flow.entries.addLast(entry);
    size++;
    return true;
  }

  /**
   * Takes the entry to start next, among the teams that may start, and charges its estimated cost
   * in ms to its team.
   */
  public Optional<Entry<T>> poll(
      Predicate<Entry<T>> mayStart, ToDoubleFunction<T> estimatedCostMillis) {
    for (Level<T> level : levels.values()) {
      Optional<Flow<T>> first =
          level.flows.values().stream()
              .filter(flow -> !flow.entries.isEmpty() && mayStart.test(flow.entries.peekFirst()))
              .min(Comparator.comparingDouble(flow -> flow.nextStart));
      if (first.isPresent()) {
        return Optional.of(take(level, first.get(), estimatedCostMillis));
      }
    }
    return Optional.empty();
  }

  /** Corrects the charge of an item that ended: {@code costMillis} may be negative. */
  public void charge(String team, int share, WorkClass workClass, double costMillis) {
    Flow<T> flow = levels.get(workClass).flows.get(team);
    if (flow != null) {
      flow.nextStart += costMillis / share;
    }
  }

  /** Removes the entries whose deadline has passed. */
  public ImmutableList<Entry<T>> expire(long nowMillis) {
    ImmutableList.Builder<Entry<T>> expired = ImmutableList.builder();
    for (Level<T> level : levels.values()) {
      for (Flow<T> flow : level.flows.values()) {
        flow.entries.removeIf(
            entry -> {
              boolean isLate = entry.deadlineMillis() <= nowMillis;
              if (isLate) {
                expired.add(entry);
              }
              return isLate;
            });
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

  /** The number of waiting entries of {@code team}. */
  public int sizeOf(String team) {
    return levels.values().stream()
        .map(level -> level.flows.get(team))
        .mapToInt(flow -> flow == null ? 0 : flow.entries.size())
        .sum();
  }

  private Entry<T> take(Level<T> level, Flow<T> flow, ToDoubleFunction<T> costOf) {
    Entry<T> entry = flow.entries.removeFirst();
    double cost = costOf.applyAsDouble(entry.item());
    size--;
    level.virtualTime = Math.max(level.virtualTime, flow.nextStart);
    flow.nextStart = Math.max(flow.nextStart, level.virtualTime) + cost / entry.share();
    return entry;
  }
}
