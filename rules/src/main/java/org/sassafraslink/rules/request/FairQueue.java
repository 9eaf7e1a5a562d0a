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
 * A bounded queue that orders waiting work by the teams' shares, and within a team by work class.
 *
 * <p>It implements start-time fair queueing with the time for which a slot is used as the cost: the
 * virtual start time of a team's next entry advances by the cost of the previous entry divided by
 * the team's share. A team that was idle continues at the current virtual time, so that it cannot
 * accumulate the share that it did not use. Because run times are not known in advance, the cost of
 * an entry is estimated when it starts and corrected when it ends.
 *
 * <p>The work class of an entry adds a fixed offset to its virtual start time. Urgent work starts
 * before the work of other teams as long as its team is not far ahead of its share, and bookkeeping
 * work starts after the work of other teams until its team is far behind its share. With strict
 * priority between work classes, one team with urgent work could use all capacity.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the waiting work
 */
public final class FairQueue<T> {
  /**
   * How much earlier urgent work starts in virtual time, in ms of slot time for a team with a share
   * of 1.
   */
  private static final double URGENT_LEAD_MILLIS = 20;

  /**
   * How much later bookkeeping work starts in virtual time, in ms of slot time for a team with a
   * share of 1.
   */
  private static final double BOOKKEEPING_LAG_MILLIS = 20;

  /**
   * A waiting item.
   *
   * @param share the share of the team
   * @param deadlineMillis when the entry expires and {@link #removeExpired} removes it
   */
  public record Entry<T>(
      String team, int share, WorkClass workClass, long deadlineMillis, T item) {}

  /**
   * The bounds of a queue.
   *
   * @param total the maximum number of entries of all teams together
   * @param perTeam the maximum number of entries of one team
   */
  public record Bounds(int total, int perTeam) {}

  /** The waiting entries of one team. */
  private static final class TeamQueue<T> {
    final EnumMap<WorkClass, ArrayDeque<Entry<T>>> entriesByClass = new EnumMap<>(WorkClass.class);
    double nextVirtualStart;
    int size;

    TeamQueue() {
      for (WorkClass workClass : WorkClass.values()) {
        entriesByClass.put(workClass, new ArrayDeque<>());
      }
    }
  }

  /**
   * An entry that may start, with its virtual start time; the entry with the earliest one starts
   * first.
   */
  private record Candidate<T>(TeamQueue<T> teamQueue, Entry<T> entry, double virtualStart) {}

  private final Bounds bounds;
  private final Map<String, TeamQueue<T>> queueByTeam = new HashMap<>();

  /** The latest virtual start time of a started entry, without the offset of its work class. */
  private double virtualTime;

  private int size;

  private FairQueue(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Creates an empty queue. */
  public static <T> FairQueue<T> create(Bounds bounds) {
    return new FairQueue<>(bounds);
  }

  /**
   * Adds an entry.
   *
   * @return false if the entry was not added because the total or the per-team bound is reached
   */
  public boolean offer(Entry<T> entry) {
    TeamQueue<T> teamQueue = queueByTeam.computeIfAbsent(entry.team(), team -> new TeamQueue<>());
    if (size >= bounds.total() || teamQueue.size >= bounds.perTeam()) {
      return false;
    }
    if (teamQueue.size == 0) {
      teamQueue.nextVirtualStart = Math.max(teamQueue.nextVirtualStart, virtualTime);
    }
    teamQueue.entriesByClass.get(entry.workClass()).addLast(entry);
    teamQueue.size++;
    size++;
    return true;
  }

  /**
   * Removes and returns the entry to start next, and charges its estimated cost to its team.
   * Returns empty if no entry may start.
   *
   * @param mayStart returns whether an entry may start now
   * @param estimatedCostMillis returns the estimated cost of an item, in ms of slot time
   */
  public Optional<Entry<T>> poll(
      Predicate<Entry<T>> mayStart, ToDoubleFunction<T> estimatedCostMillis) {
    Optional<Candidate<T>> candidate =
        queueByTeam.values().stream()
            .filter(teamQueue -> teamQueue.size > 0)
            .flatMap(teamQueue -> firstStartable(teamQueue, mayStart).stream())
            .min(Comparator.comparingDouble(Candidate::virtualStart));
    candidate.ifPresent(chosen -> removeAndCharge(chosen, estimatedCostMillis));
    return candidate.map(Candidate::entry);
  }

  /**
   * Corrects the cost charged to a team after an item has ended.
   *
   * @param correctionMillis the actual cost minus the estimated cost, in ms of slot time; may be
   *     negative
   */
  public void adjustCharge(String team, int share, double correctionMillis) {
    TeamQueue<T> teamQueue = queueByTeam.get(team);
    if (teamQueue != null) {
      teamQueue.nextVirtualStart += correctionMillis / share;
    }
  }

  /** Removes and returns the entries whose deadline is at or before {@code nowMillis}. */
  public ImmutableList<Entry<T>> removeExpired(long nowMillis) {
    ImmutableList.Builder<Entry<T>> expired = ImmutableList.builder();
    for (TeamQueue<T> teamQueue : queueByTeam.values()) {
      for (ArrayDeque<Entry<T>> entries : teamQueue.entriesByClass.values()) {
        int before = entries.size();
        entries.stream().filter(entry -> entry.deadlineMillis() <= nowMillis).forEach(expired::add);
        entries.removeIf(entry -> entry.deadlineMillis() <= nowMillis);
        teamQueue.size -= before - entries.size();
      }
    }
    ImmutableList<Entry<T>> removed = expired.build();
    size -= removed.size();
    return removed;
  }

  /** Returns the number of waiting entries. */
  public int size() {
    return size;
  }

  /**
   * Returns the first entry of a team that may start. Only the oldest entry of each work class is
   * considered, in the most urgent work class first.
   */
  private Optional<Candidate<T>> firstStartable(
      TeamQueue<T> teamQueue, Predicate<Entry<T>> mayStart) {
    return teamQueue.entriesByClass.values().stream()
        .map(ArrayDeque::peekFirst)
        .filter(entry -> entry != null && mayStart.test(entry))
        .findFirst()
        .map(
            entry ->
                new Candidate<>(
                    teamQueue,
                    entry,
                    teamQueue.nextVirtualStart + virtualStartOffset(entry.workClass())));
  }

  private static double virtualStartOffset(WorkClass workClass) {
    return switch (workClass) {
      case URGENT -> -URGENT_LEAD_MILLIS;
      case COUNTER -> 0;
      case BOOKKEEPING -> BOOKKEEPING_LAG_MILLIS;
    };
  }

  private void removeAndCharge(Candidate<T> candidate, ToDoubleFunction<T> estimatedCostMillis) {
    Entry<T> entry = candidate.entry();
    TeamQueue<T> teamQueue = candidate.teamQueue();
    teamQueue.entriesByClass.get(entry.workClass()).removeFirst();
    teamQueue.size--;
    size--;
    virtualTime = Math.max(virtualTime, teamQueue.nextVirtualStart);
    teamQueue.nextVirtualStart += estimatedCostMillis.applyAsDouble(entry.item()) / entry.share();
  }
}
