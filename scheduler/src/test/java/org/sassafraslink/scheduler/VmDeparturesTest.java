package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Guards against a VM that counts as left because one list, or an old one, lacks it. */
final class VmDeparturesTest {
  private static final String VM = "vm";
  private static final long NAMED_MILLIS = 10_000;
  private static final long MIN_ABSENCE_MILLIS = 3_000;

  /** A list that is requested {@code afterMillis} after the one before. */
  record VmList(long afterMillis, boolean containsVm) {}

  private static VmDepartures create() {
    return VmDepartures.since(NAMED_MILLIS, MIN_ABSENCE_MILLIS);
  }

  private static void apply(VmDepartures departures, long requestedMillis, boolean containsVm) {
    departures.applyList(List.of(VM), vm -> containsVm, requestedMillis);
  }

  @Test
  void listFromBeforeTheWaveSaysNothing() {
    VmDepartures departures = create();
    apply(departures, NAMED_MILLIS - 1, /* containsVm= */ false);
    apply(departures, NAMED_MILLIS + MIN_ABSENCE_MILLIS - 1, /* containsVm= */ false);
    assertFalse(departures.hasLeft(VM));
  }

  @Test
  void vmHasLeftAfterAbsenceThatLasts() {
    VmDepartures departures = create();
    apply(departures, NAMED_MILLIS, /* containsVm= */ false);
    apply(departures, NAMED_MILLIS + MIN_ABSENCE_MILLIS - 1, /* containsVm= */ false);
    assertFalse(departures.hasLeft(VM));
    apply(departures, NAMED_MILLIS + MIN_ABSENCE_MILLIS, /* containsVm= */ false);
    assertTrue(departures.hasLeft(VM));
    apply(departures, NAMED_MILLIS + MIN_ABSENCE_MILLIS + 1, /* containsVm= */ true);
    assertFalse(departures.hasLeft(VM));
  }

  @Property(tries = 1_000, seed = "20261205")
  void vmHasLeftOnlyIfAllListsOfTheTimeLackIt(@ForAll("lists") List<VmList> lists) {
    VmDepartures departures = create();
    long requestedMillis = NAMED_MILLIS - 1_000;
    long absentSinceMillis = Long.MAX_VALUE;
    for (VmList list : lists) {
      requestedMillis += list.afterMillis();
      apply(departures, requestedMillis, list.containsVm());
      if (requestedMillis >= NAMED_MILLIS) {
        absentSinceMillis =
            list.containsVm() ? Long.MAX_VALUE : Math.min(absentSinceMillis, requestedMillis);
      }
      boolean hasLeft =
          absentSinceMillis != Long.MAX_VALUE
              && requestedMillis - absentSinceMillis >= MIN_ABSENCE_MILLIS;
      assertEquals(hasLeft, departures.hasLeft(VM));
    }
  }

  @Provide
  Arbitrary<List<VmList>> lists() {
    return Combinators.combine(
            Arbitraries.longs().between(0, 2_000), Arbitraries.of(true, false, false, false))
        .as(VmList::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(12);
  }
}
