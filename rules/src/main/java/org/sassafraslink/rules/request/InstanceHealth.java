package org.sassafraslink.rules.request;

/**
 * Decides whether an instance may be sent work after failures.
 *
 * <p>After some failures in a row the instance is left alone for a time that doubles with each
 * further failure. Then one probe at a time goes there; its success ends the quarantine.
 */
public record InstanceHealth(int failuresInRow, long retryAtMillis, boolean probing) {
  /** Failures in a row that start a quarantine. */
  public static final int FAILURES_TO_QUARANTINE = 3;

  /** The first quarantine, in ms. */
  public static final long FIRST_QUARANTINE_MILLIS = 500;

  /** The longest quarantine, in ms. */
  public static final long MAX_QUARANTINE_MILLIS = 30_000;

  private static final InstanceHealth HEALTHY = new InstanceHealth(0, 0, false);

  /** An instance about which nothing bad is known. */
  public static InstanceHealth healthy() {
    return HEALTHY;
  }

  /** Whether work may be sent at {@code nowMillis}. */
  public boolean maySend(long nowMillis) {
    return failuresInRow < FAILURES_TO_QUARANTINE || (nowMillis >= retryAtMillis && !probing);
  }

  /** The state once a request is sent. */
  public InstanceHealth onSend() {
    return failuresInRow < FAILURES_TO_QUARANTINE
        ? this
        : new InstanceHealth(failuresInRow, retryAtMillis, true);
  }

  /** The state after a whole answer. */
  public InstanceHealth onSuccess() {
    return HEALTHY;
  }

  /** The state after a failed exchange. */
  public InstanceHealth onFailure(long nowMillis) {
    boolean isInQuarantine =
        failuresInRow >= FAILURES_TO_QUARANTINE && nowMillis < retryAtMillis && !probing;
    if (isInQuarantine) {
      // Requests that were in flight when the instance failed fail together, and count once.
      return this;
    }
    int failures = failuresInRow + 1;
    int doublings = Math.max(0, Math.min(16, failures - FAILURES_TO_QUARANTINE));
    long quarantine = Math.min(MAX_QUARANTINE_MILLIS, FIRST_QUARANTINE_MILLIS << doublings);
    return new InstanceHealth(failures, nowMillis + quarantine, false);
  }
}
