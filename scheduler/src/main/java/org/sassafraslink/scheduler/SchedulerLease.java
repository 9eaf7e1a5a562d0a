package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Change;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;

/**
 * Decides whether this process is the one that schedules.
 *
 * <p>The holder row changes only when the lease changes hands, and every commit of the scheduler
 * checks its version; the renewal row changes with each renewal. Another process takes over when it
 * has seen the same renewal for longer than the lease lasts, so a holder counts its lease from the
 * moment before the renewal was sent, by whichever of its two clocks has advanced more: the steady
 * clock stands still while a VM is suspended.
 */
final class SchedulerLease {
  /** How long a renewal is valid, in ms; several renewals may be lost within it. */
  static final long LEASE_MILLIS = 2_000;

  /** Another process waits this much longer, in ms, for clocks that differ in rate. */
  private static final long TAKEOVER_SLACK_MILLIS = 300;

  private static final long RENEWAL_INTERVAL_MILLIS = 600;

  /** Pause after a failed call to the store, in ms. */
  private static final long RETRY_MILLIS = 150;

  /** How long a process that follows waits for a change, in ms. */
  private static final int FOLLOW_WAIT_MILLIS = 1_000;

  private static final String TABLE = "control";
  private static final RowKey HOLDER = new RowKey(TABLE, JobRows.PART, "holder");
  private static final RowKey RENEWAL = new RowKey(TABLE, JobRows.PART, "renewal");
  private static final String RELEASED = "released";

  /** What the holder row says. */
  private record Holder(String node, String process, long epoch) {
    static final Holder NOBODY = new Holder("", "", 0);

    String encode() {
      return node + " " + process + " " + epoch;
    }

    static Holder decode(String value) {
      String[] parts = value.split(" ", -1);
      try {
        return parts.length == 3
            ? new Holder(parts[0], parts[1], Long.parseLong(parts[2]))
            : NOBODY;
      } catch (NumberFormatException e) {
        return NOBODY;
      }
    }
  }

  /** Hears of the lease; called on the scheduler's thread. */
  interface Listener {
    void onAcquired(long epoch);

    void onLost();
  }

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final String node;
  private final String process;
  private final Listener listener;

  private boolean holding;
  private boolean callPending;
  private boolean stopping;
  private long nextCallMillis;

  private Holder holder = Holder.NOBODY;
  private long holderVersion;
  private long renewalVersion;
  private boolean released;
  private long feedVersion = -1;
  private long renewalSeenMillis;
  private long answeredMillis;
  private long renewals;

  private long validUntilMillis;
  private long validUntilWallMillis;

