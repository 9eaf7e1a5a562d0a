package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Writes that take effect atomically, and only if every check holds. */
public record Transaction(ImmutableList<Check> checks, ImmutableList<Write> writes) {
  /**
   * A condition on one row.
   *
   * @param version the version that the row must have; {@link Row#ABSENT} if it must be absent
   */
  public record Check(String key, long version) {}

  /**
   * A write of one row.
   *
   * @param value the new value; empty to delete the row
   */
  public record Write(String key, Optional<String> value) {}

  private static final Transaction EMPTY = new Transaction(ImmutableList.of(), ImmutableList.of());

  /** Returns a transaction without checks and writes. */
  public static Transaction empty() {
    return EMPTY;
  }

  /** Returns this transaction with a check that the row has {@code version}. */
  public Transaction check(String key, long version) {
    return new Transaction(append(checks, new Check(key, version)), writes);
  }

  /** Returns this transaction with a write of {@code value} to the row. */
  public Transaction put(String key, String value) {
    return new Transaction(checks, append(writes, new Write(key, Optional.of(value))));
  }

  /** Returns this transaction with a deletion of the row. */
  public Transaction delete(String key) {
    return new Transaction(checks, append(writes, new Write(key, Optional.empty())));
  }

  /** Returns a transaction that writes one row if it still has {@code version}. */
  public static Transaction compareAndSet(String key, long version, String value) {
    return EMPTY.check(key, version).put(key, value);
  }

  private static <T> ImmutableList<T> append(ImmutableList<T> list, T element) {
    return ImmutableList.<T>builder().addAll(list).add(element).build();
  }
}
