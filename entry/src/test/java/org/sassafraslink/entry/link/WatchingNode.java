package org.sassafraslink.entry.link;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.ConfigWatcher;
import org.sassafraslink.platform.fleet.AsyncHttpClient;
import org.sassafraslink.platform.fleet.HttpRowStore;
import org.sassafraslink.scheduler.ResponseTrackingRowStore;

/** A configuration watcher that reads a store over sockets, as in a process on an entry VM. */
final class WatchingNode {
  /** The bound of the users on the time from an acknowledgement to the version in force. */
  static final long CONFIG_BOUND_MILLIS = 3_000;

  private static final long POLL_MILLIS = 5;

  private static final class MonotonicClock implements FleetClock {
    @Override
    public long monotonicMillis() {
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMillis() {
      return System.currentTimeMillis();
    }
  }

  /** A log line, and when it was written as of {@link System#nanoTime}. */
  record LogLine(long nanos, String text) {}

  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop eventLoop = eventLoopGroup.next();
  private final FleetClock clock = new MonotonicClock();
  private final NavigableMap<Long, Long> inForceNanosByVersion = new ConcurrentSkipListMap<>();
  private final List<Long> inForceVersions = new CopyOnWriteArrayList<>();
  private final List<LogLine> logLines = new CopyOnWriteArrayList<>();
  private final ConfigWatcher watcher;

  private WatchingNode(InetSocketAddress storeAddress) {
    watcher =
        ConfigWatcher.create(
            new ResponseTrackingRowStore(
                HttpRowStore.create(storeAddress, AsyncHttpClient.create(eventLoop), clock), clock),
            clock,
            EventLog.create(
                "n", clock::wallMillis, line -> logLines.add(new LogLine(System.nanoTime(), line))),
            (task, millis) -> eventLoop.schedule(task, millis, TimeUnit.MILLISECONDS),
            Optional.of(CONFIG_BOUND_MILLIS),
            this::recordInForce,
            waves -> {},
            evacuations -> {});
  }

  static WatchingNode start(InetSocketAddress storeAddress) {
    WatchingNode node = new WatchingNode(storeAddress);
    node.eventLoop.execute(node.watcher::start);
    return node;
  }

  private void recordInForce(FleetSettings settings) {
    inForceVersions.add(settings.version());
    inForceNanosByVersion.put(settings.version(), System.nanoTime());
  }

  /** Returns when the version or a later one was in force; empty if none is yet. */
  Optional<Long> inForceNanos(long version) {
    return Optional.ofNullable(inForceNanosByVersion.ceilingEntry(version))
        .map(entry -> entry.getValue());
  }

  /** Returns the versions that were in force, in their order. */
  List<Long> inForceVersions() {
    return inForceVersions;
  }

  /** Waits until the version or a later one is in force; returns false after {@code millis}. */
  boolean awaitInForce(long version, long millis) throws InterruptedException {
    return await(() -> inForceNanos(version).isPresent(), millis);
  }

  private static boolean await(java.util.function.BooleanSupplier condition, long millis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        return false;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return true;
  }

  /** Returns the first line of an event that was written at {@code fromNanos} or later. */
  Optional<LogLine> firstLine(String event, long fromNanos) {
    return logLines.stream()
        .filter(line -> line.nanos() >= fromNanos && line.text().contains('"' + event + '"'))
        .findFirst();
  }

  /** Returns whether a property of the watcher holds, evaluated on its thread. */
  boolean test(Predicate<ConfigWatcher> property) throws Exception {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    eventLoop.execute(() -> result.complete(property.test(watcher)));
    return result.get(1, TimeUnit.MINUTES);
  }

  long nowMillis() {
    return clock.monotonicMillis();
  }

  List<LogLine> logLines() {
    return logLines;
  }

  void stop() {
    eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
