package org.sassafraslink.entry.process;

/**
 * How far the response to a read has arrived.
 *
 * @param sentMillis when the read was sent, monotonic ms
 * @param firstByteMillis when the response began to arrive, monotonic ms; {@link #NONE} before
 * @param lastByteMillis when the newest bytes arrived, monotonic ms; {@link #NONE} before
 * @param receivedBytes how many bytes of the body have arrived
 * @param expectedBytes the size of the whole body; {@link #NONE} while it is unknown
 */
record ReadProgress(
    long sentMillis,
    long firstByteMillis,
    long lastByteMillis,
    long receivedBytes,
    long expectedBytes) {
  /** Stands for a time or a size that is not known. */
  static final long NONE = -1;

  /** Size of the largest response without rows, in bytes: the names of its fields, and numbers. */
  private static final long MAX_BYTES_WITHOUT_ROWS = 256;

  /** Returns the progress of a read that is sent now. */
  static ReadProgress begin(long nowMillis) {
    return new ReadProgress(nowMillis, NONE, NONE, 0, NONE);
  }

  /** Returns the progress after bytes have arrived; the arguments count from the first byte on. */
  ReadProgress recordReceived(long totalReceivedBytes, long totalExpectedBytes, long nowMillis) {
    return new ReadProgress(
        sentMillis,
        firstByteMillis == NONE ? nowMillis : firstByteMillis,
        nowMillis,
        totalReceivedBytes,
        Math.max(NONE, totalExpectedBytes));
  }

  /** Returns whether the response contains changed rows. */
  boolean containsChanges() {
    return Math.max(receivedBytes, expectedBytes) > MAX_BYTES_WITHOUT_ROWS;
  }

  /** Returns the time since the newest bytes arrived, in ms; {@link #NONE} if none has. */
  long millisSinceLastByte(long nowMillis) {
    return lastByteMillis == NONE ? NONE : nowMillis - lastByteMillis;
  }

  /**
   * Returns a time at which the rows in the response were the newest in the store, monotonic ms.
   *
   * @param answeredMillis when the response was complete
   */
  long asOfMillis(long answeredMillis) {
    return firstByteMillis == NONE ? answeredMillis : firstByteMillis;
  }

  /** Returns how long the response took from its first to its last byte so far, in ms. */
  long transferMillis() {
    return firstByteMillis == NONE ? 0 : lastByteMillis - firstByteMillis;
  }
}
