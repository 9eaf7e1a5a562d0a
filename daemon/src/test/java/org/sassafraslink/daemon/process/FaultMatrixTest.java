package org.sassafraslink.daemon.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sassafraslink.daemon.process.SimNode.Tuning;

/**
 * Every single fault at every step of the operators' day, judged by the promises.
 *
 * <p>{@code -Dmatrix.stride=N} starts the faults at each N-th step only.
 */
final class FaultMatrixTest {
  private static final int LAST_STEP = 460;
  private static final int FIRST_FAULT = 5;
  private static final int LAST_FAULT = 240;
  private static final int SEED = 1;
  private static final int STRIDE = Integer.getInteger("matrix.stride", 4);
  private static final ImmutableList<Integer> LENGTHS = ImmutableList.of(12, 110);

  /** The outcome of one run with one fault. */
  private record Outcome(Fault fault, Promises promises) {}

  @Test
  void withoutFaultsAllPromisesHold() {
    assertEquals(List.of(), run(ImmutableList.of()).violations());
  }

  @ParameterizedTest
  @EnumSource(Fault.Kind.class)
  void eachFaultAtEachStep(Fault.Kind kind) {
    List<Fault> faults = new ArrayList<>();
    for (int steps : LENGTHS) {
      for (int node = 0; node < SimWorld.NODES; node++) {
        for (int step = FIRST_FAULT; step < LAST_FAULT; step += STRIDE) {
          faults.add(new Fault(kind, node, step, steps));
        }
      }
    }
    List<Outcome> outcomes =
        faults.parallelStream()
            .map(fault -> new Outcome(fault, run(ImmutableList.of(fault))))
            .toList();
    System.out.println(row(kind, outcomes));

    List<String> violations =
        outcomes.stream()
            .filter(outcome -> !outcome.promises().violations().isEmpty())
            .map(outcome -> outcome.fault() + " " + outcome.promises().violations())
            .toList();
    assertEquals(List.of(), violations.stream().limit(5).toList());
  }

  private static Promises run(ImmutableList<Fault> faults) {
    return new SimWorld(faults, SEED, Tuning.real()).run(LAST_STEP);
  }

  private static String row(Fault.Kind kind, List<Outcome> outcomes) {
    return String.format(
        Locale.ROOT,
        "MATRIX %-20s runs %5d violated %4d, withdrawn key worked %.1f s, leaving VM used %.1f s,"
            + " answered %d refused %d unknown %d",
        kind,
        outcomes.size(),
        outcomes.stream().filter(o -> !o.promises().violations().isEmpty()).count(),
        max(outcomes.stream().mapToInt(o -> o.promises().worstWithdrawnSteps)) / 10.0,
        max(outcomes.stream().mapToInt(o -> o.promises().worstLeavingSteps)) / 10.0,
        outcomes.stream().mapToInt(o -> o.promises().answered).sum(),
        outcomes.stream().mapToInt(o -> o.promises().refused).sum(),
        outcomes.stream().mapToInt(o -> o.promises().unknown).sum());
  }

  private static int max(IntStream values) {
    return values.max().orElse(0);
  }
}
