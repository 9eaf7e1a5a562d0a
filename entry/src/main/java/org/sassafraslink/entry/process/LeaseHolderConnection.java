package org.sassafraslink.entry.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.FixedLengthFrameDecoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.scheduler.LeaseHolderWatch;

/**
 * Keeps a TCP connection to the process that holds the scheduling lease, to detect early that this
 * process has ended or has released the lease.
 *
 * <p>When the connection breaks, it is opened again. If that is refused, nothing listens at the
 * address any more, so the process has ended. If it succeeds, the new connection is watched; if it
 * times out, it is tried again. Neither shows anything about the lease, so this process then waits
 * for the lease to expire. The holder sends one byte when it releases the lease, and another one as
 * a heartbeat while it holds it (see {@link HeartbeatSender}).
 *
 * <p>In the other direction, each process announces the jobs that it has accepted, by their ids.
 * Such an announcement may be lost.
 */
final class LeaseHolderConnection implements LeaseHolderWatch {
  /** The byte that the holder sends when it releases the lease. */
  private static final byte RELEASED_MESSAGE = 1;

  /** The length of a job's id, in bytes. */
  private static final int JOB_ID_BYTES = 16;

  private static final long NO_HEARTBEAT = Long.MIN_VALUE;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Pause before connecting again after a failure other than a refusal, in ms. */
  private static final long RETRY_PAUSE_MILLIS = 500;

  private final EventLoop eventLoop;
  private final Executor schedulerExecutor;
  private final FleetClock clock;
  private final Consumer<String> onJobAnnounced;
  private final Bootstrap bootstrap;
  private final HeartbeatSender heartbeats;

  /** The request for heartbeats that this process sends to the one that it watches. */
  private final byte[] heartbeatRequest;

  /** Incremented at each {@link #watch}, so that events of earlier connections can be ignored. */
  private long watchGeneration;

  private Channel holderChannel;

  /** Whether the holder is connected and has not announced that it gives the lease up. */
  private volatile boolean holderActive;

  /** When the last heartbeat arrived, monotonic ms; {@link #NO_HEARTBEAT} if none has. */
  private volatile long lastHeartbeatMillis = NO_HEARTBEAT;

  private Runnable onHolderGone = () -> {};

  /** The connections of processes that watch this one. */
  private final Set<Channel> watcherChannels = new HashSet<>();

  /**
   * Creates an instance that is not connected.
   *
   * @param takeoverDelayMillis how long this process leaves a free lease to others
   * @param onJobAnnounced receives, on {@code schedulerExecutor}, the id of each job that this or
   *     another process announces to this one
   */
  LeaseHolderConnection(
      EventLoop eventLoop,
      Executor schedulerExecutor,
      FleetClock clock,
      long takeoverDelayMillis,
      Consumer<String> onJobAnnounced) {
    this.eventLoop = eventLoop;
    this.schedulerExecutor = schedulerExecutor;
    this.clock = clock;
    this.onJobAnnounced = onJobAnnounced;
    this.heartbeats = new HeartbeatSender(eventLoop, clock);
    this.heartbeatRequest =
        HeartbeatSender.encodeRequest(takeoverDelayMillis).getBytes(StandardCharsets.US_ASCII);
    eventLoop.scheduleWithFixedDelay(
        this::requestHeartbeats,
        HeartbeatSender.REQUEST_INTERVAL_MILLIS,
        HeartbeatSender.REQUEST_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    this.bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new HolderChannelHandler());
  }

