package org.sassafraslink.daemon.connection;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.sassafraslink.wire.PeerClient;
import org.sassafraslink.wire.generated.Envelope;

/** Sends messages to peers over TCP, on one connection per address. */
public final class NettyPeerTransport implements PeerTransport {
  private final EventLoopGroup eventLoopGroup;
  private final Duration timeout;
  private final Map<String, PeerClient> clientsByAddress = new ConcurrentHashMap<>();

  private NettyPeerTransport(EventLoopGroup eventLoopGroup, Duration timeout) {
    this.eventLoopGroup = eventLoopGroup;
    this.timeout = timeout;
  }

  /**
   * Creates a transport.
   *
   * @param timeout bound on the time to connect, and on the time until an answer arrives
   */
  public static NettyPeerTransport create(EventLoopGroup eventLoopGroup, Duration timeout) {
    return new NettyPeerTransport(eventLoopGroup, timeout);
  }

  @Override
  public CompletableFuture<Envelope> sendRequest(String address, Envelope.Builder message) {
    return clientsByAddress
        .computeIfAbsent(
            address, peerAddress -> PeerClient.create(eventLoopGroup, peerAddress, timeout))
        .sendRequest(message);
  }
}
