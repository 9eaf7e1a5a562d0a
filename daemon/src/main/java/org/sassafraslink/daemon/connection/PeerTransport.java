package org.sassafraslink.daemon.connection;

import java.util.concurrent.CompletableFuture;
import org.sassafraslink.wire.generated.Envelope;

/** Sends a message to the process at an address and returns its answer, or fails in time. */
@FunctionalInterface
public interface PeerTransport {
  /** Sends {@code message}, with a correlation of the transport's own, to {@code address}. */
  CompletableFuture<Envelope> ask(String address, Envelope.Builder message);
}
