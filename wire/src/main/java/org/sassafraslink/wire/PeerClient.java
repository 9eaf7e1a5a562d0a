package org.sassafraslink.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sassafraslink.wire.generated.Envelope;

/**
 * Sends messages to one peer and matches its answers to them by correlation id.
 *
 * <p>Opens the connection when a message is sent and none is open. Sending fails at once if the
 * connection cannot be opened. No message is sent again here: users of the client send new messages
 * at their own interval.
 */
public final class PeerClient implements AutoCloseable {
  private final Bootstrap bootstrap;
  private final String host;
  private final int port;
  private final Duration timeout;
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private final Map<Long, CompletableFuture<Envelope>> pendingAnswers = new ConcurrentHashMap<>();

  /** The last attempt to connect; holds the connection once it has succeeded. Null at first. */
  private volatile ChannelFuture connectFuture;

  private PeerClient(EventLoopGroup eventLoopGroup, String host, int port, Duration timeout) {
    this.host = host;
    this.port = port;
    this.timeout = timeout;
    this.bootstrap =
        new Bootstrap()
            .group(eventLoopGroup)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
            .handler(new PeerChannelInitializer((channel, message) -> completeAnswer(message)));
  }

  /**
   * Creates a client for the peer at {@code address}.
   *
   * @param address an IP address and a port, in the form IP:PORT
   * @param timeout bound on the time to connect, and on the time until an answer arrives
   */
  public static PeerClient create(EventLoopGroup eventLoopGroup, String address, Duration timeout) {
    int portSeparator = address.lastIndexOf(':');
    return new PeerClient(
        eventLoopGroup,
        address.substring(0, portSeparator),
        Integer.parseInt(address.substring(portSeparator + 1)),
        timeout);
  }

  /**
   * Sends {@code message} and returns a future of its answer. The future fails when the connection
   * cannot be opened, and at the latest when the timeout expires.
   */
  public CompletableFuture<Envelope> sendRequest(Envelope.Builder message) {
    long correlationId = lastCorrelationId.incrementAndGet();
    CompletableFuture<Envelope> answer = new CompletableFuture<>();
    pendingAnswers.put(correlationId, answer);
    Envelope request = message.setCorrelation(correlationId).build();
    connectIfNeeded()
        .addListener(
            (ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                connected.channel().writeAndFlush(request);
              } else {
                answer.completeExceptionally(connected.cause());
              }
            });
    return answer
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((ignoredAnswer, failure) -> pendingAnswers.remove(correlationId));
  }

  @Override
  public void close() {
    ChannelFuture currentConnectFuture = connectFuture;
    if (currentConnectFuture != null) {
      currentConnectFuture.channel().close();
    }
  }

  private synchronized ChannelFuture connectIfNeeded() {
    boolean isUsable =
        connectFuture != null && (!connectFuture.isDone() || connectFuture.channel().isActive());
    if (!isUsable) {
      connectFuture = bootstrap.connect(host, port);
    }
    return connectFuture;
  }

  private void completeAnswer(Envelope message) {
    CompletableFuture<Envelope> answer = pendingAnswers.remove(message.getCorrelation());
    if (answer != null) {
      answer.complete(message);
    }
  }
}
