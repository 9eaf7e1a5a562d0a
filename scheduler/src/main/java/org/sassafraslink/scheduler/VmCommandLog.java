package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import com.google.common.collect.Maps;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
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
import org.sassafraslink.api.fleet.VmClient.Authority;
import org.sassafraslink.api.log.EventLog;

/**
 * Records in a row to which VMs a command (a move or maintenance) may be sent and until when,
 * before the command is sent.
 *
 * <p>The platform does not check fencing tokens on commands to VMs, so commands of two schedulers
 * must be separated by a pause. The row holds, by the store's clock, until when a command may still
 * be sent; the sender sends none later. The next scheduler sends commands to these VMs once the
 * store's clock has passed that time by the pause, and to all others at once: pools need VMs most
 * after a failure. That holds whether or not its predecessor knows that it was replaced.
 */
final class VmCommandLog {
  /**
   * In a table of its own, since all entry VMs wait for changes of the table with the lease, while
   * this row changes with each batch of commands.
   */
  private static final RowKey KEY = new RowKey("vm-commands", JobRows.MAIN_PARTITION, "orders");

  /** Where an earlier version recorded its commands. */
  private static final RowKey EARLIER_VERSION_KEY =
      new RowKey("control", JobRows.MAIN_PARTITION, "orders");

  /** Added to the pause that the platform requires, in ms, for the transfer of a command. */
  private static final long PAUSE_MARGIN_MILLIS = 300;

  /** How long commands to a VM may be sent after its record at least, in ms. */
  private static final long MIN_SENDING_MILLIS = 400;

  /** How long commands to a VM may be sent after a slow record, in ms. */
  private static final long MAX_SENDING_MILLIS = 3_000;

  /** Delay after a failed call to the store, in ms. */
  private static final long RETRY_DELAY_MILLIS = 150;

  /**
   * A VM in the row.
   *
   * @param untilStoreMillis as in {@link VmCommandRow}
   * @param keptUntilMillis until when the VM must be kept in the row, monotonic ms
   */
  private record RecordedVm(long untilStoreMillis, long keptUntilMillis) {}

  private final ResponseTrackingRowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final long pauseMillis;

  private final Map<String, RecordedVm> recordedVms = new TreeMap<>();

  /**
   * VMs to which an earlier scheduler may have sent a command, each with the end of its pause,
   * monotonic ms.
   */
  private final Map<String, Long> pausedUntilMillis = new HashMap<>();

  /** Until when an earlier scheduler may send commands to VMs in the row, monotonic ms. */
  private long predecessorCommandsEndMillis;

  /** Until when no VM may get a command, because a row was not readable, monotonic ms. */
  private long allPausedUntilMillis;

  /** VMs to be added to the row by the next write, each with the callbacks for the result. */
  private Map<String, Consumer<Optional<Authority>>> callbacksByVm = new LinkedHashMap<>();

  /** The version of the row that this process has read or written last. */
  private long rowVersion = RowStore.ABSENT;

  private boolean loaded;
  private boolean callPending;
  private long nextCallMillis;

