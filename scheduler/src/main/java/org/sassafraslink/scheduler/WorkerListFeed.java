package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
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

  private boolean readPending;

  /** When the pending read was sent, monotonic ms. */
  private long readSentMillis;

  /** Version of the store up to which the list has been read; -1 before the first read. */
  private long readVersion = -1;

  private long nextReadMillis;

  /** Incremented by each reset and each replaced poll; responses from before it are ignored. */
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
    readPending = false;
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
    boolean isSilent = readPending && nowMillis - readSentMillis >= MAX_SILENCE_MILLIS;
    if (isSilent && isChangeOverdue && isLoaded()) {
      // The response to the long poll is ignored.
      generation++;
      readWholeList(nowMillis);
    } else if (!readPending && nowMillis >= nextReadMillis) {
      if (isLoaded()) {
        readChanges(nowMillis);
      } else {
        readWholeList(nowMillis);
      }
    }
  }

  private void readChanges(long nowMillis) {
    readPending = true;
    readSentMillis = nowMillis;
    long sentGeneration = generation;
    store.readChanges(
        table,
        readVersion,
        LONG_POLL_MILLIS,
        response -> {
          if (generation == sentGeneration) {
            readPending = false;
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
      readWholeList(now);
    }
  }

  private void readWholeList(long nowMillis) {
    readPending = true;
    readSentMillis = nowMillis;
    readPage("", new ArrayList<>(), Long.MAX_VALUE, generation);
  }

  /**
   * Reads the rows from {@code fromKey} on.
   *
   * @param lowestVersion the lowest version of the pages before, from which on changes are read
   *     later: a row of an earlier page may change before a later page is read
   */
  private void readPage(
      String fromKey, List<StoredRow> rowsSoFar, long lowestVersion, long sentGeneration) {
    store.read(
        new Range(table, "", fromKey, ""),
        response -> {
          if (generation != sentGeneration) {
            return;
          }
          if (response.isLeft()) {
            readPending = false;
            nextReadMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
            return;
          }
          Rows page = response.get();
          rowsSoFar.addAll(page.rows());
          long version = Math.min(lowestVersion, page.version());
          if (page.hasMore() && !page.rows().isEmpty()) {
            StoredRow last = rowsSoFar.get(rowsSoFar.size() - 1);
            readPage(last.key().key() + '\0', rowsSoFar, version, sentGeneration);
            return;
          }
          readPending = false;
          readVersion = version;
          nextReadMillis = clock.monotonicMillis() + MIN_POLL_INTERVAL_MILLIS;
          listener.onWholeList(ImmutableList.copyOf(rowsSoFar));
        });
  }
}
