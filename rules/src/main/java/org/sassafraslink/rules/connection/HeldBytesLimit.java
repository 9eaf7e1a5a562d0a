package org.sassafraslink.rules.connection;

/**
 * Decides whether a request that has been read whole may begin, given the bytes that are held for
 * the requests in progress.
 *
 * <p>Large requests leave a part of the limit to short ones, so that an ordinary request is not
 * refused because of a few large ones. One large request alone may always begin.
 *
 * @param maxBytes most bytes that may be held for all callers
 */
public record HeldBytesLimit(long maxBytes) {
  /** Largest request that counts as short, in bytes held. */
  private static final long MAX_SHORT_BYTES = 64 << 10;

  /** Fraction of the limit that large requests may use. */
  private static final double LARGE_REQUEST_FRACTION = 0.75;

  /**
   * Returns whether a request may begin.
   *
   * @param requestBytes bytes that will be held for the request
   * @param bytesInProgress bytes that are held for the requests in progress
   */
  public boolean admits(long requestBytes, long bytesInProgress) {
    long limit =
        requestBytes <= MAX_SHORT_BYTES ? maxBytes : (long) (maxBytes * LARGE_REQUEST_FRACTION);
    return bytesInProgress == 0 || bytesInProgress + requestBytes <= limit;
  }
}
