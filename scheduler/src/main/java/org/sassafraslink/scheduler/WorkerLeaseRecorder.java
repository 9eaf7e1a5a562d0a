package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.workerlease.LeaseEnd;
import org.sassafraslink.scheduler.workerlease.LeaseEndRow;
import org.sassafraslink.scheduler.workerlease.ObservedWorker;
import org.sassafraslink.scheduler.workerlease.RecordedEnd;
import org.sassafraslink.scheduler.workerlease.RecordedLeaseEnds;

/**
 * Records in a row when all leases of a worker have ended that has tasks and does not respond, so
 * that the next scheduler waits no longer for it. {@link RecordedLeaseEnds} decides what the row
 * has to hold, and states what it guarantees.
 *
 * <p>Each write expects that no other process has acquired the scheduling lease, and the version of
 * the row. The next scheduler reads the row after it has acquired the lease, when no write of this
 * one is applied any more. It uses the row only if its own epoch follows that of the row: a
 * scheduler in between that did not write the row may have granted leases since.
 */
final class WorkerLeaseRecorder {
  /** In a table of its own, so that no long poll for changes of other rows ends with each write. */
  private static final RowKey KEY =
      new RowKey("worker-leases", JobRows.MAIN_PARTITION, "recorded-ends");

  /** Delay after a failed call to the store, in ms. */
  private static final long RETRY_DELAY_MILLIS = 150;

  /** Why no entries of the predecessor are used, for the log. */
  private enum Unused {
    NONE,
    NO_ROW,
    EPOCH,
    UNREADABLE,
    NO_STORE_TIME
  }

  private final ResponseTrackingRowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final Consumer<String> onRemoved;

  private RecordedLeaseEnds ends = RecordedLeaseEnds.NONE;

  /** The version of the row that this process has read or written last. */
  private long rowVersion = RowStore.ABSENT;

