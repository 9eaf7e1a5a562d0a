package org.sassafraslink.scheduler.workerlease;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * What a scheduler knows of the row with the ends of leases. It decides when the row is written and
 * with which entries, and which workers get no longer lease meanwhile.
 *
 * <p>Invariant: a committed entry of a worker's incarnation with the end E implies that no lease
 * that this or any earlier scheduler granted to the incarnation ends after E, and that none is
 * granted to any incarnation with its id until a write without the entry is committed. So leases
 * are withheld from before an entry is sent until a commit shows that the row lacks it, also while
 * the outcome of a write is unknown: each write expects the version of the row, so that after a
 * commit no earlier write is applied any more.
 *
 * @param stored the entries of the row as last known
 * @param ofEarlierEpoch whether the row is that of the predecessor, which the next scheduler but
 *     one would ignore
 * @param unsettled the ids in writes since then whose outcome is unknown
 */
public record RecordedLeaseEnds(
    ImmutableMap<String, RecordedEnd> stored,
    boolean ofEarlierEpoch,
    ImmutableSet<String> unsettled) {
  /** Nothing is recorded. */
  public static final RecordedLeaseEnds NONE =
      new RecordedLeaseEnds(ImmutableMap.of(), /* ofEarlierEpoch= */ false, ImmutableSet.of());

  /**
   * The length of a row up to which entries are added, in characters, so that a store which limits
   * the size of rows does not reject it. The workers of the others are waited for as if they were
   * silent since the takeover.
   */
  private static final int MAX_CHARACTERS = 30_000;

  /** The length of an entry without the worker's id, in characters. */
  private static final int ENTRY_CHARACTERS = 40;

  /** Returns what is known after the row of the predecessor has been read. */
  public static RecordedLeaseEnds ofPredecessor(ImmutableMap<String, LeaseEnd> ends) {
    return new RecordedLeaseEnds(withUnknownEnds(ends), !ends.isEmpty(), ImmutableSet.of());
  }

  private static ImmutableMap<String, RecordedEnd> withUnknownEnds(
      ImmutableMap<String, LeaseEnd> ends) {
    return ImmutableMap.copyOf(
        Maps.transformValues(ends, end -> new RecordedEnd(end, RecordedEnd.NOT_KNOWN)));
  }

  /** Returns whether no incarnation of a worker may be granted a lease beyond those it has. */
  public boolean withholds(String workerId) {
    return stored.containsKey(workerId) || unsettled.contains(workerId);
  }

  /** Returns the end in the row of an incarnation, if any. */
  public Optional<LeaseEnd> endOf(String workerId, long incarnation) {
    return entryOf(workerId, incarnation).map(RecordedEnd::end);
  }

  private Optional<RecordedEnd> entryOf(String workerId, long incarnation) {
    return Optional.ofNullable(stored.get(workerId))
        .filter(recorded -> recorded.end().incarnation() == incarnation);
  }

  /** Returns this after the end of a worker in the row was applied to what is known of it. */
  public RecordedLeaseEnds afterApplying(String workerId, long leasesEndMillis) {
    TreeMap<String, RecordedEnd> applied = new TreeMap<>(stored);
    applied.computeIfPresent(
        workerId, (id, recorded) -> new RecordedEnd(recorded.end(), leasesEndMillis));
    return new RecordedLeaseEnds(ImmutableMap.copyOf(applied), ofEarlierEpoch, unsettled);
  }

  /** Returns the entries to be written before the workers are known; empty if none are due. */
  public Optional<ImmutableMap<String, RecordedEnd>> dueOfPredecessor() {
    return ofEarlierEpoch ? Optional.of(stored) : Optional.empty();
  }

  /**
   * Returns the entries to be written now; empty if no write is due. Entries that are of no use any
   * more are left out, but no write is due for that alone.
   *
   * @param workers at least those whose requests fail or that are withheld a lease
   * @param latestStoreMillis returns for a monotonic time one that the store's clock has not passed
   *     before
   */
  public Optional<ImmutableMap<String, RecordedEnd>> due(
      Collection<ObservedWorker> workers, LongUnaryOperator latestStoreMillis, long nowMillis) {
    Map<String, RecordedEnd> next = new TreeMap<>();
    List<ObservedWorker> lacking = new ArrayList<>();
    boolean isDue = false;
    for (ObservedWorker worker : workers) {
      if (worker.needsRemoval()) {
        isDue |= withholds(worker.id());
      } else if (worker.needsEntry(nowMillis) && isOutdated(worker)) {
        isDue |= entryOf(worker).isPresent();
        lacking.add(worker);
      } else if (worker.keepsEntry()) {
        entryOf(worker).ifPresent(entry -> next.put(worker.id(), entry));
      }
    }
    isDue |= ofEarlierEpoch && !next.isEmpty();
    int characters = next.keySet().stream().mapToInt(RecordedLeaseEnds::characters).sum();
    for (ObservedWorker worker : lacking) {
      characters += characters(worker.id());
      if (characters <= MAX_CHARACTERS) {
        next.put(worker.id(), entryFor(worker, latestStoreMillis));
        isDue = true;
      }
    }
    return isDue ? Optional.of(ImmutableMap.copyOf(next)) : Optional.empty();
  }

  private boolean isOutdated(ObservedWorker worker) {
    return entryOf(worker)
        .map(entry -> entry.leasesEndMillis() < worker.leasesEndMillis())
        .orElse(true);
  }

  private Optional<RecordedEnd> entryOf(ObservedWorker worker) {
    return entryOf(worker.id(), worker.incarnation());
  }

  private static int characters(String workerId) {
    return ENTRY_CHARACTERS + workerId.length();
  }

  private static RecordedEnd entryFor(ObservedWorker worker, LongUnaryOperator latestStoreMillis) {
    long storeMillis = latestStoreMillis.applyAsLong(worker.leasesEndMillis());
    return new RecordedEnd(
        new LeaseEnd(worker.incarnation(), storeMillis), worker.leasesEndMillis());
  }

  /** Returns this from the moment before a write with these entries is sent. */
  public RecordedLeaseEnds afterSending(ImmutableMap<String, RecordedEnd> entries) {
    return new RecordedLeaseEnds(
        stored,
        ofEarlierEpoch,
        ImmutableSet.<String>builder().addAll(unsettled).addAll(entries.keySet()).build());
  }

  /** Returns this after the commit of a write with these entries. */
  public RecordedLeaseEnds afterCommit(ImmutableMap<String, RecordedEnd> entries) {
    return new RecordedLeaseEnds(entries, /* ofEarlierEpoch= */ false, ImmutableSet.of());
  }

  /** Returns this after a conflict has shown that an earlier write was applied, with these ends. */
  public RecordedLeaseEnds afterLateCommit(ImmutableMap<String, LeaseEnd> ends) {
    return afterCommit(withUnknownEnds(ends));
  }
}
