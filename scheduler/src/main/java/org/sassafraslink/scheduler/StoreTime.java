package org.sassafraslink.scheduler;

/**
 * A reading of the row store's clock, from which a process bounds when that clock passes a time.
 *
 * <p>The store read its clock between the sending of a request and the arrival of the response. Its
 * clock and the clocks of an entry VM may differ in rate by {@link #MAX_RATE_DIFFERENCE}.
 *
 * @param storeMillis the time of the store's clock, in ms
 * @param sentMillis when the request was sent, monotonic ms
 * @param sentWallMillis when the request was sent, Unix ms
 * @param receivedMillis when the response arrived, monotonic ms
 */
record StoreTime(long storeMillis, long sentMillis, long sentWallMillis, long receivedMillis) {
  /** Bound on the relative difference between the rates of two clocks. */
  static final double MAX_RATE_DIFFERENCE = 0.02;

  /**
   * Returns a time that the store's clock has reached by {@code nowMillis}, monotonic ms, but for
   * the difference in rate.
   */
  long reachedAt(long nowMillis) {
    return storeMillis + nowMillis - receivedMillis;
  }

  /**
   * Returns a time that the store's clock has not passed before {@code millis}, monotonic ms.
   *
   * @param nowWallMillis Unix ms; the wall clock also counts the time for which the monotonic clock
   *     has stopped since the reading
   */
  long notPassedBefore(long millis, long nowMillis, long nowWallMillis) {
    long sinceSentMillis = Math.max(nowMillis - sentMillis, nowWallMillis - sentWallMillis);
    double elapsedMillis = (sinceSentMillis + millis - nowMillis) * (1 + MAX_RATE_DIFFERENCE);
    return storeMillis + Math.max(0, (long) Math.ceil(elapsedMillis));
  }

  /** Returns the monotonic time until which the store's clock is certainly before a time. */
  long certainlyBeforeUntilMillis(long untilStoreMillis) {
    return sentMillis + minElapsedMillis(untilStoreMillis);
  }

  /** Returns the wall-clock time until which the store's clock is certainly before a time. */
  long certainlyBeforeUntilWallMillis(long untilStoreMillis) {
    return sentWallMillis + minElapsedMillis(untilStoreMillis);
  }

  /** Returns the monotonic time from which on the store's clock has certainly passed a time. */
  long certainlyPassedFromMillis(long passedStoreMillis) {
    double elapsedMillis = (passedStoreMillis - storeMillis) * (1 + MAX_RATE_DIFFERENCE);
    return receivedMillis + Math.max(0, (long) Math.ceil(elapsedMillis));
  }

  private long minElapsedMillis(long untilStoreMillis) {
    return (long) Math.floor((untilStoreMillis - storeMillis) / (1 + MAX_RATE_DIFFERENCE));
  }
}
