package org.sassafraslink.entry.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Responds to every HTTP request, whatever its path, with either the readiness of this process,
 * which the load balancer polls, or its metrics.
 */
public final class StatusServer {
  private static final int MAX_REQUEST_BODY_BYTES = 4_096;

  /** Most open connections; further ones are closed at once. */
  private static final int MAX_CONNECTIONS = 64;

  /** Most bytes that are read from a connection at a time, which bounds pipelined requests. */
  private static final int MAX_READ_BYTES = 2_048;

  /** Time after which a connection without a further request is closed, in seconds. */
  private static final int READ_TIMEOUT_SECONDS = 60;

  private final BooleanSupplier isReady;
  private final Supplier<String> responseText;
  private int openConnections;

  private StatusServer(BooleanSupplier isReady, Supplier<String> responseText) {
    this.isReady = isReady;
    this.responseText = responseText;
  }

  /** Returns a server that responds with 200 while {@code isReady} is true, otherwise with 503. */
  public static StatusServer forReadiness(BooleanSupplier isReady) {
    return new StatusServer(isReady, () -> "");
  }

  /** Returns a server that responds with 200 and the current value of {@code responseText}. */
  public static StatusServer forMetrics(Supplier<String> responseText) {
    return new StatusServer(() -> true, responseText);
  }

  /** Starts to listen on {@code address} and returns the listening channel. */
  public Channel listen(EventLoopGroup eventLoopGroup, InetSocketAddress address) {
    return new ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(64, 512, MAX_READ_BYTES))
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES),
                        new RequestHandler());
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      openConnections++;
      if (openConnections > MAX_CONNECTIONS) {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      openConnections--;
    }

    /** Suspends reading while the client does not take the responses. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      HttpResponseStatus status =
          isReady.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              Unpooled.copiedBuffer(responseText.get(), StandardCharsets.UTF_8));
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
      ConnectionFailures.close(ctx, cause);
    }
  }
}
