package org.sassafraslink.daemon.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.sassafraslink.daemon.process.SimNode.Tuning;

/** Two or three faults together, drawn at random and shrunk to the smallest that still fails. */
final class FaultPairsTest {
  private static final int LAST_STEP = 520;

  @Property(tries = 700, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void promisesHoldThroughFaultsTogether(
      @ForAll("faults") List<Fault> faults, @ForAll("seeds") long seed) {
    Promises promises =
        new SimWorld(ImmutableList.copyOf(faults), seed, Tuning.real()).run(LAST_STEP);

    assertEquals(List.of(), promises.violations());
  }

  @Provide
  Arbitrary<List<Fault>> faults() {
    return Combinators.combine(
            Arbitraries.of(Fault.Kind.class),
            Arbitraries.integers().between(0, 2),
            Arbitraries.integers().between(5, 240),
            Arbitraries.integers().between(1, 110))
        .as(Fault::new)
        .list()
        .ofMinSize(2)
        .ofMaxSize(3);
  }

  @Provide
  Arbitrary<Long> seeds() {
    return Arbitraries.longs().between(1, 50);
  }
}
