package org.sassafraslink.bench;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;

/** An in-memory row store without failures, whose responses take some simulated ms. */
final class SimulatedStore implements RowStore {
  private static final long COMMIT_MILLIS = 8;
  private static final long READ_MILLIS = 4;

  /** A long poll that waits for a change to a table. */
  private record Waiter(long version, Consumer<Either<CallFailure, Rows>> callback) {}

  private final SimulatedClock clock;
  private final ProcessorMeter callbackMeter;
  private final Map<String, SortedMap<String, StoredRow>> rowsByTable = new HashMap<>();
  private final Map<String, List<StoredRow>> historyByTable = new HashMap<>();
  private final Map<String, Waiter> waiterByTable = new HashMap<>();
  private long version = 1;

  SimulatedStore(SimulatedClock clock, ProcessorMeter callbackMeter) {
    this.clock = clock;
    this.callbackMeter = callbackMeter;
  }

  /** Writes a row without expectations, on behalf of another process. */
  void put(RowKey key, String value) {
    version++;
    apply(new StoredRow(key, value, version, false));
    notifyWaiter(key.table());
  }

  /** Deletes a row without expectations, on behalf of another process. */
  void delete(RowKey key) {
    version++;
    apply(new StoredRow(key, "", version, true));
    notifyWaiter(key.table());
  }

  private SortedMap<String, StoredRow> rowsOf(String table) {
    return rowsByTable.computeIfAbsent(table, name -> new TreeMap<>());
  }

  private List<StoredRow> historyOf(String table) {
    return historyByTable.computeIfAbsent(table, name -> new ArrayList<>());
  }

  private static String sortKey(RowKey key) {
    return key.partition() + '\0' + key.key();
  }

  private void apply(StoredRow row) {
    if (row.deleted()) {
      rowsOf(row.key().table()).remove(sortKey(row.key()));
    } else {
      rowsOf(row.key().table()).put(sortKey(row.key()), row);
    }
    historyOf(row.key().table()).add(row);
  }

  private ImmutableList<StoredRow> changesSince(String table, long sinceVersion) {
    List<StoredRow> history = historyOf(table);
    int first = history.size();
    while (first > 0 && history.get(first - 1).version() > sinceVersion) {
      first--;
    }
    return ImmutableList.copyOf(history.subList(first, history.size()));
  }

  private void notifyWaiter(String table) {
    Waiter waiter = waiterByTable.remove(table);
    if (waiter != null) {
      clock.runAfter(READ_MILLIS, () -> respond(table, waiter));
    }
  }

  private void respond(String table, Waiter waiter) {
    Rows rows = new Rows(changesSince(table, waiter.version()), false, version);
    callbackMeter.run(() -> waiter.callback().accept(Either.right(rows)));
  }

  private Outcome commitAtomically(Transaction transaction) {
    for (Expectation expectation : transaction.expectations()) {
      StoredRow row = rowsOf(expectation.key().table()).get(sortKey(expectation.key()));
      if ((row == null ? ABSENT : row.version()) != expectation.version()) {
        throw new IllegalStateException("no transaction of a single scheduler conflicts");
      }
    }
    version++;
    transaction.puts().forEach(put -> apply(new StoredRow(put.key(), put.value(), version, false)));
    transaction.deletes().forEach(key -> apply(new StoredRow(key, "", version, true)));
    transaction.puts().forEach(put -> notifyWaiter(put.key().table()));
    return new Outcome.Committed(version);
  }

  @Override
  public void commit(Transaction transaction, Consumer<Outcome> callback) {
    clock.runAfter(
        COMMIT_MILLIS,
        () -> {
          Outcome outcome = commitAtomically(transaction);
          callbackMeter.run(() -> callback.accept(outcome));
        });
  }

  @Override
  public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
    clock.runAfter(
        READ_MILLIS,
        () -> {
          ImmutableList<StoredRow> found =
              rowsOf(range.table()).values().stream()
                  .filter(row -> row.key().partition().equals(range.partition()))
                  .filter(row -> row.key().key().compareTo(range.from()) >= 0)
                  .filter(row -> range.to().isEmpty() || row.key().key().compareTo(range.to()) < 0)
                  .collect(ImmutableList.toImmutableList());
          Rows rows = new Rows(found, false, version);
          callbackMeter.run(() -> callback.accept(Either.right(rows)));
        });
  }

  @Override
  public void readChanges(
      String table,
      long sinceVersion,
      int waitMillis,
      Consumer<Either<CallFailure, Rows>> callback) {
    Waiter waiter = new Waiter(sinceVersion, callback);
    if (waitMillis == 0 || !changesSince(table, sinceVersion).isEmpty()) {
      clock.runAfter(READ_MILLIS, () -> respond(table, waiter));
      return;
    }
    waiterByTable.put(table, waiter);
    clock.runAfter(
        waitMillis,
        () -> {
          if (waiterByTable.remove(table, waiter)) {
            respond(table, waiter);
          }
        });
  }
}
