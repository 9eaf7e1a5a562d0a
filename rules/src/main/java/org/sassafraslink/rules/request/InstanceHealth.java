package org.sassafraslink.rules.request;

/**
 * Decides whether requests may be sent to an instance after previous requests to it have failed.
 *
 * <p>After {@link #FAILURES_TO_QUARANTINE} consecutive failures the instance is quarantined: no
 * requests are sent to it for some time. Then one request at a time is sent as a probe. A
 * successful probe ends the quarantine; each failed one doubles its duration.
 *
 * @param quarantineEndMillis when the next probe may be sent, if the instance is quarantined
 * @param probeInFlight whether a probe was sent and has not ended
 */
public record InstanceHealth(
    int consecutiveFailures, long quarantineEndMillis, boolean probeInFlight) {
  /** Consecutive failures that start a quarantine. */
  public static final int FAILURES_TO_QUARANTINE = 3;

  /** Duration of the first quarantine, in ms. */
  public static final long FIRST_QUARANTINE_MILLIS = 500;

  /** Maximum duration of a quarantine, in ms. */
  public static final long MAX_QUARANTINE_MILLIS = 30_000;

  private static final InstanceHealth HEALTHY = new InstanceHealth(0, 0, false);

  /** Returns the state of an instance without consecutive failures. */
  public static InstanceHealth healthy() {
    return HEALTHY;
  }

  /** Returns whether a request may be sent at {@code nowMillis}. */
  public boolean maySend(long nowMillis) {
    return consecutiveFailures < FAILURES_TO_QUARANTINE
        || (nowMillis >= quarantineEndMillis && !probeInFlight);
  }

  /**
   * Returns the state after a request was sent, which is a probe if the instance is quarantined.
   */
  public InstanceHealth recordSend() {
    return consecutiveFailures < FAILURES_TO_QUARANTINE
        ? this
        : new InstanceHealth(consecutiveFailures, quarantineEndMillis, true);
  }

  /** Returns the state after a complete answer was received. */
  public InstanceHealth recordSuccess() {
    return HEALTHY;
  }

  /** Returns the state after a request failed at {@code nowMillis}. */
  public InstanceHealth recordFailure(long nowMillis) {
    boolean isInQuarantine =
        consecutiveFailures >= FAILURES_TO_QUARANTINE
            && nowMillis < quarantineEndMillis
            && !probeInFlight;
    if (isInQuarantine) {
      // Requests that were in flight when the quarantine started usually fail too. They must not
      // extend it.
      return this;
    }
    int failures = consecutiveFailures + 1;
    // 16 doublings exceed the maximum duration and do not overflow.
    int doublings = Math.max(0, Math.min(16, failures - FAILURES_TO_QUARANTINE));
    long durationMillis = Math.min(MAX_QUARANTINE_MILLIS, FIRST_QUARANTINE_MILLIS << doublings);
    return new InstanceHealth(failures, nowMillis + durationMillis, false);
  }
}
