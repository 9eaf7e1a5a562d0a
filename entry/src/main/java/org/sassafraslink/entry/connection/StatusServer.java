package org.sassafraslink.entry.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Tells the balancer whether new connections may come, or serves metrics. */
public final class StatusServer {
  private static final int MAX_BODY_BYTES = 4_096;

  private final BooleanSupplier ready;
  private final Supplier<String> text;

  private StatusServer(BooleanSupplier ready, Supplier<String> text) {
    this.ready = ready;
    this.text = text;
  }

  /** A server whose answer is 200 while {@code ready}. */
  public static StatusServer create(BooleanSupplier ready) {
    return new StatusServer(ready, () -> "");
  }

  /** A server that answers every request with {@code text}. */
  public static StatusServer serving(Supplier<String> text) {
    return new StatusServer(() -> true, text);
  }

  /** Listens at {@code address}. */
  public Channel listen(EventLoopGroup group, InetSocketAddress address) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new Handler());
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      HttpResponseStatus status =
          ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              Unpooled.copiedBuffer(text.get(), StandardCharsets.UTF_8));
      HttpUtil.setContentLength(response, response.content().readableBytes());
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      if (keepAlive) {
        ctx.writeAndFlush(response);
      } else {
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
