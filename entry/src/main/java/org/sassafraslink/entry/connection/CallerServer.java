package org.sassafraslink.entry.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.entry.request.CallerAnswer;
import org.sassafraslink.entry.request.CallerRequest;

/** Serves callers on one address. Confined to one event loop. */
public final class CallerServer {
  /** Bounds that hold before a configuration tells others, in bytes. */
  private static final int MAX_LINE_BYTES = 8_192;

  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_BODY_BYTES = 262_144;

  private static final int BACKLOG = 512;

  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final BiConsumer<CallerRequest, Consumer<CallerAnswer>> calls;
  private final FleetClock clock;
  private final int maxConnections;
  private boolean stopping;
  private int inFlight;

  private CallerServer(
      BiConsumer<CallerRequest, Consumer<CallerAnswer>> calls,
      FleetClock clock,
      int maxConnections) {
    this.calls = calls;
    this.clock = clock;
    this.maxConnections = maxConnections;
  }

  /** A server that hands whole requests to {@code calls}. */
  public static CallerServer create(
      BiConsumer<CallerRequest, Consumer<CallerAnswer>> calls,
      FleetClock clock,
      int maxConnections) {
    return new CallerServer(calls, clock, maxConnections);
  }

  /** Listens at {@code address}. */
  public Channel listen(EventLoopGroup group, InetSocketAddress address) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(
                                new HttpDecoderConfig()
                                    .setMaxInitialLineLength(MAX_LINE_BYTES)
                                    .setMaxHeaderSize(MAX_HEADER_BYTES)))
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new CallerConnection(CallerServer.this));
                  }
                });
    return bootstrap.bind(address).syncUninterruptibly().channel();
  }

  /** From now on answers close their connections, and idle connections are closed. */
  public void stop() {
    stopping = true;
    for (CallerConnection connection : Set.copyOf(connections)) {
      connection.closeIfIdle();
    }
  }

  /** Whether the process is stopping. */
  boolean isStopping() {
    return stopping;
  }

  /** Requests that have no answer yet. */
  public int inFlight() {
    return inFlight;
  }

  FleetClock clock() {
    return clock;
  }

  void onOpen(CallerConnection connection) {
    connections.add(connection);
    if (connections.size() > maxConnections) {
      // The longest idle one makes room, so that idle connections cannot keep callers out.
      for (CallerConnection candidate : connections) {
        if (candidate != connection && candidate.closeIfIdle()) {
          return;
        }
      }
    }
  }

  /** The connection has been used: it goes to the end of those that may be closed. */
  void onUse(CallerConnection connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  void onClose(CallerConnection connection) {
    connections.remove(connection);
  }

  void handle(CallerRequest request, Consumer<CallerAnswer> done) {
    inFlight++;
    calls.accept(
        request,
        answer -> {
          inFlight--;
          done.accept(answer);
        });
  }
}
