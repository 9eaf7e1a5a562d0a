package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
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
import org.sassafraslink.scheduler.cancellation.ClockTimes;
import org.sassafraslink.scheduler.command.CommandPermission;

/**
 * Acquires, renews and releases the scheduling lease. Only its holder schedules.
 *
 * <p>The holder row changes only when a process acquires the lease; the scheduler's transactions on
 * the same partition check the row's version. The renewal row changes with each renewal. {@link
 * HolderObservation} says when another process takes the lease over; then its transaction changes
 * both rows, and expects their known versions. The holder counts the lease time from before it sent
 * the renewal. It checks the monotonic and the wall clock, because the monotonic clock stops while
 * a VM is suspended.
 */
final class SchedulerLease {
  /** How long a lease lasts after a renewal, in ms; long enough for several failed renewals. */
  static final long LEASE_MILLIS = 2_000;

  static final long RENEWAL_INTERVAL_MILLIS = 600;

  /**
   * A holder gives up the lease when the store has not responded for this long, in ms: one renewal
   * interval plus the response time of a slow store.
   */
  private static final long MAX_STORE_UNRESPONSIVE_MILLIS = 850;

  /** Delay after a failed call to the store, in ms. */
  private static final long RETRY_DELAY_MILLIS = 150;

  /** How long a long poll waits at the store for a change, in ms. */
  private static final int LONG_POLL_MILLIS = 1_000;

  private static final String TABLE = "control";
  private static final RowKey HOLDER_KEY = new RowKey(TABLE, JobRows.MAIN_PARTITION, "holder");
  private static final RowKey RENEWAL_KEY = new RowKey(TABLE, JobRows.MAIN_PARTITION, "renewal");
  private static final String RELEASED_VALUE = "released";

  /** Ends the value of a renewal whose holder grants leases to workers from the renewal on. */
  private static final String GRANTS_FROM_RENEWAL = " grants-from-renewal";

  /** Notified when this process acquires or loses the lease; called on the scheduler's thread. */
  interface Listener {
    /**
     * Called when this process has acquired the lease and starts to schedule.
     *
     * @param predecessorEndMillis when its predecessor sends no more commands, monotonic ms
     * @param predecessorGrantMillis from when on the last leases last that its predecessor can have
     *     granted to workers, monotonic ms
     */
    void onAcquired(long epoch, long predecessorEndMillis, long predecessorGrantMillis);

    /** Called before this process gives the lease up, while workers still accept its commands. */
    void onGivingUp();

    /** Called when this process has lost, released or given up the lease. */
    void onLost();
  }

  private final ResponseTrackingRowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerSettings settings;
  private final LeaseHolderWatch watch;
  private final Listener listener;
  private volatile boolean holding;
  private boolean callPending; // to the store, other than a takeover
  private boolean takeoverPending;

  /** Incremented by each takeover attempt and each loss; responses to earlier calls are ignored. */
  private long generation;

  private boolean stopping;
  private long nextCallMillis;

  private volatile LeaseHolder holder = LeaseHolder.NONE;
  private long holderVersion;
  private long renewalVersion;
  private boolean released; // whether the renewal row holds RELEASED_VALUE

  /** Whether the watch has reported that the holder has ended or released the lease. */
  private boolean holderReportedGone;

  /** Version of the store up to which the rows have been read; -1 if they must all be read. */
  private long readVersion = -1;

  /** When this process first knew the current version of the renewal row, monotonic ms. */
  private long renewalChangedMillis;

  /** Whether the holder grants leases to workers from the current renewal on, not from later. */
  private boolean grantsFromRenewal;

  /** Since when the lease has been free according to this process, monotonic ms; 0 if it is not. */
  private long freeSinceMillis;

  private long lastReadMillis;
  private long renewalCount;
  private boolean watchingHolder;

  private volatile LeaseValidity validity = LeaseValidity.NONE;