  /** Listens on {@code address} for other processes that watch this one. */
  void listen(EventLoopGroup eventLoopGroup, InetSocketAddress address) {
    new ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new FixedLengthFrameDecoder(JOB_ID_BYTES), new WatcherChannelHandler());
              }
            })
        .bind(address)
        .syncUninterruptibly();
  }

  @Override
  public void watch(String address, Runnable onGone) {
    eventLoop.execute(
        () -> {
          watchGeneration++;
          holderActive = false;
          lastHeartbeatMillis = NO_HEARTBEAT;
          onHolderGone = onGone;
          if (holderChannel != null) {
            holderChannel.close();
            holderChannel = null;
          }
          int portSeparator = address.lastIndexOf(':');
          if (portSeparator > 0) {
            int port = Integer.parseInt(address.substring(portSeparator + 1));
            connectToHolder(
                new InetSocketAddress(address.substring(0, portSeparator), port),
                onGone,
                watchGeneration);
          }
        });
  }

  @Override
  public OptionalLong lastHeartbeatMillis() {
    long millis = lastHeartbeatMillis;
    return millis == NO_HEARTBEAT ? OptionalLong.empty() : OptionalLong.of(millis);
  }

  @Override
  public void setHolding(boolean isHolding) {
    eventLoop.execute(() -> heartbeats.setHolding(isHolding));
  }

  private void requestHeartbeats() {
    if (holderChannel != null && holderChannel.isWritable()) {
      holderChannel.writeAndFlush(Unpooled.wrappedBuffer(heartbeatRequest));
    }
  }

  @Override
  public void announceRelease() {
    eventLoop.execute(
        () ->
            watcherChannels.forEach(
                channel ->
                    channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {RELEASED_MESSAGE}))));
  }

  /**
   * Returns whether another process probably holds the lease, and so reaches the store, even if
   * this one does not. Thread-safe.
   */
  boolean isHolderActive() {
    return holderActive;
  }

  /** Announces to the lease's holder, which may be this process, that a job was accepted. */
  void announceJob(String jobId) {
    schedulerExecutor.execute(() -> onJobAnnounced.accept(jobId));
    byte[] message = jobId.getBytes(StandardCharsets.US_ASCII);
    if (message.length == JOB_ID_BYTES) {
      eventLoop.execute(
          () -> {
            if (holderChannel != null && holderChannel.isWritable()) {
              holderChannel.writeAndFlush(Unpooled.wrappedBuffer(message));
            }
          });
    }
  }

  private void connectToHolder(
      InetSocketAddress address, Runnable onGone, long expectedGeneration) {
    if (expectedGeneration != watchGeneration) {
      return;
    }
    ChannelFuture connecting = bootstrap.connect(address);
    connecting.addListener(
        future -> {
          if (expectedGeneration != watchGeneration) {
            connecting.channel().close();
          } else if (future.isSuccess()) {
            holderChannel = connecting.channel();
            holderActive = true;
            requestHeartbeats();
            holderChannel
                .closeFuture()
                .addListener(
                    closed -> {
                      if (expectedGeneration == watchGeneration) {
                        holderActive = false;
                      }
                      connectToHolder(address, onGone, expectedGeneration);
                    });
          } else if (future.cause() instanceof ConnectException && isRefusal(future.cause())) {
            schedulerExecutor.execute(onGone);
          } else {
            eventLoop.schedule(
                () -> connectToHolder(address, onGone, expectedGeneration),
                RETRY_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS);
          }
        });
  }

  /**
   * Returns whether the connection was refused. Only the message shows that, because a connection
   * that timed out fails with the same type of exception.
   */
  private static boolean isRefusal(Throwable cause) {
    return cause.getMessage() != null && cause.getMessage().contains("refused");
  }

  /** Handles connections of processes that watch this one. */
  private final class WatcherChannelHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      watcherChannels.add(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      watcherChannels.remove(ctx.channel());
      heartbeats.removeRequest(ctx.channel());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf frame = (ByteBuf) message;
      String text = frame.toString(StandardCharsets.US_ASCII);
      frame.release();
      HeartbeatSender.decodeRequest(text)
          .ifPresentOrElse(
              delayMillis ->
                  heartbeats.addRequest(ctx.channel(), delayMillis, clock.monotonicMillis()),
              () -> schedulerExecutor.execute(() -> onJobAnnounced.accept(text)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Handles the connection to the process that this one watches. */
  @ChannelHandler.Sharable
  private final class HolderChannelHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf received = (ByteBuf) message;
      boolean isReleased = received.indexOf(0, received.writerIndex(), RELEASED_MESSAGE) >= 0;
      received.release();
      if (ctx.channel() != holderChannel) {
        return;
      }
      if (isReleased) {
        holderActive = false;
        schedulerExecutor.execute(onHolderGone);
      } else {
        lastHeartbeatMillis = clock.monotonicMillis();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
