package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.entry.connection.CallerLimits;

/** Guards against limits that the VM cannot keep, and against invalid values that take effect. */
class CallerLimitSettingsTest {
  @ParameterizedTest
  @CsvSource({"96, 4100, 24, 2925", "96, 600, 24, 300", "32, 4100, 8, 1024", "8, 100, 4, 1"})
  void defaultsFollowHeapAndDescriptors(
      long heapMegabytes, int descriptors, long heldMegabytes, int connections) {
    CallerLimits limits =
        CallerLimitSettings.parse(ImmutableMap.of(), heapMegabytes << 20, descriptors).get();
    assertEquals(heldMegabytes << 20, limits.maxHeldBytes());
    assertEquals(connections, limits.maxConnections());
  }

  @ParameterizedTest
  @CsvSource({"MAX_HELD_BYTES, 1", "MAX_CONNECTIONS, 0", "STALL_TIMEOUT, x", "RECEIVE_TIMEOUT, ''"})
  void namesInvalidValue(CallerLimitSettings setting, String value) {
    String error =
        CallerLimitSettings.parse(ImmutableMap.of(setting, value), 96 << 20, 4_100)
            .getLeft()
            .get(0);
    assertTrue(error.startsWith("--" + setting.flag() + " is '" + value + "'"), error);
  }
}
