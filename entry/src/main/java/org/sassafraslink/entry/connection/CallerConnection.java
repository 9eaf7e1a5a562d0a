package org.sassafraslink.entry.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.entry.request.CallerAnswer;
import org.sassafraslink.entry.request.CallerRequest;
import org.sassafraslink.platform.fleet.CallerHeaders;

/**
 * One connection of a caller: whole requests are answered one after the other, in their order.
 *
 * <p>Reading stops while a request waits for its answer, so that pipelined requests stay in the
 * socket.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** How long a caller waits, in ms, if it does not say. */
  private static final long DEFAULT_DEADLINE_MILLIS = 3_000;

  /** Longest wait that a caller may ask for, in ms. */
  private static final long MAX_DEADLINE_MILLIS = 120_000;

  private final CallerServer server;
  private final Deque<FullHttpRequest> decodedAhead = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private boolean busy;
  private boolean inputClosed;

  CallerConnection(CallerServer server) {
    super(false);
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    server.onOpen(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.onClose(this);
    decodedAhead.forEach(FullHttpRequest::release);
    decodedAhead.clear();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputClosed = true;
      closeIfIdle();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    decodedAhead.add(request);
    next();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  /** Closes the connection unless a request waits for its answer. */
  boolean closeIfIdle() {
    if (busy || !decodedAhead.isEmpty()) {
      return false;
    }
    context.close();
    return true;
  }

  private void next() {
    if (busy || decodedAhead.isEmpty()) {
      return;
    }
    FullHttpRequest request = decodedAhead.poll();
    busy = true;
    server.onUse(this);
    context.channel().config().setAutoRead(false);
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (request.decoderResult().isFailure()) {
      request.release();
      Failure failure =
          Failure.of(FailureType.REQUEST_MALFORMED, "The request is not valid HTTP/1.1.");
      answer(CallerAnswer.failed(failure), false);
      return;
    }
    CallerRequest whole = decode(request);
    request.release();
    server.handle(
        whole,
        answer -> {
          if (context.executor().inEventLoop()) {
            answer(answer, keepAlive);
          } else {
            context.executor().execute(() -> answer(answer, keepAlive));
          }
        });
  }

  private CallerRequest decode(FullHttpRequest request) {
    HttpHeaders headers = request.headers();
    String host = headers.get(HttpHeaderNames.HOST, "");
    int port = host.lastIndexOf(':');
    String uri = request.uri();
    int query = uri.indexOf('?');
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
    return new CallerRequest(
        request.method().name(),
        port < 0 ? host : host.substring(0, port),
        query < 0 ? uri : uri.substring(0, query),
        keyOf(authorization),
        request.content().toString(StandardCharsets.UTF_8),
        server.clock().monotonicMillis() + deadlineMillis(headers.get(CallerHeaders.DEADLINE)));
  }

  private static String keyOf(String authorization) {
    String scheme = CallerHeaders.KEY_SCHEME;
    return authorization.startsWith(scheme) ? authorization.substring(scheme.length()) : "";
  }

  private static long deadlineMillis(String header) {
    if (header == null) {
      return DEFAULT_DEADLINE_MILLIS;
    }
    try {
      return Math.max(0, Math.min(MAX_DEADLINE_MILLIS, Long.parseLong(header.trim())));
    } catch (NumberFormatException e) {
      // The caller's wish cannot be read: the usual wait holds.
      return DEFAULT_DEADLINE_MILLIS;
    }
  }

  private void answer(CallerAnswer answer, boolean keepAlive) {
    ByteBuf body = Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), body);
    HttpUtil.setContentLength(response, body.readableBytes());
    if (body.isReadable()) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    if (answer.retryAfterSeconds() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, answer.retryAfterSeconds());
    }
    boolean reuse = keepAlive && !inputClosed && !server.isStopping();
    HttpUtil.setKeepAlive(response, reuse);
    busy = false;
    if (reuse) {
      context.writeAndFlush(response);
      context.channel().config().setAutoRead(true);
      next();
    } else {
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
