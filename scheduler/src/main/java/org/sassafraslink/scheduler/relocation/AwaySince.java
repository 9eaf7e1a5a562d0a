package org.sassafraslink.scheduler.relocation;

/**
 * From when a long-running task counts as away.
 *
 * @param millis the time, monotonic ms
 */
public record AwaySince(long millis, Source source) {
  /** What is known of the end of the last run at that time. */
  public enum Source {
    /** The worker was last heard then and is silent or has ended since: the run ended later. */
    HEARD,
    /**
     * This process has acquired the scheduling lease then and has never heard the worker: the run
     * may have ended earlier.
     */
    TAKEOVER,
    /** The attempt was released then, while its worker answered. */
    RELEASE
  }

  /**
   * Returns from when the task of a worker counts as away that is silent or has ended.
   *
   * @param heardMillis when this process last heard the worker, monotonic ms; 0 if it never did
   * @param takeoverMillis when this process acquired the scheduling lease, monotonic ms
   */
  public static AwaySince ofSilentWorker(long heardMillis, long takeoverMillis) {
    return heardMillis > 0
        ? new AwaySince(heardMillis, Source.HEARD)
        : new AwaySince(takeoverMillis, Source.TAKEOVER);
  }

  /** Returns from when a task counts as away that was released while its worker answered. */
  public static AwaySince ofRelease(long nowMillis) {
    return new AwaySince(nowMillis, Source.RELEASE);
  }
}
