package org.sassafraslink.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.Optional;
import java.util.function.Function;
import org.sassafraslink.wire.generated.Envelope;

/**
 * Accepts connections from peers, and sends the answers that a handler returns to their messages.
 */
public final class PeerServer implements AutoCloseable {
  private final Channel listeningChannel;

  private PeerServer(Channel channel) {
    this.listeningChannel = channel;
  }

  /**
   * Starts a server on {@code host}:{@code port} and returns once it is bound. Throws the exception
   * of the failed bind if another process listens there, so after a return no earlier process can
   * still serve this address.
   *
   * @param messageHandler returns the answer to a message; empty if none is to be sent
   */
  public static PeerServer start(
      EventLoopGroup eventLoopGroup,
      String host,
      int port,
      Function<Envelope, Optional<Envelope>> messageHandler) {
    Channel listeningChannel =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new PeerChannelInitializer(
                    (connection, message) ->
                        messageHandler.apply(message).ifPresent(connection::writeAndFlush)))
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
    return new PeerServer(listeningChannel);
  }

  @Override
  public void close() {
    listeningChannel.close().syncUninterruptibly();
  }
}
