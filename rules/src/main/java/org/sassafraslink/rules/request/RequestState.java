package org.sassafraslink.rules.request;

/**
 * The states of a request inside an entry daemon.
 *
 * <p>"Not run" is true only up to {@link #ASSIGNED}: from {@link #SENDING} on, a byte may have
 * reached a backend server.
 */
public enum RequestState {
  RECEIVED,
  ADMITTED,
  QUEUED,
  ASSIGNED,
  SENDING,
  ANSWERED,
  ABANDONED;

  /** Whether a refusal in this state may say that the request was not run. */
  public boolean isCertainlyNotRun() {
    return compareTo(ASSIGNED) <= 0;
  }

  /** Whether the state may change to {@code next}. */
  public boolean mayBecome(RequestState next) {
    if (this == ANSWERED || this == ABANDONED) {
      return false;
    }
    boolean isRetry = next == QUEUED && compareTo(ASSIGNED) >= 0;
    return isRetry || next == ABANDONED || next.compareTo(this) > 0;
  }
}
