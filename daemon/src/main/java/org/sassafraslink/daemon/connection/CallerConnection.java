package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.failure.Problem;
import org.sassafraslink.daemon.request.CallResult;
import org.sassafraslink.daemon.request.CallResult.Answered;
import org.sassafraslink.daemon.request.CallResult.Header;
import org.sassafraslink.daemon.request.PendingCall;

/**
 * Handles one connection of a caller. It reads a complete request, submits it to the {@link
 * EntryServer}, sends the response, and then reads the next request.
 *
 * <p>Nothing is read from the socket while a request awaits its response, so pipelined requests
 * remain in the socket's buffer, except for those that were read together with the current one. A
 * request that is not received in time, or whose caller closes the connection before its end, is
 * answered with a typed failure.
 *
 * <p>Confined to the event loop of its connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private final EntryServer server;

  /** Decoded parts of pipelined requests that are processed after the current response. */
  private final Queue<HttpObject> unprocessedMessages = new ArrayDeque<>();

  private ChannelHandlerContext context;

  /** The head of the request that is being received; null if none is. */
  private HttpRequest requestHead;

  private ByteBuf requestBody;
  private int reservedBodyBytes;

  /** The submitted call; null if there is none or if the request was rejected. */
  private PendingCall pendingCall;

  /** Fires when the connection has been idle, or a request incomplete, for too long. */
  private ScheduledFuture<?> timeout;

  /** Whether no byte has arrived since the connection began to wait for a request. */
  private boolean awaitsFirstByte;

  /** Whether a complete request, accepted or rejected, has not been answered yet. */
  private boolean awaitsResponse;

  /** Whether the caller has closed its output side; it may still read the response. */
  private boolean callerClosedOutput;

  /** Whether the connection is closed, or will be after the response that is being written. */
  private boolean closing;

  CallerConnection(EntryServer server) {
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    awaitNextRequest();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    processMessages();
    discardIncompleteRequest();
    if (pendingCall != null) {
      pendingCall.recordCallerLeft();
    }
    server.onConnectionClosed();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    unprocessedMessages.add((HttpObject) message);
    processMessages();
  }

  /**
   * Processes decoded messages until a complete request has been submitted. While the connection is
   * closing, only releases the buffers of the messages.
   */
  private void processMessages() {
    while (!unprocessedMessages.isEmpty() && (closing || !awaitsResponse)) {
      HttpObject message = unprocessedMessages.remove();
      try {
        if (!closing) {
          processMessage(message);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      callerClosedOutput = true;
      if (requestHead != null) {
        reject(
            FailureType.REQUEST_MALFORMED,
            "The connection was closed before the end of the request.");
      } else if (!awaitsResponse) {
        ctx.close();
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  private void processMessage(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      rejectUndecodable(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpRequest request) {
      beginRequest(request);
    }
    if (message instanceof HttpContent content && requestHead != null) {
      appendToBody(content.content());
      if (message instanceof LastHttpContent && requestHead != null) {
        submitRequest();
      }
    }
  }

  private void beginRequest(HttpRequest newRequest) {
    requestHead = newRequest;
    requestBody = Unpooled.buffer(0);
    long declaredBodyBytes = HttpUtil.getContentLength(newRequest, 0L);
    if (declaredBodyBytes > server.options().maxRequestBytes()) {
      rejectTooLarge();
    } else if (HttpUtil.is100ContinueExpected(newRequest)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void appendToBody(ByteBuf content) {
    int size = content.readableBytes();
    if (requestBody.readableBytes() + size > server.options().maxRequestBytes()) {
      rejectTooLarge();
    } else if (!server.reserveBodyBytes(size)) {
      reject(FailureType.QUEUE_FULL, "The daemon's buffer for request bodies is full.");
    } else {
      reservedBodyBytes += size;
      requestBody.writeBytes(content);
    }
  }

  private void submitRequest() {
    timeout.cancel(false);
    byte[] bodyBytes = new byte[requestBody.readableBytes()];
    requestBody.readBytes(bodyBytes);
    ImmutableList.Builder<Header> headers = ImmutableList.builder();
    for (Map.Entry<String, String> entry : requestHead.headers()) {
      headers.add(new Header(entry.getKey(), entry.getValue()));
    }
    IncomingRequest request =
        new IncomingRequest(
            requestHead.method().name(), requestHead.uri(), headers.build(), bodyBytes);
    boolean keepAlive = HttpUtil.isKeepAlive(requestHead);
    requestHead = null;
    context.channel().config().setAutoRead(false);
    awaitsResponse = true;
    pendingCall =
        server.submit(
            request,
            result -> context.executor().execute(() -> sendResponse(request, result, keepAlive)));
  }

  private void sendResponse(IncomingRequest request, CallResult result, boolean keepAlive) {
    pendingCall = null;
    awaitsResponse = false;
    releaseBody();
    boolean keepOpen = keepAlive && !callerClosedOutput && !server.isStopping();
    DefaultFullHttpResponse response = toResponse(request, result);
    HttpUtil.setKeepAlive(response, keepOpen);
    if (keepOpen) {
      context.writeAndFlush(response);
      awaitNextRequest();
      processMessages();
    } else {
      closing = true;
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void awaitNextRequest() {
    context.channel().config().setAutoRead(true);
    awaitsFirstByte = true;
    startTimeout(server.options().idleTimeoutMillis());
  }

  /**
   * Replaces the idle timeout with the read timeout when the first byte of a request is received.
   */
  void onBytesReceived() {
    if (awaitsFirstByte) {
      awaitsFirstByte = false;
      startTimeout(server.options().readTimeoutMillis());
    }
  }

  private void startTimeout(long millis) {
    if (timeout != null) {
      timeout.cancel(false);
    }
    timeout = context.executor().schedule(this::onTimeout, millis, TimeUnit.MILLISECONDS);
  }

  private void onTimeout() {
    if (awaitsFirstByte) {
      context.close();
    } else {
      reject(FailureType.REQUEST_TIMEOUT, "The request was not received completely in time.");
    }
  }

  /** Rejects a request that the HTTP decoder could not decode. */
  private void rejectUndecodable(Throwable cause) {
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongFrameException;
    if (isTooLong) {
      reject(FailureType.HEADERS_TOO_LARGE, "The request line or headers are too large.");
    } else {
      reject(FailureType.REQUEST_MALFORMED, "The request is not valid HTTP/1.1.");
    }
  }

  private void rejectTooLarge() {
    reject(FailureType.REQUEST_TOO_LARGE, "The request body is larger than allowed.");
  }

  /**
   * Sends a failure and closes the connection, because the start of the next request cannot be
   * found in the bytes that follow.
   */
  private void reject(FailureType type, String detail) {
    if (closing) {
      return;
    }
    closing = true;
    discardIncompleteRequest();
    Failure failure = Failure.of(type, detail);
    server.reportRejection(failure);
    DefaultFullHttpResponse response = toResponse(new CallResult.Failed(failure));
    HttpUtil.setKeepAlive(response, false);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Cancels the timeout and discards the request that is being received. The body of a submitted
   * request remains reserved until its response is sent.
   */
  private void discardIncompleteRequest() {
    if (timeout != null) {
      timeout.cancel(false);
    }
    requestHead = null;
    if (!awaitsResponse) {
      releaseBody();
    }
  }

  private void releaseBody() {
    server.releaseBodyBytes(reservedBodyBytes);
    reservedBodyBytes = 0;
    requestBody = null;
  }

  private static DefaultFullHttpResponse toResponse(IncomingRequest request, CallResult result) {
    DefaultFullHttpResponse response = toResponse(result);
    if (request.method().equals("HEAD")) {
      // The response to a HEAD request has no body, but states the length of the body of a GET.
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, declaredContentLength(result));
      return (DefaultFullHttpResponse) response.replace(Unpooled.EMPTY_BUFFER);
    }
    return response;
  }

  /** Returns the Content-Length header of the backend server's answer, or 0 if it has none. */
  private static String declaredContentLength(CallResult result) {
    return result instanceof Answered answered
        ? answered.headers().stream()
            .filter(header -> header.name().equalsIgnoreCase("Content-Length"))
            .map(Header::value)
            .findFirst()
            .orElse("0")
        : "0";
  }

  private static DefaultFullHttpResponse toResponse(CallResult result) {
    if (result instanceof Answered answered) {
      DefaultFullHttpResponse response =
          createResponse(answered.status(), Unpooled.wrappedBuffer(answered.body()));
      for (Header header : answered.headers()) {
        if (!header.name().equalsIgnoreCase("Content-Length")) {
          response.headers().add(header.name(), header.value());
        }
      }
      return response;
    }
    Failure failure = ((CallResult.Failed) result).failure();
    ByteBuf body = Unpooled.copiedBuffer(Json.write(failure.toProblem()), StandardCharsets.UTF_8);
    DefaultFullHttpResponse response = createResponse(failure.type().httpStatus(), body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE);
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
    return response;
  }

  private static DefaultFullHttpResponse createResponse(int status, ByteBuf body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    HttpUtil.setContentLength(response, body.readableBytes());
    return response;
  }
}
