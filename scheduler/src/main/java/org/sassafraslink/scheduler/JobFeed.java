package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.TransferObserver;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.cancellation.ClockTimes;

/**
 * Reads all rows of jobs, then long-polls the store for changed ones, such as new submissions and
 * cancellations.
 *
 * <p>Polling starts at the lowest version of the full read, so that it also finds the changes made
 * during it.
 */
final class JobFeed {
  /** How long a long poll waits at the store for a change, in ms. */
  private static final int LONG_POLL_MILLIS = 1_000;

  /**
   * How long long polls may fail or be silent until all rows are read instead, in ms: the wait of
   * one and the slowest response that is awaited.
   */
  private static final long MAX_SILENCE_MILLIS = 2_000;

  /** Delay before a failed call is repeated, in ms. */
  private static final long RETRY_DELAY_MILLIS = 100;

  /** Receives the rows that were read; called on the scheduler's thread. */
  interface Listener {
    /**
     * Receives all rows from the first full read after a {@link JobFeed#reset}. The pages of the
     * read may show different versions of the store, so rows of one job may not match.
     */
    void onLoaded(ImmutableList<StoredRow> rows);

    /** Receives the rows that changed, or all rows if the store has discarded older changes. */
    void onChanged(ImmutableList<StoredRow> rows);
  }

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final Listener listener;
  private boolean pollPending;
  private boolean loaded;

  /** The full read under way. */
  private Optional<TableRead> fullRead = Optional.empty();

  /** The version up to which all changes have been read; -1 if a full read is needed. */
  private long readVersion = -1;

  /** All rows that were stored at this moment have been read. */
  private ClockTimes readAt = ClockTimes.NEVER;

  private ClockTimes fullReadStart = ClockTimes.NEVER;

  /** When the first long poll since the last answer was sent, monotonic ms; empty if none was. */
  private OptionalLong unansweredSinceMillis = OptionalLong.empty();

  /** When bytes of a response to a long poll last arrived, monotonic ms; set on any thread. */
  private volatile long lastBytesMillis = ClockTimes.NEVER.monotonicMillis();

  private long nextCallMillis;

  /** Incremented by each reset; responses to earlier long polls are ignored. */
  private long generation;

  JobFeed(RowStore store, FleetClock clock, EventLog log, Listener listener) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
  }

  /** Discards the state of the feed; the next call is a full read of all rows. */
  void reset() {
    generation++;
    pollPending = false;
    fullRead.ifPresent(TableRead::abandon);
    fullRead = Optional.empty();
    loaded = false;
    readVersion = -1;
    readAt = ClockTimes.NEVER;
    unansweredSinceMillis = OptionalLong.empty();
    nextCallMillis = 0;
  }

  boolean isLoaded() {
    return loaded;
  }

  /** Returns a moment such that all rows that were stored then were passed to the listener. */
  ClockTimes readAt() {
    return readAt;
  }

  /** Starts or continues a full read, or sends the next long poll, unless a call is pending. */
  void readIfDue(long nowMillis) {
    if (arePollsSilent(nowMillis)) {
      abandonPolls(nowMillis);
    }
    if (pollPending || nowMillis < nextCallMillis) {
      return;
    }
    if (readVersion >= 0) {
      poll(nowMillis);
    } else {
      if (fullRead.isEmpty()) {
        fullReadStart = ClockTimes.read(clock);
        fullRead =
            Optional.of(
                TableRead.create(
                    store,
                    JobRows.TABLE,
                    JobRows.partitions(),
                    TransferObserver.NONE,
                    new FullReadListener()));
      }
      fullRead.get().sendDuePages();
    }
  }

  /** Returns whether long polls have failed or been silent for long, and no response arrives. */
  private boolean arePollsSilent(long nowMillis) {
    return unansweredSinceMillis.isPresent()
        && nowMillis - unansweredSinceMillis.getAsLong() > MAX_SILENCE_MILLIS
        && nowMillis - lastBytesMillis > MAX_SILENCE_MILLIS;
  }

  /** Replaces the long polls by a full read. */
  private void abandonPolls(long nowMillis) {
    log.log("jobs.feed_silent", "after", readVersion, "age", nowMillis - readAt.monotonicMillis());
    generation++;
    pollPending = false;
    requireFullRead();
    nextCallMillis = nowMillis;
  }

  private void requireFullRead() {
    readVersion = -1;
    unansweredSinceMillis = OptionalLong.empty();
  }

  private void poll(long nowMillis) {
    pollPending = true;
    if (unansweredSinceMillis.isEmpty()) {
      unansweredSinceMillis = OptionalLong.of(nowMillis);
    }
    long sentGeneration = generation;
    ClockTimes sent = ClockTimes.read(clock);
    store.readChanges(
        JobRows.TABLE,
        readVersion,
        LONG_POLL_MILLIS,
        (receivedBytes, expectedBytes) -> lastBytesMillis = clock.monotonicMillis(),
        result -> {
          if (generation == sentGeneration) {
            pollPending = false;
            applyChanges(result, sent);
          }
        });
  }

  private final class FullReadListener implements TableRead.Listener {
    @Override
    public void onPageFailed(CallFailure failure) {
      nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
    }

    @Override
    public void onComplete(ImmutableList<StoredRow> rows, long version) {
      fullRead = Optional.empty();
      readVersion = version;
      readAt = fullReadStart;
      if (loaded) {
        listener.onChanged(rows);
      } else {
        loaded = true;
        listener.onLoaded(rows);
      }
    }
  }

  private void applyChanges(Either<CallFailure, Rows> result, ClockTimes sent) {
    if (result.isRight()) {
      readVersion = result.get().version();
      if (!result.get().hasMore()) {
        readAt = sent;
      }
      unansweredSinceMillis = OptionalLong.empty();
      listener.onChanged(result.get().rows());
      return;
    }
    nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
    if (result.getLeft() == CallFailure.HISTORY_DISCARDED) {
      log.log("jobs.history_discarded", "after", readVersion);
      requireFullRead();
    }
  }
}
