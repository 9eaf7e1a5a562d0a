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
 * One instance of a service: eight slots, a queue behind them, and answers with chosen faults.
 *
 * <p>Query parameters steer it: {@code delay} in ms, {@code size} in bytes, {@code token} to count
 * runs, and {@code fault}, one of {@code truncate}, {@code double}, {@code reset}, {@code
 * other-id}.
 */
final class InstanceStandIn {
  private static final String ID_HEADER = "Sassafras-Request-Id";
  private static final int TRUNCATED_BYTES = 10;

  /** What the parameters of a request ask for. */
  private record Order(String requestId, long delayMillis, int size, String token, String fault) {}

  private record Waiting(ChannelHandlerContext context, Order order, String path, String body) {}

  private final String vm;
  private final int port;
  private final ScheduledExecutorService timer;
  private final RunLog runs;
  private final AtomicLong cutInFlight;
  private final Queue<Waiting> waiting = new ArrayDeque<>();
  private int freeSlots;

  private InstanceStandIn(
      String vm,
      int port,
      int slots,
      ScheduledExecutorService timer,
      RunLog runs,
      AtomicLong cutInFlight) {
    this.vm = vm;
    this.port = port;
    this.freeSlots = slots;
    this.timer = timer;
    this.runs = runs;
    this.cutInFlight = cutInFlight;
  }

  static InstanceStandIn create(
      String vm,
      int port,
      int slots,
      ScheduledExecutorService timer,
      RunLog runs,
      AtomicLong cutInFlight) {
    return new InstanceStandIn(vm, port, slots, timer, runs, cutInFlight);
  }

  SimpleChannelInboundHandler<FullHttpRequest> newHandler() {
    return new SimpleChannelInboundHandler<>() {
      @Override
      protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        accept(
            new Waiting(context, parse(request), request.uri(), request.content().toString(UTF_8)));
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
      }
    };
  }

  private static Order parse(FullHttpRequest request) {
    Map<String, List<String>> parameters = new QueryStringDecoder(request.uri()).parameters();
    String id = request.headers().get(ID_HEADER, "");
    return new Order(
        id,
        Long.parseLong(first(parameters, "delay", "0")),
        Integer.parseInt(first(parameters, "size", "0")),
        first(parameters, "token", ""),
        first(parameters, "fault", ""));
  }

  private static String first(Map<String, List<String>> map, String name, String fallback) {
    return map.getOrDefault(name, List.of(fallback)).get(0);
  }

  private synchronized void accept(Waiting work) {
    if (freeSlots == 0) {
      waiting.add(work);
      return;
    }
    freeSlots--;
    run(work);
  }

  private void run(Waiting work) {
    if (!work.order().token().isEmpty()) {
      runs.add(work.order().token());
    }
    if (work.order().delayMillis() == 0) {
      finish(work);
    } else {
      timer.schedule(() -> finish(work), work.order().delayMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void finish(Waiting work) {
    if (!work.context().channel().isActive()) {
      cutInFlight.incrementAndGet();
    }
    answer(work);
    Waiting next;
    synchronized (this) {
      next = waiting.poll();
      if (next == null) {
        freeSlots++;
      }
    }
    if (next != null) {
      run(next);
    }
  }

  private void answer(Waiting work) {
    Order order = work.order();
    String id = order.fault().equals("other-id") ? "someone-else" : order.requestId();
    String body = body(work);
    ByteBuf whole = Unpooled.copiedBuffer(head(id, body.getBytes(UTF_8).length) + body, UTF_8);
    switch (order.fault()) {
      case "reset" -> work.context().close();
      case "truncate" -> {
        ByteBuf part = whole.readRetainedSlice(whole.readableBytes() - TRUNCATED_BYTES);
        work.context().writeAndFlush(part).addListener(ChannelFutureListener.CLOSE);
        whole.release();
      }
      case "double" -> {
        work.context().write(whole.retainedDuplicate());
        work.context().writeAndFlush(whole);
      }
      default -> work.context().writeAndFlush(whole);
    }
  }

  private String body(Waiting work) {
    String path = work.path().replace("\"", "");
    String filler = "x".repeat(work.order().size());
    return String.format(
        "{\"vm\":\"%s\",\"port\":%d,\"path\":\"%s\",\"body\":\"%s\",\"filler\":\"%s\"}\n",
        vm, port, path, Digests.of(work.body()), filler);
  }

  private static String head(String id, int length) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + (id.isEmpty() ? "" : ID_HEADER + ": " + id + "\r\n")
        + "Content-Length: "
        + length
        + "\r\n\r\n";
  }
}
