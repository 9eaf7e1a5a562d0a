package org.sassafraslink.rules.transfer;

/**
 * Decides how slowly the responses of one sender may arrive.
 *
 * <p>A connection that delivers far less than the VM's link can carry is replaced. If the new one
 * is as slow, the link is, so each transfer that was given up as too slow halves the rate that is
 * required of the next. A response of any size is therefore received after a number of attempts
 * that grows with the logarithm of the rate.
 *
 * @param bytesPerSecond the rate
 */
public record MinimumRate(double bytesPerSecond) {
  /** The initial rate; below an equal part of the smallest link for 32 connections. */
  public static final double INITIAL_BYTES_PER_SECOND = 16 * 1_024;

  /** The smallest response that shows something about the rate of a link, in bytes. */
  private static final long MIN_SAMPLE_BYTES = 16 * 1_024;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Returns the rate that is required of a sender of which nothing is known. */
  public static MinimumRate initial() {
    return new MinimumRate(INITIAL_BYTES_PER_SECOND);
  }

  /** Returns whether nothing has lowered the rate. */
  public boolean isInitial() {
    return bytesPerSecond >= INITIAL_BYTES_PER_SECOND;
  }

  /** Returns the rate after a transfer that was given up as too slow. */
  public MinimumRate recordTooSlow() {
    return new MinimumRate(bytesPerSecond / 2);
  }

  /** Returns the rate after a response of {@code bytes} bytes that arrived within a time. */
  public MinimumRate recordComplete(long bytes, long millis) {
    if (isInitial() || bytes < MIN_SAMPLE_BYTES) {
      return this;
    }
    double achieved = bytes * MILLIS_PER_SECOND / Math.max(1, millis);
    return new MinimumRate(
        Math.min(INITIAL_BYTES_PER_SECOND, Math.max(bytesPerSecond, achieved / 2)));
  }

  /** Returns how long {@code bytes} bytes may take, in ms. */
  long millisFor(long bytes) {
    return (long) (bytes * MILLIS_PER_SECOND / bytesPerSecond);
  }
}
