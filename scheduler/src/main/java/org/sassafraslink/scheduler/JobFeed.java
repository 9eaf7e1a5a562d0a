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

/** Reads all rows of jobs, then follows what is submitted and cancelled. */
final class JobFeed {
  /** How long a request waits at the store for a change, in ms. */
  private static final int WAIT_MILLIS = 1_000;

  /** Pause after a failed call, in ms. */
  private static final long RETRY_MILLIS = 100;

  /** Hears of rows; called on the scheduler's thread. */
  interface Listener {
    /** All rows as of one moment a page; the first of them since {@link #reset}. */
    void onLoaded(ImmutableList<StoredRow> rows);

    /** Rows that have changed or, after lost history, all rows. */
    void onChanged(ImmutableList<StoredRow> rows);
  }

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final Listener listener;
  private boolean pending;
  private boolean loaded;
  private long version = -1;
  private long nextMillis;
  private long term;

  JobFeed(RowStore store, FleetClock clock, EventLog log, Listener listener) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  /** Begins anew with a read of all rows. */
  void reset() {
    term++;
    pending = false;
    loaded = false;
    version = -1;
    nextMillis = 0;
  }

  boolean isLoaded() {
    return loaded;
  }

  void tick(long nowMillis) {
    if (pending || nowMillis < nextMillis) {
      return;
    }
    pending = true;
    if (version < 0) {
      read("", -1, new ArrayList<>(), term);
    } else {
      long sentTerm = term;
      store.changes(
          JobRows.TABLE,
          version,
          WAIT_MILLIS,
          answer -> {
            if (term == sentTerm) {
              onChanges(answer);
            }
          });
    }
  }

  private void read(String from, long firstVersion, List<StoredRow> before, long sentTerm) {
    store.read(
        new Range(JobRows.TABLE, JobRows.PART, from, ""),
        answer -> {
          if (term != sentTerm) {
            return;
          }
          if (answer.isLeft()) {
            onFailure(answer.getLeft());
            return;
          }
          Rows rows = answer.get();
          before.addAll(rows.rows());
          // Changes during the read are found by the feed, from the version of the first page on.
          long start = firstVersion < 0 ? rows.version() : firstVersion;
          if (rows.hasMore() && !rows.rows().isEmpty()) {
            String last = before.get(before.size() - 1).key().key();
            read(last + '\0', start, before, sentTerm);
            return;
          }
          onRead(ImmutableList.copyOf(before), start);
        });
  }

  private void onRead(ImmutableList<StoredRow> rows, long start) {
    pending = false;
    version = start;
    if (loaded) {
      listener.onChanged(rows);
    } else {
      loaded = true;
      listener.onLoaded(rows);
    }
  }

  private void onChanges(Either<CallFailure, Rows> answer) {
    if (answer.isLeft()) {
      onFailure(answer.getLeft());
      return;
    }
    pending = false;
    version = answer.get().version();
    listener.onChanged(answer.get().rows());
  }

  private void onFailure(CallFailure failure) {
    pending = false;
    nextMillis = clock.monotonicMillis() + RETRY_MILLIS;
    if (failure == CallFailure.HISTORY_DISCARDED) {
      log.log("jobs.history_discarded", "after", version);
      version = -1;
    }
  }
}
