package org.sassafraslink.entry.connection;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.rules.connection.CloseOrder;
import org.sassafraslink.rules.connection.HeldBytesLimit;

/**
 * Holds the open connections of callers and counts the bytes that the process holds for them, and
 * enforces the limits on both.
 *
 * <p>Confined to one event loop.
 */
final class ConnectionRegistry {
  /** Interval at which timeouts are checked and counts are logged, in ms. */
  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  /** Part of the limit on bytes that is freed at a time, so that the order is computed rarely. */
  private static final long FREED_PART = 8;

  /** Part of the places that is freed at a time. */
  private static final int FREED_PLACES_PART = 64;

  /** Why a request was refused or a connection closed before a request was answered. */
  enum Reason {
    /** A whole request was refused because of the bytes held for others. */
    REFUSED,
    /** An unfinished request, or requests sent ahead, were given up to free bytes. */
    BYTES,
    /** The connection was closed to make room for a new one. */
    PLACE,
    /** No place could be made for a new connection. */
    NO_PLACE,
    /** An unfinished request made no progress. */
    STALLED,
    /** An unfinished request took too long. */
    SLOW,
    /** The caller did not take a response. */
    UNREAD
  }

  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final CallerLimits limits;
  private final HeldBytesLimit heldBytesLimit;
  private final FleetClock clock;
  private final EventLog log;
  private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);
  private ImmutableMap<String, Long> publishedCounts = ImmutableMap.of();
  private boolean hasUnloggedCounts;
  private boolean checkScheduled;

  /** Whether bytes are being freed, which itself holds bytes for the refusals. */
  private boolean freeingBytes;

  /** Bytes held for requests that have begun and for responses that were not taken. */
  private long bytesInProgress;

  /** Bytes held for requests that have not begun, complete or not. */
  private long releasableBytes;

  ConnectionRegistry(CallerLimits limits, FleetClock clock, EventLog log) {
    this.limits = limits;
    this.heldBytesLimit = new HeldBytesLimit(limits.maxHeldBytes());
    this.clock = clock;
    this.log = log;
  }

  CallerLimits limits() {
    return limits;
  }

  /** Returns the bytes that are held for callers. */
  long heldBytes() {
    return bytesInProgress + releasableBytes;
  }

  int openConnections() {
    return connections.size();
  }

  /** Returns how often a request was refused or a connection closed, by reason. Thread-safe. */
  ImmutableMap<String, Long> counts() {
    return publishedCounts;
  }

  ImmutableList<CallerConnection> connections() {
    return ImmutableList.copyOf(connections);
  }

  /**
   * Adds a connection and closes less useful ones if there are too many. If all others are in use,
   * closes the new one.
   */
  void add(CallerConnection connection, EventLoop eventLoop) {
    int excess = connections.size() + 1 - limits.maxConnections();
    if (excess > 0) {
      int places = Math.max(excess, limits.maxConnections() / FREED_PLACES_PART);
      ImmutableList<CallerConnection> chosen =
          CloseOrder.toFreePlaces(snapshot(), places, clock.monotonicMillis());
      chosen.forEach(CallerConnection::closeForPlace);
      count(Reason.PLACE, chosen.size());
      if (chosen.size() < excess) {
        count(Reason.NO_PLACE, 1);
        connection.closeForPlace();
        return;
      }
    }
    connections.add(connection);
    scheduleCheck(eventLoop);
  }

  void remove(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Changes the bytes held for requests that have not begun; frees bytes if they are too many. */
  void changeReleasableBytes(long difference) {
    releasableBytes += difference;
    if (difference > 0) {
      freeBytes();
    }
  }

  /**
   * Reserves bytes for a request that was read whole.
   *
   * @return whether the request may begin
   */
  boolean beginRequest(long bytes) {
    if (!heldBytesLimit.admits(bytes, bytesInProgress)) {
      count(Reason.REFUSED, 1);
      return false;
    }
    changeBytesInProgress(bytes);
    return true;
  }

  /** Changes the bytes held for requests in progress and for responses. */
  void changeBytesInProgress(long difference) {
    bytesInProgress += difference;
    if (difference > 0) {
      freeBytes();
    }
  }

  private void freeBytes() {
    long excess = heldBytes() - limits.maxHeldBytes();
    if (excess <= 0 || releasableBytes == 0 || freeingBytes) {
      return;
    }
    freeingBytes = true;
    long bytes = excess + limits.maxHeldBytes() / FREED_PART;
    ImmutableList<CallerConnection> chosen =
        CloseOrder.toFreeBytes(snapshot(), bytes, clock.monotonicMillis());
    chosen.forEach(CallerConnection::releaseBytes);
    count(Reason.BYTES, chosen.size());
    freeingBytes = false;
  }

  private ImmutableList<CloseOrder.Connection<CallerConnection>> snapshot() {
    return connections.stream()
        .map(CallerConnection::snapshot)
        .collect(ImmutableList.toImmutableList());
  }

  private void count(Reason reason, long times) {
    if (times > 0) {
      counts.merge(reason, times, Long::sum);
      hasUnloggedCounts = true;
    }
  }

  private void scheduleCheck(EventLoop eventLoop) {
    if (!checkScheduled) {
      checkScheduled = true;
      eventLoop.schedule(
          () -> {
            checkScheduled = false;
            check();
            if (!connections.isEmpty()) {
              scheduleCheck(eventLoop);
            }
          },
          CHECK_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    long nowMillis = clock.monotonicMillis();
    for (CallerConnection connection : connections()) {
      connection.checkTimeouts(nowMillis).ifPresent(reason -> count(reason, 1));
    }
    if (hasUnloggedCounts) {
      hasUnloggedCounts = false;
      ImmutableMap.Builder<String, Long> published = ImmutableMap.builder();
      counts.forEach((reason, times) -> published.put(label(reason), times));
      publishedCounts = published.buildOrThrow();
      log.log(
          "callers.limited",
          "counts",
          publishedCounts,
          "heldBytes",
          heldBytes(),
          "connections",
          connections.size());
    }
  }

  private static String label(Reason reason) {
    return reason.name().toLowerCase(Locale.ROOT);
  }
}
