package org.sassafraslink.entry.job;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TransferObserver;

/** An in-memory row store that can be silent, lose responses, and apply transactions late. */
final class LateRowStore implements RowStore {
  /** How the store responds to calls. */
  enum Behavior {
    NORMAL,
    /** Applies transactions, but their responses are lost; answers reads. */
    LOSES_RESPONSES,
    /** Answers no call; {@link #applyLate} applies the transactions received meanwhile. */
    SILENT,
    /** Rejects calls without performing them. */
    REJECTS_CALLS
  }

  private final Map<String, StoredRow> rows = new TreeMap<>();
  private final List<Transaction> lateTransactions = new ArrayList<>();
  private Behavior behavior = Behavior.NORMAL;
  private Behavior behaviorAfterLostResponse = Behavior.LOSES_RESPONSES;
  private Runnable beforeNextCommit = () -> {};
  private Runnable beforeCall = () -> {};
  private int callsUntilAction;
  private boolean nextCommitIsLate;
  private long lastVersion = 10;
  private int commits;

  void setBehavior(Behavior newBehavior) {
    behavior = newBehavior;
    behaviorAfterLostResponse = Behavior.LOSES_RESPONSES;
  }

  /** Sets how the store responds after the next transaction, whose response is lost. */
  void loseNextResponseThen(Behavior behaviorAfterwards) {
    behavior = Behavior.LOSES_RESPONSES;
    behaviorAfterLostResponse = behaviorAfterwards;
  }

  /** Sets what happens before the next transaction is applied. */
  void setBeforeNextCommit(Runnable action) {
    beforeNextCommit = action;
  }

  /** Discards the transactions that were received while the store was silent. */
  void loseLate() {
    lateTransactions.clear();
  }

  /** Applies the transactions that were received while the store was silent, if they still can. */
  void applyLate() {
    lateTransactions.forEach(this::apply);
    lateTransactions.clear();
  }

  void put(RowKey key, String value) {
    lastVersion++;
    putAtLastVersion(key, value);
  }

  private void putAtLastVersion(RowKey key, String value) {
    rows.put(storageKey(key), new StoredRow(key, value, lastVersion, false));
  }

  boolean has(RowKey key) {
    return rows.containsKey(storageKey(key));
  }

  /** Returns the version of a row, which must be stored. */
  long versionOf(RowKey key) {
    return rows.get(storageKey(key)).version();
  }

  /** Returns the value of a row; empty if it is not stored. */
  Optional<String> valueOf(RowKey key) {
    return Optional.ofNullable(rows.get(storageKey(key))).map(StoredRow::value);
  }

  void delete(RowKey key) {
    lastVersion++;
    rows.remove(storageKey(key));
  }

  /** Sets what happens before the n-th read or transaction from now on. */
  void setBeforeCall(int n, Runnable action) {
    callsUntilAction = n;
    beforeCall = action;
  }

  /** Answers the next transaction with an unknown outcome; {@link #applyLate} applies it. */
  void delayNextCommit() {
    nextCommitIsLate = true;
  }

  private void countCall() {
    callsUntilAction--;
    if (callsUntilAction == 0) {
      beforeCall.run();
    }
  }

  int rowCount() {
    return rows.size();
  }

  int commits() {
    return commits;
  }

  /** Returns the rows of a table with a later version; deleted rows are not shown. */
  Rows changedAfter(String table, long version) {
    return new Rows(
        rows.values().stream()
            .filter(row -> row.key().table().equals(table) && row.version() > version)
            .sorted(Comparator.comparingLong(StoredRow::version))
            .collect(ImmutableList.toImmutableList()),
        /* hasMore= */ false,
        lastVersion);
  }

  private static String storageKey(RowKey key) {
    return key.table() + '\1' + key.partition() + '\1' + key.key();
  }

  /** Applies a transaction at once, whatever the behavior. */
  Outcome apply(Transaction transaction) {
    ImmutableList.Builder<StoredRow> current = ImmutableList.builder();
    boolean isConflict = false;
    for (Expectation expectation : transaction.expectations()) {
      StoredRow row = rows.get(storageKey(expectation.key()));
      isConflict |= expectation.version() != (row == null ? ABSENT : row.version());
      if (row != null) {
        current.add(row);
      }
    }
    if (isConflict) {
      return new Outcome.Conflict(current.build());
    }
    lastVersion++;
    transaction.puts().forEach(put -> putAtLastVersion(put.key(), put.value()));
    transaction.deletes().forEach(key -> rows.remove(storageKey(key)));
    return new Outcome.Committed(lastVersion);
  }

  @Override
  public void commit(Transaction transaction, Consumer<Outcome> callback) {
    commits++;
    countCall();
    if (nextCommitIsLate) {
      nextCommitIsLate = false;
      lateTransactions.add(transaction);
      callback.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN));
      return;
    }
    Runnable action = beforeNextCommit;
    beforeNextCommit = () -> {};
    action.run();
    switch (behavior) {
      case NORMAL -> callback.accept(apply(transaction));
      case LOSES_RESPONSES -> {
        var unused = apply(transaction);
        behavior = behaviorAfterLostResponse;
        callback.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN));
      }
      case SILENT -> {
        lateTransactions.add(transaction);
        callback.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN));
      }
      case REJECTS_CALLS -> callback.accept(new Outcome.Failed(CallFailure.NOT_PERFORMED));
    }
  }

  @Override
  public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
    countCall();
    if (behavior == Behavior.SILENT) {
      callback.accept(Either.left(CallFailure.OUTCOME_UNKNOWN));
    } else if (behavior == Behavior.REJECTS_CALLS) {
      callback.accept(Either.left(CallFailure.NOT_PERFORMED));
    } else {
      callback.accept(Either.right(rowsIn(range)));
    }
  }

  Rows rowsIn(Range range) {
    return new Rows(
        rows.values().stream()
            .filter(row -> isInside(row.key(), range))
            .collect(ImmutableList.toImmutableList()),
        /* hasMore= */ false,
        lastVersion);
  }

  private static boolean isInside(RowKey key, Range range) {
    return key.table().equals(range.table())
        && key.partition().equals(range.partition())
        && key.key().compareTo(range.from()) >= 0
        && (range.to().isEmpty() || key.key().compareTo(range.to()) < 0);
  }

  @Override
  public void readChanges(
      String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {}

  @Override
  public void readChanges(
      String table,
      long version,
      int waitMillis,
      TransferObserver observer,
      Consumer<Either<CallFailure, Rows>> callback) {}
}
