package org.sassafraslink.entry.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.entry.connection.ConnectionRegistry.Reason;
import org.sassafraslink.entry.request.CallerRequest;
import org.sassafraslink.entry.request.CallerResponse;
import org.sassafraslink.platform.fleet.CallerHeaders;
import org.sassafraslink.rules.connection.CloseOrder;
import org.sassafraslink.rules.connection.CloseOrder.Activity;

/**
 * Handles the HTTP requests on one connection of a caller, one at a time and in order.
 *
 * <p>Reading from the socket is suspended while a request waits for its response and until the
 * caller has taken the response, so that pipelined requests stay in the socket's buffer instead of
 * this process's memory. Requests that had been read before are held, and may be given up.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** How long a caller is assumed to wait, in ms, if its request has no valid deadline header. */
  private static final long DEFAULT_WAIT_MILLIS = 3_000;

  /** Longest wait that a caller may request, in ms; longer ones are reduced to it. */
  private static final long MAX_WAIT_MILLIS = 120_000;

  /** Time for which a caller may receive the last response before the connection closes, in ms. */
  private static final long CLOSE_DELAY_MILLIS = 1_000;

  /** When a caller may repeat a request that was refused because of the bytes held for others. */
  private static final int RETRY_AFTER_SECONDS = 1;

  /** Bytes that undecoded bytes take at most once they are decoded, such as many short headers. */
  private static final long DECODED_BYTES_PER_BYTE = 40;

  /** Bytes held for a byte of a body in progress: the text, the row, and the call to the store. */
  private static final long BYTES_IN_PROGRESS_PER_BODY_BYTE = 8;

  /** Bytes held for a request in progress or a response besides their bodies. */
  private static final long REQUEST_BYTES = 1_024;

  private final CallerServer server;
  private final ConnectionRegistry registry;
  private final RequestCollector collector;

  /** Requests that were read whole while another request was in progress. */
  private final Deque<ReceivedRequest> receivedRequests = new ArrayDeque<>();

  private ChannelHandlerContext context;
  private Activity activity = Activity.IDLE;
  private boolean hasBeenServed;

  /** Whether the caller can send no more requests; the connection closes after the response. */
  private boolean callerClosedOutput;

  /** Whether the response to the request in progress is the last one on this connection. */
  private boolean closeAfterResponse;

  /** Whether a refusal follows the response that is being sent. */
  private boolean refuseAfterResponse;

  /** Whether no further request is read. */
  private boolean discardingInput;

  private long lastProgressMillis;

  /** When the first byte of the unfinished request was read. */
  private long receiveStartMillis;

  /** The bytes for {@link #receivedRequests}. */
  private long receivedBytes;

  /** Bytes that were read and belong to no decoded part of a request. */
  private int undecodedBytes;

  /** The bytes for requests that have not begun, as last reported to the registry. */
  private long reportedBytes;

  /** The bytes for the request in progress or its response, as last reported to the registry. */
  private long bytesInProgress;

  CallerConnection(CallerServer server, ConnectionRegistry registry, int maxBodyBytes) {
    this.server = server;
    this.registry = registry;
    this.collector = new RequestCollector(maxBodyBytes);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    lastProgressMillis = server.clock().monotonicMillis();
    registry.add(this, ctx.channel().eventLoop());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    registry.remove(this);
    discardingInput = true;
    discardUnbegunRequests();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      callerClosedOutput = true;
      if (!closeIfIdle() && activity == Activity.CLOSING) {
        ctx.close();
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ConnectionFailures.close(ctx, cause);
  }

  /** Returns the state of this connection. */
  CloseOrder.Connection<CallerConnection> snapshot() {
    return new CloseOrder.Connection<>(
        this, activity, hasBeenServed, reportedBytes, lastProgressMillis);
  }

  /**
   * Closes the connection unless a request waits for its response.
   *
   * @return whether it was closed
   */
  boolean closeIfIdle() {
    if (isBusy()) {
      return false;
    }
    context.close();
    return true;
  }

  /** Closes the connection in favour of another one. */
  void closeForPlace() {
    context.close();
  }

  /** Ends a connection on which a request or a response makes too little progress. */
  Optional<Reason> checkTimeouts(long nowMillis) {
    long silentMillis = nowMillis - lastProgressMillis;
    switch (activity) {
      case RECEIVING -> {
        boolean isStalled = silentMillis >= registry.limits().stallTimeoutMillis();
        if (isStalled
            || nowMillis - receiveStartMillis >= registry.limits().receiveTimeoutMillis()) {
          String detail = "The request was not received completely in time.";
          refuseUnfinishedRequest(
              CallerResponse.failed(Failure.of(FailureType.REQUEST_TIMEOUT, detail)));
          return Optional.of(isStalled ? Reason.STALLED : Reason.SLOW);
        }
      }
      case SENDING -> {
        if (silentMillis >= registry.limits().responseTimeoutMillis()) {
          context.close();
          return Optional.of(Reason.UNREAD);
        }
      }
      case CLOSING -> {
        if (silentMillis >= CLOSE_DELAY_MILLIS) {
          context.close();
        }
      }
      case IDLE, ANSWERING -> {}
    }
    return Optional.empty();
  }

  /**
   * Gives up all requests that have not begun, and closes the connection after a response that says
   * so: the one to the request in progress, whose header {@code Connection} tells the caller that
   * later requests were not handled, or otherwise one that refuses the next request.
   */
  void releaseBytes() {
    switch (activity) {
      case RECEIVING -> refuseUnfinishedRequest(noRoomResponse());
      case ANSWERING, SENDING -> {
        refuseAfterResponse = activity == Activity.SENDING && !closeAfterResponse;
        closeAfterResponse |= activity == Activity.ANSWERING;
        discardInput();
        discardUnbegunRequests();
      }
      case IDLE, CLOSING -> {}
    }
  }

  /**
   * Called after bytes were read and decoded.
   *
   * @param undecodedBytes the bytes that belong to no decoded part of a request
   */
  void onBytesRead(int undecodedBytes) {
    this.undecodedBytes = discardingInput ? 0 : undecodedBytes;
    lastProgressMillis = server.clock().monotonicMillis();
    if (activity == Activity.IDLE || activity == Activity.RECEIVING) {
      awaitNextRequest();
    }
    reportBytes();
  }

  private void awaitNextRequest() {
    boolean isReceiving = collector.isCollecting() || undecodedBytes > 0;
    if (isReceiving && activity != Activity.RECEIVING) {
      receiveStartMillis = lastProgressMillis;
    }
    activity = isReceiving ? Activity.RECEIVING : Activity.IDLE;
  }

  private void reportBytes() {
    long bytes =
        receivedBytes
            + collector.heldBytes()
            + DECODED_BYTES_PER_BYTE * Math.min(undecodedBytes, CallerServer.MAX_UNDECODED_BYTES);
    long difference = bytes - reportedBytes;
    reportedBytes = bytes;
    registry.changeReleasableBytes(difference);
  }

  /** Discards what arrives from now on, and what the decoder holds. */
  private void discardInput() {
    if (!discardingInput) {
      discardingInput = true;
      context.pipeline().remove(CallerRequestDecoder.class);
    }
  }

  private void discardUnbegunRequests() {
    receivedRequests.clear();
    receivedBytes = 0;
    undecodedBytes = 0;
    collector.reset();
    reportBytes();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!discardingInput) {
        collect((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void collect(HttpObject part) {
    if (part instanceof HttpRequest head) {
      collector.start(head);
    }
    if (part.decoderResult().isFailure()) {
      addFailure(FailureType.REQUEST_MALFORMED, "The request is not valid HTTP/1.1.");
    } else if (part instanceof HttpRequest head) {
      collectHead(head);
    } else if (part instanceof HttpContent piece && !collector.add(piece.content())) {
      addTooLargeFailure();
    } else if (part instanceof LastHttpContent) {
      addRequest(collector.finish());
    }
  }

  private void collectHead(HttpRequest head) {
    if (collector.announcesTooLargeBody()) {
      addTooLargeFailure();
    } else if (HttpUtil.is100ContinueExpected(head) && !isBusy()) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void addTooLargeFailure() {
    addFailure(FailureType.REQUEST_TOO_LARGE, "The body of the request is too large.");
  }

  /** Adds a request that cannot be read; what follows it on the connection is not read either. */
  private void addFailure(FailureType type, String detail) {
    discardInput();
    addRequest(collector.fail(Failure.of(type, detail)));
  }

  private void addRequest(ReceivedRequest request) {
    receivedRequests.add(request);
    receivedBytes += request.heldBytes();
    handleNextRequest();
  }

  private boolean isBusy() {
    return activity != Activity.IDLE && activity != Activity.RECEIVING;
  }

  private void handleNextRequest() {
    if (isBusy() || receivedRequests.isEmpty()) {
      return;
    }
    ReceivedRequest request = receivedRequests.poll();
    receivedBytes -= request.heldBytes();
    reportBytes();
    activity = Activity.ANSWERING;
    context.channel().config().setAutoRead(false);
    boolean isHead = request.head().method().equals(HttpMethod.HEAD);
    boolean keepAlive = HttpUtil.isKeepAlive(request.head());
    if (request.failure().isPresent()) {
      closeAfterResponse = true;
      writeResponse(CallerResponse.failed(request.failure().get()), keepAlive, isHead);
      return;
    }
    long bytes = REQUEST_BYTES + BYTES_IN_PROGRESS_PER_BODY_BYTE * request.bodyBytes();
    if (!registry.beginRequest(bytes)) {
      writeResponse(noRoomResponse(), keepAlive, isHead);
      return;
    }
    bytesInProgress = bytes;
    server.handleRequest(
        toCallerRequest(request),
        response -> {
          if (context.executor().inEventLoop()) {
            writeResponse(response, keepAlive, isHead);
          } else {
            context.executor().execute(() -> writeResponse(response, keepAlive, isHead));
          }
        });
  }

  private CallerRequest toCallerRequest(ReceivedRequest request) {
    HttpHeaders headers = request.head().headers();
    String hostHeader = headers.get(HttpHeaderNames.HOST, "");
    int portSeparator = hostHeader.lastIndexOf(':');
    String uri = request.head().uri();
    int queryStart = uri.indexOf('?');
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
    return new CallerRequest(
        request.head().method().name(),
        portSeparator < 0 ? hostHeader : hostHeader.substring(0, portSeparator),
        queryStart < 0 ? uri : uri.substring(0, queryStart),
        keyFromAuthorization(authorization),
        request.body(),
        server.clock().monotonicMillis()
            + parseWaitMillis(headers.get(CallerHeaders.DEADLINE_MILLIS)));
  }

  private static String keyFromAuthorization(String authorization) {
    String prefix = CallerHeaders.BEARER_PREFIX;
    return authorization.startsWith(prefix) ? authorization.substring(prefix.length()) : "";
  }

  private static long parseWaitMillis(String deadlineHeader) {
    if (deadlineHeader == null) {
      return DEFAULT_WAIT_MILLIS;
    }
    try {
      return Math.max(0, Math.min(MAX_WAIT_MILLIS, Long.parseLong(deadlineHeader.trim())));
    } catch (NumberFormatException e) {
      // An invalid deadline is treated like a missing one.
      return DEFAULT_WAIT_MILLIS;
    }
  }

  private static CallerResponse noRoomResponse() {
    String detail = "The process has no room for the request.";
    return CallerResponse.failed(Failure.of(FailureType.PROCESS_FULL, detail), RETRY_AFTER_SECONDS);
  }

  private void refuseUnfinishedRequest(CallerResponse response) {
    discardInput();
    discardUnbegunRequests();
    writeResponse(response, /* keepAlive= */ false, /* isHead= */ false);
  }

  private void writeResponse(CallerResponse response, boolean keepAlive, boolean isHead) {
    ByteBuf body = Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8);
    int bodyBytes = body.readableBytes();
    DefaultFullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            isHead ? Unpooled.EMPTY_BUFFER : body);
    HttpUtil.setContentLength(httpResponse, bodyBytes);
    if (bodyBytes > 0) {
      httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    if (response.retryAfterSeconds() > 0) {
      httpResponse.headers().setInt(HttpHeaderNames.RETRY_AFTER, response.retryAfterSeconds());
    }
    boolean keepOpen =
        keepAlive && !closeAfterResponse && !callerClosedOutput && !server.isDraining();
    HttpUtil.setKeepAlive(httpResponse, keepOpen);
    activity = Activity.SENDING;
    lastProgressMillis = server.clock().monotonicMillis();
    closeAfterResponse |= !keepOpen;
    changeBytesInProgress(REQUEST_BYTES + bodyBytes);
    context.writeAndFlush(httpResponse).addListener((ChannelFuture sent) -> onResponseSent(sent));
  }

  private void onResponseSent(ChannelFuture sent) {
    changeBytesInProgress(0);
    lastProgressMillis = server.clock().monotonicMillis();
    hasBeenServed = true;
    if (!sent.isSuccess()) {
      context.close();
    } else if (refuseAfterResponse) {
      refuseAfterResponse = false;
      writeResponse(noRoomResponse(), /* keepAlive= */ false, /* isHead= */ false);
    } else if (closeAfterResponse) {
      closeAfterSending();
    } else {
      activity = Activity.IDLE;
      awaitNextRequest();
      handleNextRequest();
      if (!isBusy()) {
        context.channel().config().setAutoRead(true);
      }
    }
  }

  /**
   * Closes the connection. If the caller may still be sending, only ends the output at first,
   * because bytes that are not read would make the operating system discard the response.
   */
  private void closeAfterSending() {
    if (discardingInput && !callerClosedOutput) {
      activity = Activity.CLOSING;
      ((SocketChannel) context.channel()).shutdownOutput();
      context.channel().config().setAutoRead(true);
    } else {
      context.close();
    }
  }

  private void changeBytesInProgress(long bytes) {
    long difference = bytes - bytesInProgress;
    bytesInProgress = bytes;
    registry.changeBytesInProgress(difference);
  }
}
