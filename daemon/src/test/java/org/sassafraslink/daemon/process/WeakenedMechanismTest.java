package org.sassafraslink.daemon.process;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.daemon.process.Fault.Kind;
import org.sassafraslink.daemon.process.SimNode.Tuning;

/** Each mechanism, weakened, breaks its promise under some fault; whole, it holds. */
final class WeakenedMechanismTest {
  private static final int LAST_STEP = 460;
  private static final int SEED = 1;

  /** One run for each daemon and each step of the first 24 seconds. */
  private static final int RUNS = SimWorld.NODES * 240;

  /** A mechanism made weaker, the faults that show it, and the words of the broken promise. */
  record Weakening(
      String name, Tuning weak, String violation, IntFunction<ImmutableList<Fault>> faults) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Weakening> weakenings() {
    return Stream.of(
        new Weakening(
            "units reclaimed without waiting for what was sent",
            new Tuning(4_000, 8_000, 0, true, true, true),
            "running over",
            i -> ImmutableList.of(at(Kind.KILL, i, 1))),
        new Weakening(
            "freshness lease of a minute",
            new Tuning(60_000, 8_000, 2_000, true, true, true),
            "after its withdrawal",
            i -> ImmutableList.of(at(Kind.CUT_ALL, i, 110))),
        new Weakening(
            "accepts and drains without telling a majority",
            new Tuning(4_000, 8_000, 2_000, false, true, true),
            "after its withdrawal",
            i -> ImmutableList.of(at(Kind.SPLIT, i, 110))),
        new Weakening(
            "duty writes without their fence",
            new Tuning(4_000, 8_000, 2_000, true, false, true),
            "budget of",
            WeakenedMechanismTest::pausedPlannerAndLostVm),
        new Weakening(
            "VMs rebooted without proof of empty",
            new Tuning(4_000, 8_000, 2_000, true, true, false),
            "cuts",
            i -> ImmutableList.of(at(Kind.CUT_STORE, i, 110))));
  }

  private static Fault at(Kind kind, int index, int steps) {
    return new Fault(kind, index % SimWorld.NODES, 5 + index / SimWorld.NODES, steps);
  }

  /** The planner is paused before it drains one VM; meanwhile another VM of the pool is lost. */
  private static ImmutableList<Fault> pausedPlannerAndLostVm(int index) {
    Fault pause = at(Kind.FREEZE_BEFORE_WRITE, index, 110);
    return ImmutableList.of(pause, new Fault(Kind.BACKEND_DIES, 4, pause.step() + 1, 150));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("weakenings")
  void weakenedMechanismIsCaught(Weakening weakening) {
    long caught =
        runs(weakening, weakening.weak()).filter(p -> mentions(p, weakening.violation())).count();
    System.out.printf("WEAKENED %-52s caught in %d of %d runs%n", weakening, caught, RUNS);

    assertTrue(caught > 0);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("weakenings")
  void wholeMechanismHolds(Weakening weakening) {
    assertFalse(runs(weakening, Tuning.real()).anyMatch(p -> mentions(p, weakening.violation())));
  }

  private static Stream<Promises> runs(Weakening weakening, Tuning tuning) {
    return IntStream.range(0, RUNS)
        .parallel()
        .mapToObj(weakening.faults())
        .map(faults -> new SimWorld(faults, SEED, tuning).run(LAST_STEP));
  }

  private static boolean mentions(Promises promises, String violation) {
    return promises.violations().stream().anyMatch(text -> text.contains(violation));
  }
}
