package org.sassafraslink.daemon.process;

import java.util.random.RandomGenerator;

/**
 * Computes how long to wait before the next attempt after consecutive failures.
 *
 * <p>The wait is exponential with full jitter: it is random between 0 and a bound that doubles with
 * each failure. Otherwise all processes would retry against the store at the same time after an
 * outage.
 *
 * @param initialMaxMillis the longest wait after the first failure, in ms
 * @param maxMillis the longest wait after any number of failures, in ms
 */
public record Backoff(long initialMaxMillis, long maxMillis, int consecutiveFailures) {
  /** Limits the doubling, because a shift by more bits could overflow. */
  private static final int MAX_EXPONENT = 20;

  /**
   * Returns the state before any failure.
   *
   * @param initialMaxMillis the longest wait after the first failure, in ms
   * @param maxMillis the longest wait after any number of failures, in ms
   */
  public static Backoff create(long initialMaxMillis, long maxMillis) {
    return new Backoff(initialMaxMillis, maxMillis, 0);
  }

  /** Returns the state after one more failure. */
  public Backoff recordFailure() {
    return new Backoff(initialMaxMillis, maxMillis, consecutiveFailures + 1);
  }

  /** Returns the state after a success, which resets the number of failures. */
  public Backoff recordSuccess() {
    return new Backoff(initialMaxMillis, maxMillis, 0);
  }

  /**
   * Returns a random time to wait before the next attempt, in ms, or 0 if the last attempt
   * succeeded.
   */
  public long randomDelayMillis(RandomGenerator random) {
    if (consecutiveFailures == 0) {
      return 0;
    }
    int exponent = Math.min(MAX_EXPONENT, consecutiveFailures - 1);
    long boundMillis = Math.min(maxMillis, initialMaxMillis << exponent);
    return random.nextLong(boundMillis + 1);
  }
}
