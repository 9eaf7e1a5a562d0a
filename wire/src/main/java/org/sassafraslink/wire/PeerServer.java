package org.sassafraslink.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.Optional;
import java.util.function.Function;
import org.sassafraslink.wire.generated.Envelope;

/** Accepts connections of peers and answers their messages. */
public final class PeerServer implements AutoCloseable {
  private final Channel channel;

  private PeerServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds {@code host}:{@code port} exclusively, so that a bound address proves that no earlier
   * process holds it.
   */
  public static PeerServer start(
      EventLoopGroup loops,
      String host,
      int port,
      Function<Envelope, Optional<Envelope>> onMessage) {
    Channel channel =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new PeerPipeline(
                    (connection, message) ->
                        onMessage.apply(message).ifPresent(connection::writeAndFlush)))
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
    return new PeerServer(channel);
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }
}
