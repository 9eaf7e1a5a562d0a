package org.sassafraslink.rules.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.rules.connection.CloseOrder.Activity;
import org.sassafraslink.rules.connection.CloseOrder.Connection;

/** Guards against a crowd that pushes ordinary callers out, or ends requests read whole. */
class CloseOrderTest {
  private static final long NOW = 100_000;

  private static Connection<String> connection(
      String id, Activity activity, boolean served, long bytes, long silentMillis) {
    return new Connection<>(id, activity, served, bytes, NOW - silentMillis);
  }

  @ParameterizedTest
  @CsvSource({"1, stalled", "300, stalled;large", "1700, stalled;large;small"})
  void freesStalledThenLargestHolders(long bytes, String expected) {
    List<Connection<String>> connections =
        List.of(
            connection("small", Activity.RECEIVING, false, 200, 0),
            connection("idle", Activity.IDLE, true, 0, 60_000),
            connection("large", Activity.RECEIVING, false, 1_500, 900),
            connection("stalled", Activity.RECEIVING, false, 100, 5_000));
    assertEquals(List.of(expected.split(";")), CloseOrder.toFreeBytes(connections, bytes, NOW));
  }

  @Test
  void closesTheLeastUsefulForNewConnections() {
    List<Connection<String>> connections =
        List.of(
            connection("answering", Activity.ANSWERING, false, 0, 90_000),
            connection("unread", Activity.SENDING, true, 0, 30_000),
            connection("sending", Activity.SENDING, true, 0, 10),
            connection("served", Activity.IDLE, true, 0, 40_000),
            connection("new", Activity.IDLE, false, 0, 10),
            connection("silent", Activity.IDLE, false, 0, 2_000),
            connection("unfinished", Activity.RECEIVING, false, 5, 3_000),
            connection("closing", Activity.CLOSING, true, 0, 1));
    assertEquals(
        ImmutableList.of("closing", "unfinished", "silent", "served", "new", "unread"),
        CloseOrder.toFreePlaces(connections, 10, NOW));
    assertEquals(
        ImmutableList.of("closing", "unfinished"), CloseOrder.toFreePlaces(connections, 2, NOW));
  }

  /** Guards against large requests that leave no room for short ones, or are never served. */
  @ParameterizedTest
  @CsvSource({
    "2000000, 0, true",
    "90000000, 0, true",
    "2000000, 4000000, true",
    "2000000, 7000000, false",
    "60000, 7000000, true",
    "60000, 7990000, false"
  })
  void largeRequestsLeaveRoomForShortOnes(long bytes, long bytesInProgress, boolean admitted) {
    assertEquals(admitted, new HeldBytesLimit(8_000_000).admits(bytes, bytesInProgress));
  }
}