  SchedulerLease(
      RowStore store,
      FleetClock clock,
      EventLog log,
      String node,
      String process,
      Listener listener) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.node = node;
    this.process = process;
    this.listener = listener;
  }

  /** Whether this process may give orders now. */
  boolean isValid() {
    return holding
        && clock.monotonicMillis() < validUntilMillis
        && clock.wallMillis() < validUntilWallMillis;
  }

  boolean isHolding() {
    return holding;
  }

  long epoch() {
    return holder.epoch();
  }

  /** The node that holds the lease, as far as known; empty if nobody. */
  String holderNode() {
    return holder.node();
  }

  /** The check that every commit of the scheduler carries. */
  Expectation guard() {
    return new Expectation(HOLDER, holderVersion);
  }

  /** Gives the lease up, so that another process may take it at once. */
  void release() {
    stopping = true;
    if (holding) {
      lose("release");
      store.change(
          renewal(RELEASED),
          outcome -> log.log("lease.released", "epoch", holder.epoch(), "outcome", outcome));
    }
  }

  /** Makes the next call if one is due. */
  void tick(long nowMillis) {
    if (callPending || stopping || nowMillis < nextCallMillis) {
      return;
    }
    if (holding) {
      renew(nowMillis);
    } else if (feedVersion < 0) {
      callPending = true;
      store.read(new Range(TABLE, JobRows.PART, "", ""), this::onRows);
    } else if (mayTakeOver(nowMillis)) {
      takeOver(nowMillis);
    } else {
      callPending = true;
      store.changes(TABLE, feedVersion, FOLLOW_WAIT_MILLIS, this::onChanges);
    }
  }

  /**
   * A process of this node that is gone cannot come back, a released lease has no holder, and any
   * other holder must have been silent for longer than its lease, as seen in fresh answers.
   */
  private boolean mayTakeOver(long nowMillis) {
    boolean isFresh = nowMillis - answeredMillis < LEASE_MILLIS / 2;
    boolean isSilent = nowMillis - renewalSeenMillis > LEASE_MILLIS + TAKEOVER_SLACK_MILLIS;
    boolean isOwn = holder.node().equals(node);
    return isFresh && (holderVersion == RowStore.ABSENT || released || isOwn || isSilent);
  }

  private void takeOver(long nowMillis) {
    Holder next = new Holder(node, process, holder.epoch() + 1);
    Change change =
        new Change(
            ImmutableList.of(
                new Expectation(HOLDER, holderVersion), new Expectation(RENEWAL, renewalVersion)),
            ImmutableList.of(new Put(HOLDER, next.encode()), new Put(RENEWAL, renewalValue())),
            ImmutableList.of());
    callPending = true;
    long wallMillis = clock.wallMillis();
    store.change(
        change,
        outcome -> {
          callPending = false;
          if (outcome instanceof Outcome.Committed committed) {
            holder = next;
            holderVersion = committed.version();
            renewalVersion = committed.version();
            released = false;
            holding = true;
            extend(nowMillis, wallMillis);
            log.log("lease.acquired", "epoch", next.epoch());
            listener.onAcquired(next.epoch());
          } else {
            // Read again: another process was faster, or the answer was lost.
            feedVersion = -1;
            nextCallMillis = clock.monotonicMillis() + RETRY_MILLIS;
            log.log("lease.not_acquired", "epoch", next.epoch(), "outcome", outcome);
          }
        });
  }

  private void renew(long nowMillis) {
    callPending = true;
    long wallMillis = clock.wallMillis();
    store.change(
        renewal(renewalValue()),
        outcome -> {
          callPending = false;
          if (holding) {
            onRenewal(outcome, nowMillis, wallMillis);
          }
        });
  }

  private void onRenewal(Outcome outcome, long sentMillis, long sentWallMillis) {
    if (outcome instanceof Outcome.Committed committed) {
      renewalVersion = committed.version();
      extend(sentMillis, sentWallMillis);
      nextCallMillis = sentMillis + RENEWAL_INTERVAL_MILLIS;
    } else if (outcome instanceof Outcome.Conflict conflict) {
      Optional<StoredRow> now = find(conflict.current(), HOLDER);
      Optional<StoredRow> renewal = find(conflict.current(), RENEWAL);
      boolean isStillHeld = now.map(row -> row.version() == holderVersion).orElse(false);
      if (isStillHeld && renewal.isPresent()) {
        // An earlier renewal of this process was applied though its answer was lost.
        renewalVersion = renewal.get().version();
        nextCallMillis = clock.monotonicMillis();
      } else {
        lose("conflict");
      }
    } else {
      nextCallMillis = clock.monotonicMillis() + RETRY_MILLIS;
      log.log("lease.renewal_failed", "epoch", holder.epoch(), "outcome", outcome);
    }
  }

  /** Another process has a higher token: a worker has said so. */
  void onFenced() {
    if (holding) {
      lose("fenced");
    }
  }

  private void lose(String reason) {
    holding = false;
    feedVersion = -1;
    log.log("lease.lost", "epoch", holder.epoch(), "reason", reason);
    listener.onLost();
  }

  private void extend(long sentMillis, long sentWallMillis) {
    validUntilMillis = sentMillis + LEASE_MILLIS;
    validUntilWallMillis = sentWallMillis + LEASE_MILLIS;
  }

  private void onRows(Either<CallFailure, Rows> answer) {
    callPending = false;
    if (answer.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_MILLIS;
      return;
    }
    long now = clock.monotonicMillis();
    answeredMillis = now;
    feedVersion = answer.get().version();
    if (find(answer.get().rows(), RENEWAL).isEmpty()) {
      renewalVersion = RowStore.ABSENT;
      holderVersion = RowStore.ABSENT;
      holder = Holder.NOBODY;
    }
    answer.get().rows().forEach(row -> take(row, now));
  }

  private void onChanges(Either<CallFailure, Rows> answer) {
    callPending = false;
    if (answer.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_MILLIS;
      // The history may be gone; the rows themselves always tell the present.
      feedVersion = -1;
      return;
    }
    long now = clock.monotonicMillis();
    answeredMillis = now;
    feedVersion = answer.get().version();
    answer.get().rows().forEach(row -> take(row, now));
  }

  private void take(StoredRow row, long nowMillis) {
    if (row.key().key().equals(HOLDER.key())) {
      holder = Holder.decode(row.value());
      holderVersion = row.version();
    } else if (row.key().key().equals(RENEWAL.key()) && row.version() != renewalVersion) {
      renewalVersion = row.version();
      renewalSeenMillis = nowMillis;
      released = row.value().equals(RELEASED);
    }
  }

  private Change renewal(String value) {
    return new Change(
        ImmutableList.of(guard(), new Expectation(RENEWAL, renewalVersion)),
        ImmutableList.of(new Put(RENEWAL, value)),
        ImmutableList.of());
  }

  private String renewalValue() {
    renewals++;
    return process + " " + renewals;
  }

  private static Optional<StoredRow> find(ImmutableList<StoredRow> rows, RowKey key) {
    return rows.stream().filter(row -> row.key().equals(key) && !row.deleted()).findFirst();
  }
}
