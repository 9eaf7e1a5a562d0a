package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * Client of the platform's transactional row store. Calls do not block.
 *
 * <p>Each call invokes its callback {@code done} exactly once, on the thread that communicates with
 * the platform. Row versions are taken from one counter, which every transaction increments.
 */
public interface RowStore {
  /** The version in an {@link Expectation} that requires the row to be absent. */
  long ABSENT = 0;

  /** The time in a response that did not name the time of the store's clock. */
  long UNKNOWN_TIME = -1;

  /**
   * The identity of a row.
   *
   * @param partition the partition to which the row belongs; one transaction may span only rows of
   *     one partition, in any tables
   */
  record RowKey(String table, String partition, String key) {}

  /**
   * A row that was read.
   *
   * @param value the value of the row; empty if the row was deleted
   * @param deleted whether the row was deleted, which only occurs in {@link #readChanges}
   */
  record StoredRow(RowKey key, String value, long version, boolean deleted) {}

  /** A condition that a row has {@code version} when the transaction is applied. */
  record Expectation(RowKey key, long version) {}

  /** A write of a row. */
  record Put(RowKey key, String value) {}

  /** Writes and deletions that take effect together, and only if all expectations hold. */
  record Transaction(
      ImmutableList<Expectation> expectations,
      ImmutableList<Put> puts,
      ImmutableList<RowKey> deletes) {
    /** Returns the number of entries, which the platform limits for each transaction. */
    public int entryCount() {
      return expectations.size() + puts.size() + deletes.size();
    }
  }

  /** The outcome of a {@link Transaction}. */
  sealed interface Outcome {
    /**
     * The transaction took effect; all rows that it wrote have {@code version}.
     *
     * @param storeMillis the time of the store's clock in the response, in ms, or {@link
     *     #UNKNOWN_TIME}
     */
    record Committed(long version, long storeMillis) implements Outcome {
      /** Creates an outcome without the time of the store's clock. */
      public Committed(long version) {
        this(version, UNKNOWN_TIME);
      }
    }

    /**
     * An expectation did not hold, so nothing was written.
     *
     * @param current the current state of those rows in the expectations that exist
     */
    record Conflict(ImmutableList<StoredRow> current) implements Outcome {}

    /** There was no usable answer; {@code failure} says whether the transaction may take effect. */
    record Failed(CallFailure failure) implements Outcome {}
  }

  /**
   * The rows of a partition of a table with keys from {@code from} up to, excluding, {@code to}.
   */
  record Range(String table, String partition, String from, String to) {}

  /**
   * A consistent snapshot of rows.
   *
   * @param hasMore whether there are more rows to read
   * @param version the newest version in the whole store at the time of the snapshot
   * @param storeMillis the time of the store's clock in the response, in ms, or {@link
   *     #UNKNOWN_TIME}; the clock never jumps
   */
  record Rows(ImmutableList<StoredRow> rows, boolean hasMore, long version, long storeMillis) {
    /** Creates a snapshot without the time of the store's clock. */
    public Rows(ImmutableList<StoredRow> rows, boolean hasMore, long version) {
      this(rows, hasMore, version, UNKNOWN_TIME);
    }
  }

  /** Commits a transaction. */
  void commit(Transaction transaction, Consumer<Outcome> callback);

  /** Reads the first rows of {@code range}, as many as the platform returns at once. */
  void read(Range range, Consumer<Either<CallFailure, Rows>> callback);

  /**
   * Reads the changes in a table since {@code version} with a long poll: if there are none yet, the
   * platform waits for the first one for up to {@code waitMillis}. Fails with {@link
   * CallFailure#HISTORY_DISCARDED} if {@code version} is too old.
   */
  void readChanges(
      String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback);

  /** As {@link #read(Range, Consumer)}; {@code observer} may be told how the response arrives. */
  default void read(
      Range range, TransferObserver observer, Consumer<Either<CallFailure, Rows>> callback) {
    read(range, callback);
  }

  /**
   * As {@link #readChanges(String, long, int, Consumer)}; {@code observer} may be told how the
   * response arrives.
   */
  default void readChanges(
      String table,
      long version,
      int waitMillis,
      TransferObserver observer,
      Consumer<Either<CallFailure, Rows>> callback) {
    readChanges(table, version, waitMillis, callback);
  }
}