  /** How long the last write of the row took, in ms. */
  private long lastWriteMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  VmCommandLog(
      ResponseTrackingRowStore store,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      long pauseMillis) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.pauseMillis = pauseMillis + PAUSE_MARGIN_MILLIS;
  }

  /** Discards all state, so that the row is read again before any command is allowed. */
  void reset() {
    generation++;
    loaded = false;
    callPending = false;
    nextCallMillis = 0;
    lastWriteMillis = 0;
    recordedVms.clear();
    pausedUntilMillis.clear();
    allPausedUntilMillis = Long.MIN_VALUE;
    predecessorCommandsEndMillis = Long.MIN_VALUE;
    callbacksByVm.clear();
  }

  /**
   * Returns whether the row has been read and the pause after a command of an earlier scheduler to
   * this VM, if any, is over.
   */
  boolean maySendCommand(String vm, long nowMillis) {
    return loaded
        && nowMillis >= allPausedUntilMillis
        && nowMillis >= pausedUntilMillis.getOrDefault(vm, Long.MIN_VALUE);
  }

  /**
   * Returns whether a list requested at {@code listRequestedMillis} shows the effect of all
   * commands of earlier schedulers to a VM. Their answers are unknown here, so that only a list
   * requested after the pause certainly does.
   */
  boolean arePredecessorCommandsShownBy(String vm, long listRequestedMillis) {
    return maySendCommand(vm, listRequestedMillis);
  }

  /**
   * Returns whether no earlier scheduler sends a command to a VM any more, as far as the row shows,
   * even if its lease is still valid.
   */
  boolean arePredecessorCommandsOver(long nowMillis) {
    return loaded && nowMillis >= predecessorCommandsEndMillis;
  }

  /**
   * Adds a VM to the row. {@code onRecorded} receives the authority for one command to the VM;
   * empty if the row was not stored, so that no command may be sent.
   */
  void recordVm(String vm, Consumer<Optional<Authority>> onRecorded) {
    callbacksByVm.merge(vm, onRecorded, Consumer::andThen);
    write();
  }

  /** Reads or writes the row if that is due. */
  void readOrWriteIfDue(long nowMillis) {
    if (nowMillis < nextCallMillis) {
      return;
    }
    if (!loaded) {
      read(nowMillis);
    } else {
      write();
    }
  }

  private void read(long nowMillis) {
    if (callPending || !lease.isValid()) {
      return;
    }
    callPending = true;
    long sentGeneration = generation;
    store.read(
        rangeOf(KEY),
        rows ->
            store.read(
                rangeOf(EARLIER_VERSION_KEY),
                earlierVersionRows -> {
                  if (generation == sentGeneration) {
                    callPending = false;
                    applyRead(rows, earlierVersionRows, nowMillis);
                  }
                }));
  }

  private static Range rangeOf(RowKey key) {
    return new Range(key.table(), key.partition(), key.key(), key.key() + '\0');
  }

  private void applyRead(
      Either<CallFailure, Rows> rows,
      Either<CallFailure, Rows> earlierVersionRows,
      long nowMillis) {
    if (rows.isLeft() || earlierVersionRows.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      return;
    }
    loaded = true;
    rowVersion = versionIn(rows.get().rows());
    for (StoredRow row : Iterables.concat(rows.get().rows(), earlierVersionRows.get().rows())) {
      VmCommandRow.decode(row.value())
          .ifPresentOrElse(
              decoded ->
                  decoded
                      .untilStoreMillisByVm()
                      .forEach((vm, until) -> pause(vm, until, nowMillis)),
              () -> {
                allPausedUntilMillis = nowMillis + pauseMillis;
                predecessorCommandsEndMillis = Long.MAX_VALUE;
                log.log("orders.unreadable", "table", row.key().table());
              });
    }
    if (!pausedUntilMillis.isEmpty()) {
      long lastEndMillis = pausedUntilMillis.values().stream().reduce(nowMillis, Math::max);
      log.log(
          "orders.paused",
          "epoch",
          lease.epoch(),
          "machines",
          pausedUntilMillis.keySet(),
          "millis",
          lastEndMillis - nowMillis);
    }
  }

  /**
   * Pauses commands to a VM. The pause counts from the time until which a command may be sent or,
   * if that is not known, from now.
   */
  private void pause(String vm, long untilStoreMillis, long nowMillis) {
    Optional<StoreTime> storeTime = store.storeTime();
    if (untilStoreMillis == VmCommandRow.UNKNOWN || storeTime.isEmpty()) {
      pauseUntil(vm, VmCommandRow.UNKNOWN, nowMillis + pauseMillis);
      predecessorCommandsEndMillis = Long.MAX_VALUE;
      return;
    }
    StoreTime time = storeTime.get();
    // No scheduler records a later time than this.
    long latestStoreMillis =
        time.storeMillis()
            + (long) Math.ceil(MAX_SENDING_MILLIS * (1 + StoreTime.MAX_RATE_DIFFERENCE));
    long boundedStoreMillis = Math.min(untilStoreMillis, latestStoreMillis);
    predecessorCommandsEndMillis =
        Math.max(predecessorCommandsEndMillis, time.certainlyPassedFromMillis(boundedStoreMillis));
    long endMillis = time.certainlyPassedFromMillis(boundedStoreMillis + pauseMillis);
    if (endMillis > nowMillis) {
      pauseUntil(vm, boundedStoreMillis, endMillis);
    }
  }

  private void pauseUntil(String vm, long untilStoreMillis, long endMillis) {
    if (endMillis >= pausedUntilMillis.getOrDefault(vm, Long.MIN_VALUE)) {
      pausedUntilMillis.put(vm, endMillis);
      recordedVms.put(vm, new RecordedVm(untilStoreMillis, endMillis));
    }
  }

  private void write() {
    if (callPending || !loaded || callbacksByVm.isEmpty() || !lease.isValid()) {
      return;
    }
    long now = clock.monotonicMillis();
    recordedVms.values().removeIf(recorded -> now >= recorded.keptUntilMillis());
    Map<String, Consumer<Optional<Authority>>> batch = callbacksByVm;
    callbacksByVm = new LinkedHashMap<>();
    Optional<StoreTime> storeTime = store.storeTime();
    long untilStoreMillis =
        storeTime.map(time -> time.reachedAt(now) + sendingMillis()).orElse(VmCommandRow.UNKNOWN);
    batch.keySet().forEach(vm -> recordedVms.put(vm, recordedVm(storeTime, untilStoreMillis, now)));
    callPending = true;
    long sentGeneration = generation;
    long expectedVersion = rowVersion;
    // Without its version, a write that the store applies late would replace a later one.
    Transaction transaction =
        new Transaction(
            ImmutableList.of(lease.holderExpectation(), new Expectation(KEY, expectedVersion)),
            ImmutableList.of(new Put(KEY, currentRow().encode())),
            ImmutableList.of());
    store.commit(
        transaction,
        outcome -> {
          if (generation == sentGeneration) {
            callPending = false;
            lastWriteMillis = clock.monotonicMillis() - now;
            if (outcome instanceof Outcome.Committed committed) {
              rowVersion = committed.version();
              Authority authority = authorityUntil(storeTime, untilStoreMillis);
              batch.values().forEach(callback -> callback.accept(Optional.of(authority)));
            } else if (outcome instanceof Outcome.Conflict conflict
                && versionIn(conflict.current()) != expectedVersion) {
              // An earlier write of this process was applied late.
              rowVersion = versionIn(conflict.current());
              batch.forEach(
                  (vm, callback) ->
                      callbacksByVm.merge(vm, callback, (newer, older) -> older.andThen(newer)));
            } else {
              batch.values().forEach(callback -> callback.accept(Optional.empty()));
            }
            write();
          }
        });
  }

  private static long versionIn(ImmutableList<StoredRow> rows) {
    return rows.stream()
        .filter(row -> row.key().equals(KEY) && !row.deleted())
        .mapToLong(StoredRow::version)
        .findFirst()
        .orElse(RowStore.ABSENT);
  }

  /** Returns how long after their record commands may be sent, given how long records take. */
  private long sendingMillis() {
    return Math.min(MAX_SENDING_MILLIS, MIN_SENDING_MILLIS + 2 * lastWriteMillis);
  }

  private VmCommandRow currentRow() {
    return new VmCommandRow(
        ImmutableMap.copyOf(Maps.transformValues(recordedVms, RecordedVm::untilStoreMillis)));
  }

  /**
   * Returns the entry of a VM to which this scheduler may send a command. Without a store's time, a
   * command may be sent as long as the lease is valid.
   */
  private RecordedVm recordedVm(
      Optional<StoreTime> storeTime, long untilStoreMillis, long nowMillis) {
    long keptUntilMillis =
        storeTime
            .map(time -> time.certainlyPassedFromMillis(untilStoreMillis + pauseMillis))
            .orElse(nowMillis + SchedulerLease.LEASE_MILLIS + pauseMillis);
    return new RecordedVm(untilStoreMillis, keptUntilMillis);
  }

  private Authority authorityUntil(Optional<StoreTime> storeTime, long untilStoreMillis) {
    Authority authority = lease.authority();
    if (storeTime.isEmpty()) {
      return authority;
    }
    long untilMillis = storeTime.get().certainlyBeforeUntilMillis(untilStoreMillis);
    long untilWallMillis = storeTime.get().certainlyBeforeUntilWallMillis(untilStoreMillis);
    return new Authority(
        authority.holder(),
        authority.fencingToken(),
        () ->
            authority.isValid().getAsBoolean()
                && clock.monotonicMillis() < untilMillis
                && clock.wallMillis() < untilWallMillis);
  }
}
