package org.sassafraslink.entry.request;

import java.util.stream.IntStream;

/** Decides which submissions may share a transaction, by the lengths of their rows. */
final class BatchLimit {
  /**
   * Length of the rows in a transaction from which on none is added, so that they stay below the
   * platform's bound of 1 MB on a transaction once they are encoded.
   */
  private static final int FULL_BATCH_LENGTH = 150_000;

  /**
   * Length of a row above which it has a transaction of its own, so that the store does not reject
   * other submissions if the row is too large for it.
   */
  private static final int MAX_SHARED_ROW_LENGTH = 20_000;

  private BatchLimit() {}

  /** Returns whether a row may join a transaction with rows of the given lengths. */
  static boolean admits(int[] rowLengths, int rowLength) {
    return rowLengths.length == 0
        || (rowLength <= MAX_SHARED_ROW_LENGTH
            && rowLengths[0] <= MAX_SHARED_ROW_LENGTH
            && IntStream.of(rowLengths).sum() < FULL_BATCH_LENGTH);
  }
}
