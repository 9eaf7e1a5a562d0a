package org.sassafraslink.daemon.connection;

import java.util.concurrent.CompletableFuture;
import org.sassafraslink.wire.generated.Envelope;

/** Sends messages to other daemons and returns their answers. */
@FunctionalInterface
public interface PeerTransport {
  /**
   * Sends {@code message} to the process at {@code address}, with a correlation id that the
   * transport sets.
   *
   * @return completes with the answer, or exceptionally if none arrives within the transport's
   *     timeout
   */
  CompletableFuture<Envelope> sendRequest(String address, Envelope.Builder message);
}
