package org.sassafraslink.standins;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.sassafraslink.api.Digests;

/**
 * Simulates one service instance: it runs as many requests at a time as it has slots, queues the
 * others, and responds as the query parameters of each request specify.
 *
 * <p>Query parameters of the request:
 *
 * <ul>
 *   <li>{@code delay}: the time that the request occupies its slot, in ms
 *   <li>{@code size}: the length of the filler in the response body, in bytes
 *   <li>{@code token}: a text that is appended to the run log when the request starts
 *   <li>{@code fault}: {@code truncate} omits the end of the response and closes the connection,
 *       {@code double} sends the response twice, {@code reset} closes the connection without a
 *       response, and {@code other-id} responds with the id of another request
 * </ul>
 */
final class InstanceStandIn {
  private static final String REQUEST_ID_HEADER = "Sassafras-Request-Id";
  private static final int TRUNCATED_BYTES = 10;

  /** How to respond to a request, from its request id header and query parameters. */
  private record RequestedBehavior(
      String requestId, long delayMillis, int fillerLength, String token, String fault) {}

  /** A request that is queued or running. */
  private record PendingRequest(
      ChannelHandlerContext context, RequestedBehavior behavior, String uri, String body) {}

  private final String vm;
  private final int port;
  private final ScheduledExecutorService scheduler;
  private final RunLog runLog;
  private final AtomicLong interruptedRequests;
  private final Queue<PendingRequest> queue = new ArrayDeque<>();
  private int freeSlots;

  private InstanceStandIn(
      String vm,
      int port,
      int slots,
      ScheduledExecutorService scheduler,
      RunLog runLog,
      AtomicLong interruptedRequests) {
    this.vm = vm;
    this.port = port;
    this.freeSlots = slots;
    this.scheduler = scheduler;
    this.runLog = runLog;
    this.interruptedRequests = interruptedRequests;
  }

  static InstanceStandIn create(
      String vm,
      int port,
      int slots,
      ScheduledExecutorService scheduler,
      RunLog runLog,
      AtomicLong interruptedRequests) {
    return new InstanceStandIn(vm, port, slots, scheduler, runLog, interruptedRequests);
  }

  /** Creates the handler of one connection; it closes the connection on an exception. */
  SimpleChannelInboundHandler<FullHttpRequest> newHandler() {
    return new SimpleChannelInboundHandler<>() {
      @Override
      protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        runOrEnqueue(
            new PendingRequest(
                context, parseBehavior(request), request.uri(), request.content().toString(UTF_8)));
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
      }
    };
  }

  private static RequestedBehavior parseBehavior(FullHttpRequest request) {
    Map<String, List<String>> parameters = new QueryStringDecoder(request.uri()).parameters();
    String requestId = request.headers().get(REQUEST_ID_HEADER, "");
    return new RequestedBehavior(
        requestId,
        Long.parseLong(firstValue(parameters, "delay", "0")),
        Integer.parseInt(firstValue(parameters, "size", "0")),
        firstValue(parameters, "token", ""),
        firstValue(parameters, "fault", ""));
  }

  private static String firstValue(
      Map<String, List<String>> parameters, String name, String defaultValue) {
    return parameters.getOrDefault(name, List.of(defaultValue)).get(0);
  }

  private synchronized void runOrEnqueue(PendingRequest request) {
    if (freeSlots == 0) {
      queue.add(request);
      return;
    }
    freeSlots--;
    runRequest(request);
  }

  private void runRequest(PendingRequest request) {
    if (!request.behavior().token().isEmpty()) {
      runLog.append(request.behavior().token());
    }
    if (request.behavior().delayMillis() == 0) {
      completeRequest(request);
    } else {
      scheduler.schedule(
          () -> completeRequest(request), request.behavior().delayMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Writes the response and gives the slot to the next queued request, if there is one. Counts the
   * request as interrupted if its connection is closed.
   */
  private void completeRequest(PendingRequest request) {
    if (!request.context().channel().isActive()) {
      interruptedRequests.incrementAndGet();
    }
    writeResponse(request);
    PendingRequest next;
    synchronized (this) {
      next = queue.poll();
      if (next == null) {
        freeSlots++;
      }
    }
    if (next != null) {
      runRequest(next);
    }
  }

  private void writeResponse(PendingRequest request) {
    RequestedBehavior behavior = request.behavior();
    String requestId = behavior.fault().equals("other-id") ? "someone-else" : behavior.requestId();
    String body = responseBody(request);
    ByteBuf response =
        Unpooled.copiedBuffer(responseHead(requestId, body.getBytes(UTF_8).length) + body, UTF_8);
    switch (behavior.fault()) {
      case "reset" -> request.context().close();
      case "truncate" -> {
        ByteBuf truncated = response.readRetainedSlice(response.readableBytes() - TRUNCATED_BYTES);
        request.context().writeAndFlush(truncated).addListener(ChannelFutureListener.CLOSE);
        response.release();
      }
      case "double" -> {
        request.context().write(response.retainedDuplicate());
        request.context().writeAndFlush(response);
      }
      default -> request.context().writeAndFlush(response);
    }
  }

  private String responseBody(PendingRequest request) {
    String uri = request.uri().replace("\"", "");
    String filler = "x".repeat(request.behavior().fillerLength());
    return String.format(
        "{\"vm\":\"%s\",\"port\":%d,\"path\":\"%s\",\"body\":\"%s\",\"filler\":\"%s\"}\n",
        vm, port, uri, Digests.of(request.body()), filler);
  }

  private static String responseHead(String requestId, int contentLength) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + (requestId.isEmpty() ? "" : REQUEST_ID_HEADER + ": " + requestId + "\r\n")
        + "Content-Length: "
        + contentLength
        + "\r\n\r\n";
  }
}
