package org.sassafraslink.rules.request;

/**
 * The states of a request inside an entry daemon.
 *
 * <p>The current attempt of a request is known not to have run only up to {@link #ASSIGNED}. From
 * {@link #SENDING} on, a byte of it may have reached a backend server. The state does not show
 * whether an earlier attempt was sent: a retry is {@link #QUEUED} again.
 */
public enum RequestState {
  /** The request was read from a caller. */
  RECEIVED,
  /** The request was passed to the dispatcher. */
  ADMITTED,
  /** The request waits for an instance of its service, for the first or for a further attempt. */
  QUEUED,
  /** An instance was chosen, and the request is about to be sent to it. */
  ASSIGNED,
  /** The request is being sent to the instance. */
  SENDING,
  /** The instance has answered. */
  ANSWERED,
  /** The request ended with a failure. */
  ABANDONED;

  /** Returns whether the current attempt of a request in this state is known not to have run. */
  public boolean isBeforeSending() {
    return compareTo(ASSIGNED) <= 0;
  }

  /**
   * Returns whether the state may change to {@code next}: to a later state, or back to {@link
   * #QUEUED} for a retry. {@link #ANSWERED} and {@link #ABANDONED} are final.
   */
  public boolean canChangeTo(RequestState next) {
    if (this == ANSWERED || this == ABANDONED) {
      return false;
    }
    boolean isRetry = next == QUEUED && compareTo(ASSIGNED) >= 0;
    return isRetry || next == ABANDONED || next.compareTo(this) > 0;
  }
}
