package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;

/**
 * A store behind a link that carries whole responses one after the other. A response that begins to
 * arrive too late is given up by its reader, and the link carries it all the same, as it does with
 * bytes that are on their way.
 */
final class QueuedLinkStore implements RowStore {
  /** Time without a byte after which a reader gives a read up, in ms. */
  static final long SILENCE_MILLIS = 900;

  private record Event(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::atMillis).thenComparing(Event::order));
  private final int pagesPerPartition;
  private final long pageMillis;
  private int requests;
  private long nowMillis;
  private long linkFreeMillis;
  private long order;

  /** How many further reads fail although the link is free. */
  private int failures;

  private QueuedLinkStore(int pagesPerPartition, long pageMillis) {
    this.pagesPerPartition = pagesPerPartition;
    this.pageMillis = pageMillis;
  }

  static QueuedLinkStore create(int pagesPerPartition, long pageMillis) {
    return new QueuedLinkStore(pagesPerPartition, pageMillis);
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Returns how many reads of rows have been made. */
  int requests() {
    return requests;
  }

  /** Lets the next reads fail although the link is free. */
  void failNextReads(int count) {
    failures = count;
  }

  void runAt(long atMillis, Runnable action) {
    events.add(new Event(atMillis, order++, action));
  }

  void runUntilIdle() {
    runUntil(Long.MAX_VALUE);
  }

  /** Runs all events up to a time. */
  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }

  @Override
  public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
    requests++;
    if (failures > 0) {
      failures--;
      runAt(nowMillis + 1, () -> callback.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
      return;
    }
    long beginMillis = Math.max(nowMillis, linkFreeMillis);
    if (beginMillis - nowMillis >= SILENCE_MILLIS) {
      // Cancelled before the store has sent any of it.
      runAt(
          nowMillis + SILENCE_MILLIS,
          () -> callback.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
      return;
    }
    linkFreeMillis = beginMillis + pageMillis;
    int page = range.from().isEmpty() ? 0 : Integer.parseInt(range.from().trim()) + 1;
    StoredRow row =
        new StoredRow(
            new RowKey(range.table(), range.partition(), String.valueOf(page)), "", 5, false);
    Rows rows = new Rows(ImmutableList.of(row), page + 1 < pagesPerPartition, 100 + requests);
    runAt(linkFreeMillis, () -> callback.accept(Either.right(rows)));
  }

  @Override
  public void commit(Transaction transaction, Consumer<Outcome> callback) {
    throw new UnsupportedOperationException();
  }

  /** Never responds: nothing changes. */
  @Override
  public void readChanges(
      String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {}
}
