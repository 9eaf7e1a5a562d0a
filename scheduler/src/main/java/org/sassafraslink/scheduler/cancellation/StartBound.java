package org.sassafraslink.scheduler.cancellation;

/**
 * Decides until when the start of a task may be sent, given as of when its job is known not to be
 * cancelled.
 *
 * <p>A cancellation is acknowledged only after it is stored. So a job without a stored cancellation
 * at some time may start tasks for {@code maxCancellationMillis} after it.
 *
 * @param maxCancellationMillis how long after the acknowledgement of its job's cancellation a task
 *     may start, in ms
 */
public record StartBound(long maxCancellationMillis) {
  /** Part of the bound until which a start may be sent; the rest is left for its way. */
  private static final double SENDING_FRACTION = 2.0 / 3;

  /**
   * Returns whether a start may be written to its connection.
   *
   * @param notCancelledAt the latest moment at which the job is known to have had no stored
   *     cancellation
   */
  public boolean maySend(ClockTimes notCancelledAt, ClockTimes now) {
    return notCancelledAt.isYoungerThan((long) (maxCancellationMillis * SENDING_FRACTION), now);
  }
}
