package org.sassafraslink.scheduler.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.scheduler.placement.EvacuatedZones.StartAction;

/** Guards against starts in a zone that is evacuated, or may be, and against needless holds. */
class EvacuatedZonesTest {
  private static final long READ_MILLIS = 10_000;

  @ParameterizedTest
  @CsvSource({
    // evacuated zones, zone of the worker, whether a start may be known, age of the read, action
    "'',    a,  false, 0,      SEND",
    "'',    a,  true,  4000,   SEND",
    "'',    '', false, 0,      SEND",
    "'',    a,  false, 4001,   HOLD",
    "'',    a,  true,  4001,   HOLD",
    "a,     a,  false, 0,      WITHDRAW",
    "a,     a,  true,  0,      AWAIT_REPORT",
    "a,     a,  false, 999999, WITHDRAW",
    "a,     b,  false, 0,      SEND",
    "a,     b,  false, 4001,   HOLD",
    "a,     '', false, 0,      WITHDRAW",
    "a b,   b,  false, 0,      WITHDRAW",
    "other, a,  false, 0,      SEND",
  })
  void decidesByZoneAndAge(
      String evacuated, String zone, boolean mayBeKnown, long ageMillis, StartAction expected) {
    EvacuatedZones zones = EvacuatedZones.of(read(evacuated), Optional.of(5_000L));
    assertEquals(expected, zones.startAction(zone, mayBeKnown, READ_MILLIS + ageMillis));
  }

  /** Guards against holding starts where the platform states no bound. */
  @ParameterizedTest
  @CsvSource({"0", "4001", "999999"})
  void neverHoldsWithoutBound(long ageMillis) {
    EvacuatedZones zones = EvacuatedZones.of(read("a"), Optional.empty());
    assertEquals(StartAction.SEND, zones.startAction("b", true, READ_MILLIS + ageMillis));
  }

  private static Evacuations read(String evacuated) {
    return new Evacuations(
        evacuated.isEmpty() ? ImmutableSet.of() : ImmutableSet.copyOf(evacuated.split(" ", -1)),
        READ_MILLIS);
  }
}
