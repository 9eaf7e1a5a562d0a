package org.sassafraslink.scheduler.workerlease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an end that is read as an earlier one than was written. */
class LeaseEndRowTest {
  static Stream<LeaseEndRow> rows() {
    return Stream.of(Map.<String, LeaseEnd>of(), Map.of("w1", end(5_000, 0)), manyWorkers())
        .map(ends -> new LeaseEndRow(7, ImmutableMap.copyOf(ends)));
  }

  private static LeaseEnd end(long incarnation, long storeMillis) {
    return new LeaseEnd(incarnation, storeMillis);
  }

  private static Map<String, LeaseEnd> manyWorkers() {
    return Map.of("w 1", end(0, 1), "w\"2", end(2, 1_765_179_000_000L), "", end(3, 4));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void encodedRowIsDecoded(LeaseEndRow row) {
    assertEquals(Optional.of(row), LeaseEndRow.decode(row.encode()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "7",
        "null",
        "[]",
        "{}",
        "{\"epoch\":7}",
        "{\"workers\":{}}",
        "{\"epoch\":\"7\",\"workers\":{}}",
        "{\"epoch\":-1,\"workers\":{}}",
        "{\"epoch\":7.5,\"workers\":{}}",
        "{\"epoch\":7,\"workers\":[]}",
        "{\"epoch\":7,\"workers\":{\"w1\":5}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,6,7]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,-1]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,\"6\"]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,null]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,99999999999999999999]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,6],\"w2\":[]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,6],\"w1\":[5,2]}}",
        "{\"epoch\":7,\"workers\":{\"w1\":[5,6]}} {\"epoch\":7}"
      })
  void unreadableRowRecordsNothing(String value) {
    assertEquals(Optional.empty(), LeaseEndRow.decode(value));
  }
}
