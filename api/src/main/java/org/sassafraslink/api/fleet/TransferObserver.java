package org.sassafraslink.api.fleet;

/** Observes how the body of a successful response arrives. */
@FunctionalInterface
public interface TransferObserver {
  /** The size of a body whose sender has not told it. */
  long UNKNOWN_BYTES = -1;

  /** Ignores all progress. */
  TransferObserver NONE = (receivedBytes, expectedBytes) -> {};

  /**
   * Called on the thread that communicates with the platform when the headers or further bytes of
   * the body have arrived.
   *
   * @param receivedBytes how many bytes of the body have arrived so far
   * @param expectedBytes the size of the whole body, or {@link #UNKNOWN_BYTES}
   */
  void onReceived(long receivedBytes, long expectedBytes);
}
