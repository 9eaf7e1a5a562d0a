package org.sassafraslink.scheduler.incarnation;

/**
 * The fencing token of commands to one incarnation of a worker.
 *
 * <p>A worker executes no command whose token is lower than one that it has seen, but an
 * incarnation has seen none when it starts. It therefore gets a token of its own, higher than those
 * of all commands that were sent to earlier incarnations under its id, and from the first command
 * with this token on it executes none of those.
 *
 * @param epoch the epoch of the scheduling lease
 * @param registration numbers the registrations of incarnations in this epoch, from 1
 */
public record FencingToken(long epoch, long registration) {
  /**
   * The values of two epochs differ by this. Epochs up to 2^29 have values that are exact as
   * floating-point numbers, which is how JSON parsers may read them.
   */
  private static final long REGISTRATIONS_PER_EPOCH = 1L << 24;

  /** Returns the token of an incarnation. */
  public static FencingToken of(long epoch, long registration) {
    return new FencingToken(epoch, registration);
  }

  /**
   * Returns whether an epoch with this many registrations should end. The other half is left to
   * registrations until then.
   */
  public static boolean isEpochUsedUp(long registrations) {
    return registrations > REGISTRATIONS_PER_EPOCH / 2;
  }

  /** Returns the number to send. */
  public long value() {
    return epoch * REGISTRATIONS_PER_EPOCH + registration;
  }
}
