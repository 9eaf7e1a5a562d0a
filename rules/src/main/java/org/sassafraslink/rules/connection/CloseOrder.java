package org.sassafraslink.rules.connection;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.function.Predicate;

/**
 * Decides which connections of callers give up their bytes or their place first when a server holds
 * as much for all of them as it may.
 *
 * <p>A request that has been read whole is never chosen: it keeps its place until it is answered.
 */
public final class CloseOrder {
  /** A connection without progress for this long counts as stalled, in ms. */
  private static final long STALLED_AFTER_MILLIS = 1_000;

  /** What a connection is doing. */
  public enum Activity {
    /** No byte of a further request has arrived. */
    IDLE,
    /** A request has arrived in part. */
    RECEIVING,
    /** A request has been read whole, and its response has not been written. */
    ANSWERING,
    /** A response has been written, and the caller has not taken all of it. */
    SENDING,
    /** The last response has been sent, and the caller has not closed the connection yet. */
    CLOSING
  }

  /**
   * The state of one connection.
   *
   * @param id identifies the connection
   * @param hasBeenServed whether a request on this connection has been answered
   * @param releasableBytes bytes that are held for requests that were not begun
   * @param lastProgressMillis when the connection was opened, or bytes last arrived or left
   */
  public record Connection<T>(
      T id,
      Activity activity,
      boolean hasBeenServed,
      long releasableBytes,
      long lastProgressMillis) {
    private long millisWithoutProgress(long nowMillis) {
      return nowMillis - lastProgressMillis;
    }

    private boolean isStalled(long nowMillis) {
      return millisWithoutProgress(nowMillis) >= STALLED_AFTER_MILLIS;
    }
  }

  private CloseOrder() {}

  /**
   * Returns the connections whose requests that were not begun are refused to free {@code bytes}:
   * stalled ones first, the longest without progress before others, and then the largest holders.
   */
  public static <T> ImmutableList<T> toFreeBytes(
      Collection<Connection<T>> connections, long bytes, long nowMillis) {
    Comparator<Connection<T>> order =
        Comparator.<Connection<T>>comparingLong(
                connection ->
                    connection.isStalled(nowMillis)
                        ? connection.millisWithoutProgress(nowMillis)
                        : 0)
            .thenComparingLong(Connection::releasableBytes)
            .reversed();
    ImmutableList<Connection<T>> holders =
        connections.stream()
            .filter(connection -> connection.releasableBytes() > 0)
            .sorted(order)
            .collect(ImmutableList.toImmutableList());
    ImmutableList.Builder<T> chosen = ImmutableList.builder();
    long freedBytes = 0;
    for (Connection<T> holder : holders) {
      if (freedBytes >= bytes) {
        break;
      }
      chosen.add(holder.id());
      freedBytes += holder.releasableBytes();
    }
    return chosen.build();
  }

  /**
   * Returns at most {@code places} connections that are closed in favour of new ones: those that
   * end anyway, then those that have stalled before any request was answered, then other idle or
   * incomplete ones, then those that take no response. Within each group the one that has been
   * without progress for the longest time is first.
   */
  public static <T> ImmutableList<T> toFreePlaces(
      Collection<Connection<T>> connections, int places, long nowMillis) {
    Predicate<Connection<T>> isClosable =
        connection ->
            connection.activity() != Activity.ANSWERING
                && (connection.activity() != Activity.SENDING || connection.isStalled(nowMillis));
    return connections.stream()
        .filter(isClosable)
        .sorted(
            Comparator.<Connection<T>>comparingInt(connection -> group(connection, nowMillis))
                .thenComparingLong(Connection::lastProgressMillis))
        .limit(places)
        .map(Connection::id)
        .collect(ImmutableList.toImmutableList());
  }

  private static <T> int group(Connection<T> connection, long nowMillis) {
    return switch (connection.activity()) {
      case CLOSING -> 0;
      case IDLE, RECEIVING ->
          !connection.hasBeenServed() && connection.isStalled(nowMillis) ? 1 : 2;
      case SENDING, ANSWERING -> 3;
    };
  }
}
