package org.sassafraslink.entry.request;

/**
 * Decides after which time callers should repeat a request that was rejected because the store does
 * not respond.
 *
 * <p>An outage that has lasted for some time will probably last for about as long again. Callers
 * repeat a request only a few times, so that with a constant short delay all their attempts would
 * fall into an outage of some seconds.
 */
final class RetryDelay {
  private static final int MIN_SECONDS = 1;

  /** A caller waits no longer than this after the end of an outage. */
  private static final int MAX_SECONDS = 5;

  private static final int MILLIS_PER_SECOND = 1_000;

  private RetryDelay() {}

  /** Returns the delay in seconds, given for how long the store has not responded to anyone. */
  static int seconds(long outageMillis) {
    long outageSeconds = (outageMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    return (int) Math.max(MIN_SECONDS, Math.min(MAX_SECONDS, outageSeconds));
  }
}
