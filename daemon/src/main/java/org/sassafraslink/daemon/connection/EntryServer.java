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
 * Accepts callers' HTTP requests at {@code /SERVICE/QUEUE/...} and passes them to the dispatcher.
 *
 * <p>Uses Netty's HTTP codec rather than Jooby, because the body and the headers that are forwarded
 * must reach the backend server unchanged: Jooby decodes form bodies and merges repeated headers
 * before a handler receives them.
 */
public final class EntryServer {
  private static final int IO_THREADS = 2;
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Connections that the operating system may hold until they are accepted. */
  private static final int ACCEPT_BACKLOG = 1_024;

  private static final int MIN_READ_BUFFER_BYTES = 1_024;
  private static final int INITIAL_READ_BUFFER_BYTES = 4_096;
  private static final int MAX_READ_BUFFER_BYTES = 32_768;
  private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

  /**
   * The functions of the rest of the process that the server calls.
   *
   * @param activeConfig returns the configuration to apply; empty if it was not verified within the
   *     lease
   * @param isAccepting returns whether new requests are accepted; false once the daemon is stopping
   * @param monotonicClock returns the monotonic time, in ms
   * @param dispatch passes a call that needs no claim to the dispatcher
   * @param claimAndDispatch claims a call's request id, which is the second argument, and then
   *     passes the call to the dispatcher
   * @param onAnswered is called with each call that a backend server answered, and the answer
   * @param onResult is called with the result of each request, including rejected ones
   */
  public record Dependencies(
      Supplier<Optional<ActiveConfig>> activeConfig,
      Supplier<Boolean> isAccepting,
      LongSupplier monotonicClock,
      Consumer<PendingCall> dispatch,
      BiConsumer<PendingCall, String> claimAndDispatch,
      BiConsumer<PendingCall, Answered> onAnswered,
      Consumer<CallResult> onResult) {}

  /**
   * The address of the server and its limits.
   *
   * @param maxRequestBytes largest body of a request
   * @param maxHeaderBytes largest total size of a request's headers
   * @param maxBufferedBytes largest total size of the request bodies that are held in memory
   * @param maxConnections largest number of open connections; further ones are closed immediately
   * @param readTimeoutMillis longest time from the first byte of a request to its last
   * @param idleTimeoutMillis longest wait for the first byte of a request; must be longer than
   *     callers keep idle connections, so that the server does not close a connection on which a
   *     caller is sending a request
   */
  public record Options(
      String host,
      int port,
      int maxRequestBytes,
      int maxHeaderBytes,
      long maxBufferedBytes,
      int maxConnections,
      long readTimeoutMillis,
      long idleTimeoutMillis) {}

  private final Dependencies dependencies;
  private final Options options;
  private final AtomicLong bufferedBytes = new AtomicLong();
  private final AtomicLong openConnections = new AtomicLong();

  /** The number of accepted requests that have not been answered. */
  private final AtomicLong unansweredRequests = new AtomicLong();

  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private Channel serverChannel;

  private EntryServer(Dependencies dependencies, Options options) {
    this.dependencies = dependencies;
    this.options = options;
  }

  /** Starts a server that listens on the address in {@code options}. */
  public static EntryServer start(Dependencies dependencies, Options options) {
    EntryServer server = new EntryServer(dependencies, options);
    server.listen();
    return server;
  }

  /** Returns the number of accepted requests that have not been answered. */
  public long unansweredRequests() {
    return unansweredRequests.get();
  }

  /** Returns the total size of the request bodies that are held in memory, in bytes. */
  public long bufferedBytes() {
    return bufferedBytes.get();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    serverChannel.close().syncUninterruptibly();
    eventLoopGroup
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .awaitUninterruptibly();
  }

  Options options() {
    return options;
  }

  boolean isStopping() {
    return !dependencies.isAccepting().get();
  }

  /**
   * Reserves {@code bytes} of the memory for request bodies. Returns false if that would exceed
   * {@link Options#maxBufferedBytes}.
   */
  boolean reserveBodyBytes(int bytes) {
    if (bufferedBytes.addAndGet(bytes) > options.maxBufferedBytes()) {
      bufferedBytes.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  void releaseBodyBytes(int bytes) {
    bufferedBytes.addAndGet(-bytes);
  }

  /** Passes the failure of a request that was not submitted to {@link Dependencies#onResult}. */
  void reportRejection(Failure failure) {
    dependencies.onResult().accept(new CallResult.Failed(failure));
  }

  void onConnectionClosed() {
    openConnections.decrementAndGet();
  }

  /**
   * Submits a complete request to the dispatcher, or rejects it.
   *
   * @param onResult is called once with the result, on any thread
   * @return the submitted call, or null if the request was rejected
   */
  PendingCall submit(IncomingRequest request, Consumer<CallResult> onResult) {
    Either<Failure, PendingCall> admission =
        isStopping()
            ? Either.left(
                Failure.of(
                    FailureType.SHUTTING_DOWN,
                    "This daemon is stopping; send the request to another one."))
            : CallAdmission.admit(
                request,
                dependencies.activeConfig().get(),
                dependencies.monotonicClock().getAsLong());
    if (admission.isLeft()) {
      reportRejection(admission.getLeft());
      onResult.accept(new CallResult.Failed(admission.getLeft()));
      return null;
    }
    PendingCall call = admission.get();
    unansweredRequests.incrementAndGet();
    call.result().thenAccept(result -> completeRequest(call, result, onResult));
    Optional<String> requestId = call.request().requestId();
    if (requestId.isPresent() && !call.isIdempotent()) {
      dependencies.claimAndDispatch().accept(call, requestId.get());
    } else {
      dependencies.dispatch().accept(call);
    }
    return call;
  }

  private void completeRequest(PendingCall call, CallResult result, Consumer<CallResult> onResult) {
    unansweredRequests.decrementAndGet();
    dependencies.onResult().accept(result);
    if (result instanceof Answered answered) {
      dependencies.onAnswered().accept(call, answered);
    }
    onResult.accept(result);
  }

  private void listen() {
    serverChannel =
        new ServerBootstrap()
            .group(eventLoopGroup)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // With one read per event, at most one buffer of further pipelined requests is decoded
            // before a connection stops reading.
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                        MIN_READ_BUFFER_BYTES, INITIAL_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES)
                    .maxMessagesPerRead(1))
            // A caller may close its output side and still wait for the answer.
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel connection) {
                    configureConnection(connection);
                  }
                })
            .bind(options.host(), options.port())
            .syncUninterruptibly()
            .channel();
  }

  /** Installs the handlers of a new connection, or closes it if there are too many. */
  private void configureConnection(Channel connection) {
    if (openConnections.incrementAndGet() > options.maxConnections()) {
      openConnections.decrementAndGet();
      connection.close();
      return;
    }
    CallerConnection callerConnection = new CallerConnection(this);
    connection
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext context, Object bytes) {
                callerConnection.onBytesReceived();
                context.fireChannelRead(bytes);
              }
            })
        .addLast(
            new HttpServerCodec(MAX_REQUEST_LINE_BYTES, options.maxHeaderBytes(), MAX_CHUNK_BYTES))
        .addLast(callerConnection);
  }
}
