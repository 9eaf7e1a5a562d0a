package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a row that loses a VM or its time between two versions of this program. */
class VmCommandRowTest {
  private static VmCommandRow row(Map<String, Long> untilByVm) {
    return new VmCommandRow(ImmutableMap.copyOf(untilByVm));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void encodedRowIsDecoded(Map<String, Long> untilByVm) {
    assertEquals(Optional.of(row(untilByVm)), VmCommandRow.decode(row(untilByVm).encode()));
  }

  static Stream<Arguments> rows() {
    return Stream.of(
        Arguments.of(Map.of()),
        Arguments.of(Map.of("m1", 5_000L)),
        Arguments.of(Map.of("m1", VmCommandRow.UNKNOWN)),
        Arguments.of(Map.of("m1", 5_035L, "m2", 5_000L, "m3", VmCommandRow.UNKNOWN)));
  }

  @Test
  void rowOfPreviousVersionHasNoTimes() {
    assertEquals(
        Optional.of(row(Map.of("m1", VmCommandRow.UNKNOWN, "m2", VmCommandRow.UNKNOWN))),
        VmCommandRow.decode("[\"m1\",\"m2\"]"));
  }

  /** The previous version takes each element of the array for the name of a VM. */
  @Test
  void namesComeFirstForThePreviousVersion() {
    assertEquals("[\"m1\",{\"from\":7,\"offsets\":[0]}]", row(Map.of("m1", 7L)).encode());
  }
}
