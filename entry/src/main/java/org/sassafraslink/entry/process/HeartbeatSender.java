package org.sassafraslink.entry.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.sassafraslink.api.fleet.FleetClock;

/**
 * Sends heartbeats, while this process holds the scheduling lease, to some of the processes that
 * have requested them: those that would take the lease over first.
 *
 * <p>A request must be repeated, since a process whose VM has lost power does not close its
 * connection. Confined to the event loop.
 */
final class HeartbeatSender {
  /** The byte that is a heartbeat. */
  static final byte HEARTBEAT_MESSAGE = 2;

  /** Interval in which a process repeats its request, in ms. */
  static final long REQUEST_INTERVAL_MILLIS = 4_000;

  /** The length of a request, which is that of a job's id, in bytes. */
  private static final int REQUEST_BYTES = 16;

  private static final String REQUEST_PREFIX = "heartbeats";
  private static final long MAX_DELAY_IN_REQUEST_MILLIS = 999_999;
  private static final long SEND_INTERVAL_MILLIS = 200;
  private static final long REQUEST_VALIDITY_MILLIS = 10_000;

  /** Bound on the processes that get heartbeats; others find out when the lease expires. */
  private static final int MAX_RECEIVERS = 6;

  /** A request of a process that would take the lease over after {@code takeoverDelayMillis}. */
  private record Request(long takeoverDelayMillis, long validUntilMillis) {}

  private final EventLoop eventLoop;
  private final FleetClock clock;
  private final Map<Channel, Request> requestByChannel = new HashMap<>();
  private Future<?> sending;

  HeartbeatSender(EventLoop eventLoop, FleetClock clock) {
    this.eventLoop = eventLoop;
    this.clock = clock;
  }

  /** Returns the message that requests heartbeats. */
  static String encodeRequest(long takeoverDelayMillis) {
    long delayMillis = Math.min(takeoverDelayMillis, MAX_DELAY_IN_REQUEST_MILLIS);
    return String.format(Locale.ROOT, "%s%06d", REQUEST_PREFIX, delayMillis);
  }

  /** Returns the takeover delay in a request, in ms; empty if the message is none. */
  static OptionalLong decodeRequest(String message) {
    if (message.length() != REQUEST_BYTES || !message.startsWith(REQUEST_PREFIX)) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(message.substring(REQUEST_PREFIX.length())));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  void addRequest(Channel channel, long takeoverDelayMillis, long nowMillis) {
    requestByChannel.put(
        channel, new Request(takeoverDelayMillis, nowMillis + REQUEST_VALIDITY_MILLIS));
  }

  void removeRequest(Channel channel) {
    requestByChannel.remove(channel);
  }

  /** Starts or ends the heartbeats. */
  void setHolding(boolean isHolding) {
    if (sending != null) {
      sending.cancel(false);
      sending = null;
    }
    if (isHolding) {
      sending =
          eventLoop.scheduleWithFixedDelay(
              () -> sendHeartbeats(clock.monotonicMillis()),
              0,
              SEND_INTERVAL_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void sendHeartbeats(long nowMillis) {
    requestByChannel.values().removeIf(request -> nowMillis >= request.validUntilMillis());
    requestByChannel.entrySet().stream()
        .sorted(Comparator.comparingLong(entry -> entry.getValue().takeoverDelayMillis()))
        .limit(MAX_RECEIVERS)
        .map(Map.Entry::getKey)
        .filter(Channel::isWritable)
        .forEach(
            channel ->
                channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {HEARTBEAT_MESSAGE})));
  }
}