  private boolean loaded;
  private boolean jobsRestored;
  private boolean callPending;
  private long nextCallMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  /**
   * Creates a recorder that has not read the row.
   *
   * @param onRemoved called with the id of each worker which is no longer withheld a lease
   */
  WorkerLeaseRecorder(
      ResponseTrackingRowStore store,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      Consumer<String> onRemoved) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.onRemoved = onRemoved;
  }

  /** Discards all state, so that the row is read again before any use of it. */
  void reset() {
    generation++;
    ends = RecordedLeaseEnds.NONE;
    rowVersion = RowStore.ABSENT;
    loaded = false;
    jobsRestored = false;
    callPending = false;
    nextCallMillis = 0;
  }

  /** Returns whether the row has been read. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns whether a worker gets no lease beyond those it has. */
  boolean withholds(String workerId) {
    return ends.withholds(workerId);
  }

  /**
   * Applies the ends that the predecessor recorded, and takes the workers into account from now on.
   */
  void onJobsRestored(WorkerRegistry workers) {
    jobsRestored = true;
    Optional<StoreTime> storeTime = store.storeTime();
    if (storeTime.isEmpty()) {
      return;
    }
    for (Worker worker : workers.all()) {
      ends.endOf(worker.entry.id(), worker.entry.incarnation())
          .filter(end -> workers.isLeaseEndCertain(worker))
          .ifPresent(
              end -> {
                worker.limitUnknownLeases(
                    storeTime.get().certainlyPassedFromMillis(end.storeMillis()));
                ends = ends.afterApplying(worker.entry.id(), worker.lease().latestExpiryMillis());
              });
    }
  }

  /** Reads or writes the row if that is due. */
  void readOrWriteIfDue(WorkerRegistry workers, long nowMillis) {
    if (callPending || nowMillis < nextCallMillis || !lease.isValid()) {
      return;
    }
    if (!loaded) {
      read();
      return;
    }
    Optional<ImmutableMap<String, RecordedEnd>> due =
        jobsRestored ? due(workers, nowMillis) : ends.dueOfPredecessor();
    due.ifPresent(entries -> write(entries, nowMillis));
  }

  private Optional<ImmutableMap<String, RecordedEnd>> due(WorkerRegistry workers, long nowMillis) {
    ImmutableList.Builder<ObservedWorker> observed = ImmutableList.builder();
    boolean isTimeKnown = store.storeTime().isPresent();
    for (Worker worker : workers.all()) {
      boolean mayNeedEntry = isTimeKnown && worker.consecutiveCallFailures > 0;
      if (!worker.ended && (mayNeedEntry || withholds(worker.entry.id()))) {
        observed.add(observe(worker, workers));
      }
    }
    long nowWallMillis = clock.wallMillis();
    return ends.due(
        observed.build(),
        millis -> store.storeTime().orElseThrow().notPassedBefore(millis, nowMillis, nowWallMillis),
        nowMillis);
  }

  private static ObservedWorker observe(Worker worker, WorkerRegistry workers) {
    return new ObservedWorker(
        worker.entry.id(),
        worker.entry.incarnation(),
        worker.consecutiveCallFailures > 0,
        worker.hasReported,
        !worker.isEmpty(),
        workers.isLeaseEndCertain(worker),
        worker.lease().latestExpiryMillis());
  }

  private void read() {
    callPending = true;
    long sentGeneration = generation;
    store.read(
        new Range(KEY.table(), KEY.partition(), KEY.key(), KEY.key() + '\0'),
        response -> {
          if (generation == sentGeneration) {
            callPending = false;
            applyRead(response);
          }
        });
  }

  private void applyRead(Either<CallFailure, Rows> response) {
    if (response.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      return;
    }
    loaded = true;
    Optional<StoredRow> row = findRow(response.get().rows(), KEY);
    rowVersion = row.map(StoredRow::version).orElse(RowStore.ABSENT);
    Optional<LeaseEndRow> decoded = row.flatMap(found -> LeaseEndRow.decode(found.value()));
    Unused unused = reasonNotToUse(row, decoded);
    if (unused == Unused.NONE) {
      ends = RecordedLeaseEnds.ofPredecessor(decoded.orElseThrow().endByWorker());
    }
    log.log(
        "worker.lease_records_read",
        "epoch",
        lease.epoch(),
        "rowEpoch",
        decoded.map(LeaseEndRow::epoch).orElse(0L),
        "entries",
        decoded.map(found -> found.endByWorker().size()).orElse(0),
        "used",
        ends.stored().size(),
        "unused",
        unused);
  }

  private Unused reasonNotToUse(Optional<StoredRow> row, Optional<LeaseEndRow> decoded) {
    if (row.isEmpty()) {
      return Unused.NO_ROW;
    }
    if (decoded.isEmpty()) {
      return Unused.UNREADABLE;
    }
    if (decoded.get().epoch() != lease.epoch() - 1) {
      return Unused.EPOCH;
    }
    return store.storeTime().isPresent() ? Unused.NONE : Unused.NO_STORE_TIME;
  }

  private void write(ImmutableMap<String, RecordedEnd> entries, long nowMillis) {
    RecordedLeaseEnds before = ends;
    ends = ends.afterSending(entries);
    callPending = true;
    long sentGeneration = generation;
    long expectedVersion = rowVersion;
    Expectation holder = lease.holderExpectation();
    LeaseEndRow row =
        new LeaseEndRow(
            lease.epoch(), ImmutableMap.copyOf(Maps.transformValues(entries, RecordedEnd::end)));
    Transaction transaction =
        new Transaction(
            ImmutableList.of(holder, new Expectation(KEY, expectedVersion)),
            ImmutableList.of(new Put(KEY, row.encode())),
            ImmutableList.of());
    store.commit(
        transaction,
        outcome -> {
          if (generation != sentGeneration) {
            return;
          }
          callPending = false;
          if (outcome instanceof Outcome.Committed committed) {
            rowVersion = committed.version();
            ends = ends.afterCommit(entries);
            applyChange(before, entries, nowMillis);
          } else if (outcome instanceof Outcome.Conflict conflict
              && isLateCommit(conflict.current(), holder, expectedVersion)) {
            applyLateCommit(conflict.current());
          } else {
            nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
          }
        });
  }

  /** Returns whether an earlier write of this process was applied without a response. */
  private static boolean isLateCommit(
      ImmutableList<StoredRow> current, Expectation holder, long expectedVersion) {
    boolean isSameHolder =
        findRow(current, holder.key()).map(row -> row.version() == holder.version()).orElse(false);
    return isSameHolder
        && findRow(current, KEY).map(row -> row.version() != expectedVersion).orElse(false);
  }

  private void applyLateCommit(ImmutableList<StoredRow> current) {
    StoredRow row = findRow(current, KEY).orElseThrow();
    rowVersion = row.version();
    ends =
        ends.afterLateCommit(
            LeaseEndRow.decode(row.value())
                .filter(decoded -> decoded.epoch() == lease.epoch())
                .map(LeaseEndRow::endByWorker)
                .orElse(ImmutableMap.<String, LeaseEnd>of()));
  }

  private void applyChange(
      RecordedLeaseEnds before, ImmutableMap<String, RecordedEnd> entries, long sentMillis) {
    long now = clock.monotonicMillis();
    entries.forEach(
        (id, entry) -> {
          if (!entry.equals(before.stored().get(id))) {
            log.log(
                "worker.lease_recorded",
                "worker",
                id,
                "incarnation",
                entry.end().incarnation(),
                "leaseLeft",
                entry.leasesEndMillis() - now,
                "millis",
                now - sentMillis);
          }
        });
    for (String id :
        Sets.difference(
            Sets.union(before.stored().keySet(), before.unsettled()), entries.keySet())) {
      log.log("worker.lease_record_removed", "worker", id, "millis", now - sentMillis);
      onRemoved.accept(id);
    }
  }

  private static Optional<StoredRow> findRow(ImmutableList<StoredRow> rows, RowKey key) {
    return rows.stream().filter(row -> row.key().equals(key) && !row.deleted()).findFirst();
  }
}
