package org.sassafraslink.daemon.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.daemon.request.CallResult;
import org.sassafraslink.daemon.request.CallResult.Answered;
import org.sassafraslink.daemon.request.PendingCall;
import org.sassafraslink.daemon.version.ActiveConfig;

/**
 * Takes the requests of callers at {@code /SERVICE/QUEUE/...}.
 *
 * <p>It is built on Netty's HTTP codec and not on Jooby, because a request must be passed on byte
 * for byte: Jooby decodes form bodies and merges repeated headers before a handler sees them.
 */
public final class EntryServer {
  private static final int IO_THREADS = 2;
  private static final int MAX_INITIAL_LINE = 8_192;
  private static final int MAX_CHUNK = 16_384;
  private static final int BACKLOG = 1_024;
  private static final int MIN_READ = 1_024;
  private static final int FIRST_READ = 4_096;
  private static final int MAX_READ = 32_768;
  private static final long STOP_SECONDS = 2;

  /**
   * What the server needs from the rest of the process.
   *
   * @param dispatcher takes a call that needs no claim
   * @param claims takes a call with its request id
   * @param onAnswered hears of each whole answer
   */
  public record Surroundings(
      Supplier<Optional<ActiveConfig>> config,
      Supplier<Boolean> accepting,
      LongSupplier clock,
      Consumer<PendingCall> dispatcher,
      BiConsumer<PendingCall, String> claims,
      BiConsumer<PendingCall, Answered> onAnswered,
      Consumer<CallResult> onResult) {}

  /**
   * The bounds of the server.
   *
   * @param readTimeoutMillis longest time from the first byte of a request to its last
   * @param idleTimeoutMillis longest wait for a first byte; longer than callers keep connections,
   *     so that no request meets the close of its connection
   */
  public record Limits(
      String host,
      int port,
      int maxRequestBytes,
      int maxHeaderBytes,
      long maxBufferedBytes,
      int maxConnections,
      long readTimeoutMillis,
      long idleTimeoutMillis) {}

  private final Surroundings surroundings;
  private final Limits limits;
  private final AtomicLong bufferedBytes = new AtomicLong();
  private final AtomicLong connections = new AtomicLong();
  private final AtomicLong waiting = new AtomicLong();
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private Channel channel;

  private EntryServer(Surroundings surroundings, Limits limits) {
    this.surroundings = surroundings;
    this.limits = limits;
  }

  /** Starts to listen. */
  public static EntryServer start(Surroundings surroundings, Limits limits) {
    EntryServer server = new EntryServer(surroundings, limits);
    server.listen();
    return server;
  }

  /** The number of requests that have not been answered. */
  public long waiting() {
    return waiting.get();
  }

  /** The bytes of request bodies held now. */
  public long bufferedBytes() {
    return bufferedBytes.get();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    channel.close().syncUninterruptibly();
    loops.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  Limits limits() {
    return limits;
  }

  boolean isStopping() {
    return !surroundings.accepting().get();
  }

  /** Reserves room for bytes of a request body; false if there is none. */
  boolean reserve(int bytes) {
    if (bufferedBytes.addAndGet(bytes) > limits.maxBufferedBytes()) {
      bufferedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void release(int bytes) {
    bufferedBytes.addAndGet(-bytes);
  }

  void onRefused(Failure failure) {
    surroundings.onResult().accept(new CallResult.Failed(failure));
  }

  void onClose() {
    connections.decrementAndGet();
  }

  /**
   * Takes a whole request; {@code onResult} runs once, on any thread. Returns the call, or null.
   */
  PendingCall accept(IncomingRequest request, Consumer<CallResult> onResult) {
    Either<Failure, PendingCall> admitted =
        isStopping()
            ? Either.left(
                Failure.of(FailureType.SHUTTING_DOWN, "This daemon stops; ask another one."))
            : CallAdmission.admit(
                request, surroundings.config().get(), surroundings.clock().getAsLong());
    if (admitted.isLeft()) {
      onRefused(admitted.getLeft());
      onResult.accept(new CallResult.Failed(admitted.getLeft()));
      return null;
    }
    PendingCall call = admitted.get();
    waiting.incrementAndGet();
    call.result().thenAccept(result -> finish(call, result, onResult));
    Optional<String> requestId = call.request().requestId();
    if (requestId.isPresent() && !call.isIdempotent()) {
      surroundings.claims().accept(call, requestId.get());
    } else {
      surroundings.dispatcher().accept(call);
    }
    return call;
  }

  private void finish(PendingCall call, CallResult result, Consumer<CallResult> onResult) {
    waiting.decrementAndGet();
    surroundings.onResult().accept(result);
    if (result instanceof Answered answered) {
      surroundings.onAnswered().accept(call, answered);
    }
    onResult.accept(result);
  }

  private void listen() {
    channel =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // One read at a time bounds what of pipelined requests is decoded ahead.
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(MIN_READ, FIRST_READ, MAX_READ)
                    .maxMessagesPerRead(1))
            // A caller may close its sending side and still wait for the answer.
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel connection) {
                    open(connection);
                  }
                })
            .bind(limits.host(), limits.port())
            .syncUninterruptibly()
            .channel();
  }

  private void open(Channel connection) {
    if (connections.incrementAndGet() > limits.maxConnections()) {
      connections.decrementAndGet();
      connection.close();
      return;
    }
    CallerConnection caller = new CallerConnection(this);
    connection
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                caller.onBytes();
                context.fireChannelRead(bytes);
              }
            })
        .addLast(new HttpServerCodec(MAX_INITIAL_LINE, limits.maxHeaderBytes(), MAX_CHUNK))
        .addLast(caller);
  }
}
