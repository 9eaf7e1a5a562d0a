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
 * Sends messages to one peer and matches its answers by correlation id.
 *
 * <p>The connection is opened on demand. A message that cannot be sent fails at once; the interval
 * of the callers is the retry.
 */
public final class PeerClient implements AutoCloseable {
  private final Bootstrap bootstrap;
  private final String host;
  private final int port;
  private final Duration timeout;
  private final AtomicLong correlations = new AtomicLong();
  private final Map<Long, CompletableFuture<Envelope>> waiting = new ConcurrentHashMap<>();
  private volatile ChannelFuture connection;

  private PeerClient(EventLoopGroup loops, String host, int port, Duration timeout) {
    this.host = host;
    this.port = port;
    this.timeout = timeout;
    this.bootstrap =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
            .handler(new PeerPipeline((channel, message) -> complete(message)));
  }

  /** Creates a client of the peer at {@code address}, an IP number and a port. */
  public static PeerClient create(EventLoopGroup loops, String address, Duration timeout) {
    int colon = address.lastIndexOf(':');
    return new PeerClient(
        loops,
        address.substring(0, colon),
        Integer.parseInt(address.substring(colon + 1)),
        timeout);
  }

  /** Sends {@code message} and returns its answer, or fails within the timeout. */
  public CompletableFuture<Envelope> ask(Envelope.Builder message) {
    long correlation = correlations.incrementAndGet();
    CompletableFuture<Envelope> answer = new CompletableFuture<>();
    waiting.put(correlation, answer);
    Envelope envelope = message.setCorrelation(correlation).build();
    connect()
        .addListener(
            (ChannelFuture opened) -> {
              if (opened.isSuccess()) {
                opened.channel().writeAndFlush(envelope);
              } else {
                answer.completeExceptionally(opened.cause());
              }
            });
    return answer
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((envelopeOrNull, failure) -> waiting.remove(correlation));
  }

  @Override
  public void close() {
    ChannelFuture open = connection;
    if (open != null) {
      open.channel().close();
    }
  }

  private synchronized ChannelFuture connect() {
    boolean isUsable =
        connection != null && (!connection.isDone() || connection.channel().isActive());
    if (!isUsable) {
      connection = bootstrap.connect(host, port);
    }
    return connection;
  }

  private void complete(Envelope message) {
    CompletableFuture<Envelope> answer = waiting.remove(message.getCorrelation());
    if (answer != null) {
      answer.complete(message);
    }
  }
}