  SchedulerLease(
      ResponseTrackingRowStore store,
      FleetClock clock,
      EventLog log,
      SchedulerSettings settings,
      LeaseHolderWatch watch,
      Listener listener) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.watch = watch;
    this.listener = listener;
  }

  /** Returns whether this process holds the lease and may send commands now. Thread-safe. */
  boolean isValid() {
    return holding && validity.isValidAt(clock);
  }

  /**
   * Returns the authority for a command to a VM. It becomes invalid with the lease, so that a
   * command that is delayed until another process may hold the lease is not sent any more.
   */
  Authority authority() {
    return new Authority(settings.node(), epoch(), commandPermission());
  }

  /** Returns the permission for a command to a worker, which ends with the lease. */
  CommandPermission commandPermission() {
    long commandEpoch = epoch();
    return CommandPermission.of(() -> isValid() && epoch() == commandEpoch);
  }

  /** As {@link #commandPermission()}, but only while a further condition holds on any thread. */
  CommandPermission commandPermission(BooleanSupplier condition) {
    CommandPermission permission = commandPermission();
    return CommandPermission.of(() -> condition.getAsBoolean() && permission.getAsBoolean());
  }

  /**
   * Returns the permission for a command that renews the lease of a worker. It holds until the end
   * of the lease also if this process gives the lease up, so that the worker's tasks outlast the
   * takeover.
   */
  CommandPermission renewalPermission() {
    long commandEpoch = epoch();
    return CommandPermission.of(() -> validity.isValidAt(clock) && epoch() == commandEpoch);
  }

  /**
   * Returns how long a lease may last that is granted to a worker now, in ms. It lasts for {@code
   * leaseMillis} from the last renewal of this lease on, so that a successor knows its end.
   */
  long grantableMillis(long leaseMillis, ClockTimes now) {
    return Math.max(0, leaseMillis - validity.ageMillis(now));
  }

  boolean isHolding() {
    return holding;
  }

  long epoch() {
    return holder.epoch();
  }

  /** Returns the node that held the lease when it was last read; empty if none did. */
  String holderNode() {
    return holder.node();
  }

  /** Returns the expectation that fails a transaction if another process has acquired the lease. */
  Expectation holderExpectation() {
    return new Expectation(HOLDER_KEY, holderVersion);
  }

  /** Releases the lease, so that another process can acquire it at once, and stays without it. */
  void release() {
    stopping = true;
    if (holding) {
      endHolding("release");
      watch.announceRelease();
      store.commit(
          renewalTransaction(RELEASED_VALUE),
          outcome -> log.log("lease.released", "epoch", holder.epoch(), "outcome", outcome));
    }
  }

  /** Reads, renews or takes over the lease if that is due. */
  void callStoreIfDue(long nowMillis) {
    if (holding && callPending && isStoreUnresponsive(nowMillis)) {
      giveUp();
    }
    if (stopping || nowMillis < nextCallMillis) {
      return;
    }
    boolean isDelayOver = isTakeoverDelayOver(nowMillis);
    if (isDelayOver
        && !takeoverPending
        && readVersion >= 0
        && observation().isReplaceableWithoutRead(nowMillis)) {
      // Does not wait for a long poll that may be pending.
      takeOver(nowMillis);
    } else if (callPending || takeoverPending) {
      return;
    } else if (holding) {
      renew(nowMillis);
    } else if (readVersion < 0) {
      callPending = true;
      long sentGeneration = generation;
      store.read(
          new Range(TABLE, JobRows.MAIN_PARTITION, "", ""),
          response -> {
            if (sentGeneration == generation) {
              applyFullRead(response);
            }
          });
    } else if (isDelayOver && observation().isReplaceable(nowMillis)) {
      takeOver(nowMillis);
    } else {
      callPending = true;
      long sentGeneration = generation;
      store.readChanges(
          TABLE,
          readVersion,
          observation().longPollMillis(LONG_POLL_MILLIS, nowMillis),
          response -> {
            if (sentGeneration == generation) {
              applyChanges(response);
            }
          });
    }
  }

  private HolderObservation observation() {
    return new HolderObservation(
        holderVersion != RowStore.ABSENT,
        released,
        holder.node().equals(settings.node()),
        holderReportedGone,
        renewalChangedMillis,
        lastReadMillis,
        watch.lastHeartbeatMillis());
  }

  /** Returns whether the lease has been free for as long as this process leaves it to others. */
  private boolean isTakeoverDelayOver(long nowMillis) {
    if (holding || !observation().isReplaceable(nowMillis)) {
      freeSinceMillis = 0;
      return false;
    }
    if (freeSinceMillis == 0) {
      freeSinceMillis = nowMillis;
    }
    return nowMillis - freeSinceMillis >= settings.takeoverDelayMillis();
  }

  private void takeOver(long nowMillis) {
    LeaseHolder newHolder =
        new LeaseHolder(
            settings.node(), settings.process(), holder.epoch() + 1, settings.peerAddress());
    Transaction transaction =
        new Transaction(
            ImmutableList.of(
                new Expectation(HOLDER_KEY, holderVersion),
                new Expectation(RENEWAL_KEY, renewalVersion)),
            ImmutableList.of(
                new Put(HOLDER_KEY, newHolder.encode()), new Put(RENEWAL_KEY, nextRenewalValue())),
            ImmutableList.of());
    long predecessorEndMillis = observation().authorityEndMillis(nowMillis);
    // A released lease was renewed before the release at the latest.
    long predecessorGrantMillis =
        grantsFromRenewal || released
            ? Math.min(nowMillis, renewalChangedMillis)
            : Math.max(nowMillis, predecessorEndMillis);
    takeoverPending = true;
    callPending = false;
    generation++;
    long wallMillis = clock.wallMillis();
    store.commit(
        transaction,
        outcome -> {
          takeoverPending = false;
          if (outcome instanceof Outcome.Committed committed) {
            holder = newHolder;
            holderVersion = committed.version();
            recordOwnRenewal(committed.version());
            released = false;
            holderReportedGone = false;
            holding = true;
            validity = LeaseValidity.renewed(nowMillis, wallMillis);
            log.log(
                "lease.acquired",
                "epoch",
                newHolder.epoch(),
                "predecessorMillis",
                predecessorEndMillis - nowMillis,
                "renewalAge",
                nowMillis - predecessorGrantMillis);
            watch.setHolding(true);
            listener.onAcquired(newHolder.epoch(), predecessorEndMillis, predecessorGrantMillis);
          } else {
            // Another process was faster, or the response was lost: the rows must be read again.
            readVersion = -1;
            nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
            log.log("lease.not_acquired", "epoch", newHolder.epoch(), "outcome", outcome);
          }
        });
  }

  private void renew(long nowMillis) {
    callPending = true;
    long wallMillis = clock.wallMillis();
    long sentGeneration = generation;
    store.commit(
        renewalTransaction(nextRenewalValue()),
        outcome -> {
          if (sentGeneration == generation) {
            callPending = false;
            applyRenewalOutcome(outcome, nowMillis, wallMillis);
          }
        });
  }

  private void applyRenewalOutcome(Outcome outcome, long sentMillis, long sentWallMillis) {
    if (outcome instanceof Outcome.Committed committed) {
      recordOwnRenewal(committed.version());
      validity = LeaseValidity.renewed(sentMillis, sentWallMillis);
      nextCallMillis = sentMillis + RENEWAL_INTERVAL_MILLIS;
    } else if (outcome instanceof Outcome.Conflict conflict) {
      Optional<StoredRow> currentHolder = findRow(conflict.current(), HOLDER_KEY);
      Optional<StoredRow> currentRenewal = findRow(conflict.current(), RENEWAL_KEY);
      boolean isSameHolder = currentHolder.map(row -> row.version() == holderVersion).orElse(false);
      if (isSameHolder && currentRenewal.isPresent()) {
        // An earlier renewal by this process was applied, but its response was lost.
        recordOwnRenewal(currentRenewal.get().version());
        nextCallMillis = clock.monotonicMillis();
      } else {
        endHolding("conflict");
      }
    } else {
      long now = clock.monotonicMillis();
      nextCallMillis = now + RETRY_DELAY_MILLIS;
      log.log(
          "lease.renewal_failed",
          "epoch",
          holder.epoch(),
          "silence",
          now - store.lastResponseMillis());
      if (isStoreUnresponsive(now)) {
        giveUp();
      }
    }
  }

  private void recordOwnRenewal(long version) {
    renewalVersion = version;
    renewalChangedMillis = clock.monotonicMillis();
    grantsFromRenewal = true;
  }

  private boolean isStoreUnresponsive(long nowMillis) {
    return nowMillis - store.lastResponseMillis() >= MAX_STORE_UNRESPONSIVE_MILLIS;
  }

  /** Gives the lease up: the store does not respond to this VM, but may respond to another one. */
  private void giveUp() {
    listener.onGivingUp();
    endHolding("store_silent");
    nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
    watch.announceRelease();
  }

  /** Stops holding the lease, since a rejection has shown that another process has acquired it. */
  void onFenced() {
    if (holding) {
      endHolding("fenced");
    }
  }

  private void endHolding(String reason) {
    holding = false;
    watchingHolder = false;
    callPending = false;
    generation++;
    readVersion = -1;
    log.log("lease.lost", "epoch", holder.epoch(), "reason", reason);
    watch.setHolding(false);
    listener.onLost();
  }

  private void applyFullRead(Either<CallFailure, Rows> response) {
    callPending = false;
    if (response.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      return;
    }
    if (findRow(response.get().rows(), RENEWAL_KEY).isEmpty()) {
      renewalVersion = RowStore.ABSENT;
      holderVersion = RowStore.ABSENT;
      holder = LeaseHolder.NONE;
    }
    applyRows(response.get());
  }

  private void applyChanges(Either<CallFailure, Rows> response) {
    callPending = false;
    if (response.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      // The store may have discarded the history of changes, so read the rows themselves.
      readVersion = -1;
      return;
    }
    applyRows(response.get());
  }

  private void applyRows(Rows rows) {
    long now = clock.monotonicMillis();
    lastReadMillis = now;
    readVersion = rows.version();
    rows.rows().forEach(row -> applyRow(row, now));
  }

  private void applyRow(StoredRow row, long nowMillis) {
    if (row.key().key().equals(HOLDER_KEY.key())) {
      LeaseHolder storedHolder = LeaseHolder.decode(row.value());
      boolean isOtherProcess = !storedHolder.process().equals(holder.process());
      holder = storedHolder;
      holderVersion = row.version();
      if (isOtherProcess || !watchingHolder) {
        watchHolder();
      }
    } else if (row.key().key().equals(RENEWAL_KEY.key()) && row.version() != renewalVersion) {
      renewalVersion = row.version();
      renewalChangedMillis = nowMillis;
      released = row.value().equals(RELEASED_VALUE);
      grantsFromRenewal = row.value().endsWith(GRANTS_FROM_RENEWAL);
      if (holderReportedGone) {
        // The holder is alive, or has ended while this renewal was under way.
        watchHolder();
      }
    }
  }

  private void watchHolder() {
    LeaseHolder watched = holder;
    watchingHolder = true;
    holderReportedGone = false;
    watch.watch(watched.address(), () -> recordHolderGone(watched));
  }

  private void recordHolderGone(LeaseHolder reported) {
    if (!holding && holder.process().equals(reported.process())) {
      log.log("lease.holder_gone", "node", reported.node(), "epoch", reported.epoch());
      holderReportedGone = true;
    }
  }

  private Transaction renewalTransaction(String value) {
    return new Transaction(
        ImmutableList.of(holderExpectation(), new Expectation(RENEWAL_KEY, renewalVersion)),
        ImmutableList.of(new Put(RENEWAL_KEY, value)),
        ImmutableList.of());
  }

  private String nextRenewalValue() {
    renewalCount++;
    return settings.process() + " " + renewalCount + GRANTS_FROM_RENEWAL;
  }

  private static Optional<StoredRow> findRow(ImmutableList<StoredRow> rows, RowKey key) {
    return rows.stream().filter(row -> row.key().equals(key) && !row.deleted()).findFirst();
  }
}
