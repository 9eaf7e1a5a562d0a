package org.sassafraslink.daemon.process;

import java.util.random.RandomGenerator;

/**
 * The wait before the next attempt after failures in a row: exponential with full jitter, so that
 * processes do not return to the store all at once.
 */
public record Backoff(long firstMillis, long maxMillis, int failures) {
  private static final int MAX_DOUBLINGS = 20;

  /** A wait that starts at up to {@code firstMillis} and grows to up to {@code maxMillis}. */
  public static Backoff create(long firstMillis, long maxMillis) {
    return new Backoff(firstMillis, maxMillis, 0);
  }

  /** The state after one more failure. */
  public Backoff onFailure() {
    return new Backoff(firstMillis, maxMillis, failures + 1);
  }

  /** The state after a success. */
  public Backoff onSuccess() {
    return new Backoff(firstMillis, maxMillis, 0);
  }

  /** The time to wait now, in ms; 0 if the last attempt succeeded. */
  public long delayMillis(RandomGenerator random) {
    if (failures == 0) {
      return 0;
    }
    int doublings = Math.min(MAX_DOUBLINGS, failures - 1);
    long bound = Math.min(maxMillis, firstMillis << doublings);
    return random.nextLong(bound + 1);
  }
}
