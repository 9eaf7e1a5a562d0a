package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Writes that take effect together, or not at all, if every check holds. */
public record Transaction(ImmutableList<Check> checks, ImmutableList<Write> writes) {
  /** Requires that {@code key} has {@code version}, or is absent for {@link Row#ABSENT}. */
  public record Check(String key, long version) {}

  /** Sets the value of {@code key}; an empty value deletes the row. */
  public record Write(String key, Optional<String> value) {}

  private static final Transaction EMPTY = new Transaction(ImmutableList.of(), ImmutableList.of());

  /** A transaction that checks and writes nothing. */
  public static Transaction empty() {
    return EMPTY;
  }

  /** This transaction with one more check. */
  public Transaction check(String key, long version) {
    return new Transaction(append(checks, new Check(key, version)), writes);
  }

  /** This transaction with one more write. */
  public Transaction put(String key, String value) {
    return new Transaction(checks, append(writes, new Write(key, Optional.of(value))));
  }

  /** This transaction with one more deletion. */
  public Transaction delete(String key) {
    return new Transaction(checks, append(writes, new Write(key, Optional.empty())));
  }

  /** A compare-and-set of one row. */
  public static Transaction compareAndSet(String key, long version, String value) {
    return EMPTY.check(key, version).put(key, value);
  }

  private static <T> ImmutableList<T> append(ImmutableList<T> list, T element) {
    return ImmutableList.<T>builder().addAll(list).add(element).build();
  }
}
