package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.TransferObserver;
import org.sassafraslink.api.log.EventLog;

/** Reads the platform's list of workers, then long-polls the store for its changes. */
final class WorkerListFeed {
  /** How long a long poll waits at the store for a change of the list, in ms. */
  private static final int LONG_POLL_MILLIS = 1_000;

  /** Shortest time between two reads of the list, in ms, so that simultaneous changes share one. */
  private static final long MIN_POLL_INTERVAL_MILLIS = 50;

  /** How long a long poll may stay silent while a change is overdue, in ms. */
  private static final long MAX_SILENCE_MILLIS = 300;

  /** Delay before a failed read is repeated, in ms. */
  private static final long RETRY_DELAY_MILLIS = 200;

  /** Receives the rows that were read; called on the scheduler's thread. */
  interface Listener {
    /** Receives all rows of the list. */
    void onWholeList(ImmutableList<StoredRow> rows);

    /** Receives the rows that changed, deleted ones included. */
    void onChanges(ImmutableList<StoredRow> rows);
  }

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final String table;
  private final Listener listener;

  private boolean pollPending;

  /** When the pending long poll was sent, monotonic ms. */
  private long pollSentMillis;

  /** The read of the whole list that is under way. */
  private Optional<TableRead> wholeListRead = Optional.empty();

  /** Version of the store up to which the list has been read; -1 before the first read. */
  private long readVersion = -1;

  private long nextReadMillis;

  /** Incremented by each reset and each replaced poll; responses to earlier polls are ignored. */
  private long generation;

  WorkerListFeed(RowStore store, FleetClock clock, EventLog log, String table, Listener listener) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.table = table;
    this.listener = listener;
  }

  /** Discards the state of the feed; the next call is a read of the whole list. */
  void reset() {
    generation++;
    pollPending = false;
    wholeListRead.ifPresent(TableRead::abandon);
    wholeListRead = Optional.empty();
    readVersion = -1;
    nextReadMillis = 0;
  }

  /** Returns whether the list has been read at least once. */
  boolean isLoaded() {
    return readVersion >= 0;
  }

  /**
   * Reads the whole list, or waits for the changes since the last read, if a read is due.
   *
   * @param isChangeOverdue whether the list should have changed; a long poll that stays silent is
   *     then replaced by a read of the whole list
   */
  void pollIfDue(long nowMillis, boolean isChangeOverdue) {
    boolean isSilent = pollPending && nowMillis - pollSentMillis >= MAX_SILENCE_MILLIS;
    if (isSilent && isChangeOverdue) {
      // The response to the long poll is ignored.
      generation++;
      pollPending = false;
      readWholeList();
    } else if (!pollPending && nowMillis >= nextReadMillis) {
      if (isLoaded() && wholeListRead.isEmpty()) {
        readChanges(nowMillis);
      } else {
        readWholeList();
      }
    }
  }

  private void readChanges(long nowMillis) {
    pollPending = true;
    pollSentMillis = nowMillis;
    long sentGeneration = generation;
    store.readChanges(
        table,
        readVersion,
        LONG_POLL_MILLIS,
        response -> {
          if (generation == sentGeneration) {
            pollPending = false;
            applyChanges(response);
          }
        });
  }

  private void applyChanges(Either<CallFailure, Rows> response) {
    long now = clock.monotonicMillis();
    if (response.isRight()) {
      readVersion = response.get().version();
      nextReadMillis = now + MIN_POLL_INTERVAL_MILLIS;
      listener.onChanges(response.get().rows());
      return;
    }
    nextReadMillis = now + RETRY_DELAY_MILLIS;
    if (response.getLeft() == CallFailure.HISTORY_DISCARDED) {
      log.log("workers.history_discarded", "after", readVersion);
      readWholeList();
    }
  }

  /** Starts a read of the whole list, or continues the one that is under way. */
  private void readWholeList() {
    if (wholeListRead.isEmpty()) {
      wholeListRead =
          Optional.of(
              TableRead.create(
                  store,
                  table,
                  ImmutableList.of(""),
                  TransferObserver.NONE,
                  new WholeListListener()));
    }
    wholeListRead.get().sendDuePages();
  }

  private final class WholeListListener implements TableRead.Listener {
    @Override
    public void onPageFailed(CallFailure failure) {
      nextReadMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
    }

    @Override
    public void onComplete(ImmutableList<StoredRow> rows, long version) {
      wholeListRead = Optional.empty();
      readVersion = version;
      nextReadMillis = clock.monotonicMillis() + MIN_POLL_INTERVAL_MILLIS;
      listener.onWholeList(rows);
    }
  }
}
