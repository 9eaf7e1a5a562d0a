package org.sassafraslink.entry.connection;

import com.google.common.collect.ImmutableMap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.request.CallerRequest;
import org.sassafraslink.entry.request.CallerResponse;

/**
 * Accepts callers' HTTP connections on one address and passes their requests to a handler.
 *
 * <p>The size limits on requests are constants of this class. The request limits of the
 * configuration are not applied.
 *
 * <p>Confined to one event loop.
 */
public final class CallerServer {
  /** Longest request line, in bytes. */
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;

  /** Largest total size of a request's headers, in bytes. */
  private static final int MAX_HEADER_BYTES = 16_384;

  /** Most bytes of a connection that belong to a head that is not complete. */
  static final int MAX_UNDECODED_BYTES = MAX_REQUEST_LINE_BYTES + MAX_HEADER_BYTES;

  /** Largest request body, in bytes. */
  private static final int MAX_BODY_BYTES = 262_144;

  /** Connections that the operating system may hold until they are accepted. */
  private static final int ACCEPT_BACKLOG = 512;

  /** Smallest and first size of the buffer for one read from a connection, in bytes. */
  private static final int MIN_READ_BYTES = 64;

  /**
   * Most bytes that are read from a connection at a time. They bound the pipelined requests that
   * are decoded while another one is in progress.
   */
  private static final int MAX_READ_BYTES = 2_048;

  private final BiConsumer<CallerRequest, Consumer<CallerResponse>> requestHandler;
  private final FleetClock clock;
  private final ConnectionRegistry registry;
  private boolean draining;
  private int requestsInFlight;

  private CallerServer(
      BiConsumer<CallerRequest, Consumer<CallerResponse>> requestHandler,
      FleetClock clock,
      ConnectionRegistry registry) {
    this.requestHandler = requestHandler;
    this.clock = clock;
    this.registry = registry;
  }

  /**
   * Returns a server that does not listen yet.
   *
   * @param requestHandler receives each complete request with a callback for its response, which it
   *     calls exactly once
   */
  public static CallerServer create(
      BiConsumer<CallerRequest, Consumer<CallerResponse>> requestHandler,
      FleetClock clock,
      EventLog log,
      CallerLimits limits) {
    return new CallerServer(requestHandler, clock, new ConnectionRegistry(limits, clock, log));
  }

  /** Starts to listen on {@code address} and returns the listening channel. */
  public Channel listen(EventLoopGroup eventLoopGroup, InetSocketAddress address) {
    int socketBufferBytes = registry.limits().socketBufferBytes();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            // Accepted connections inherit it. Set later, it would not bound the window.
            .option(ChannelOption.SO_RCVBUF, socketBufferBytes)
            .childOption(ChannelOption.SO_SNDBUF, socketBufferBytes)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MAX_READ_BYTES, MAX_READ_BYTES))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    addHandlers(channel);
                  }
                });
    return bootstrap.bind(address).syncUninterruptibly().channel();
  }

  private void addHandlers(SocketChannel channel) {
    CallerConnection connection = new CallerConnection(this, registry, MAX_BODY_BYTES);
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES);
    channel
        .pipeline()
        .addLast(
            new CallerRequestDecoder(config, connection), new HttpResponseEncoder(), connection);
  }

  /**
   * Closes idle connections, and makes every other connection close after its next response. New
   * connections are still accepted.
   */
  public void startDraining() {
    draining = true;
    registry.connections().forEach(CallerConnection::closeIfIdle);
  }

  /** Returns whether {@link #startDraining} has been called. */
  boolean isDraining() {
    return draining;
  }

  /** Returns the number of requests that have no response yet. */
  public int requestsInFlight() {
    return requestsInFlight;
  }

  /** Returns the bytes that are held for callers. */
  public long heldBytes() {
    return registry.heldBytes();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return registry.openConnections();
  }

  /**
   * Returns how often a request was refused or a connection closed to keep the limits, by reason.
   */
  public ImmutableMap<String, Long> limitedCounts() {
    return registry.counts();
  }

  FleetClock clock() {
    return clock;
  }

  /** Passes a request to the handler and counts it as in flight until its response. */
  void handleRequest(CallerRequest request, Consumer<CallerResponse> callback) {
    requestsInFlight++;
    requestHandler.accept(
        request,
        response -> {
          requestsInFlight--;
          callback.accept(response);
        });
  }
}
