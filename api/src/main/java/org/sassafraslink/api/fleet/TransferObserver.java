package org.sassafraslink.api.fleet;

/** Observes how the body of a response arrives. */
@FunctionalInterface
public interface TransferObserver {
  /** Ignores all progress. */
  TransferObserver NONE = (receivedBytes, expectedBytes) -> {};

  /**
   * Called on the thread that communicates with the platform when the headers or further bytes of
   * the body have arrived.
   *
   * @param receivedBytes how many bytes of the body have arrived so far
   * @param expectedBytes the size of the whole body; negative if it is unknown
   */
  void onReceived(long receivedBytes, long expectedBytes);
}
