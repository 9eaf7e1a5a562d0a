package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/** Guards against tasks that wait although a worker has room for them. */
class UnplaceableNeedsTest {
  private static final List<Worker> WORKERS = List.of(TestWorkers.withId("w0"));
  private static final List<Worker> OTHER_WORKERS = List.of(TestWorkers.withId("w1"));

  static Stream<Arguments> cases() {
    return Stream.of(
        Arguments.of("the same need", step(4_000, 0), step(4_000, 0), WORKERS, true),
        Arguments.of("a larger need", step(4_000, 0), step(5_000, 0), WORKERS, true),
        Arguments.of("a smaller need", step(4_000, 0), step(3_000, 0), WORKERS, false),
        Arguments.of("other workers", step(4_000, 0), step(4_000, 0), OTHER_WORKERS, false),
        Arguments.of("with a maximum a worker", step(4_000, 0), step(4_000, 1), WORKERS, true),
        // Another step may fit where only the maximum of the first one is reached.
        Arguments.of("after one with a maximum", step(4_000, 1), step(4_000, 0), WORKERS, false));
  }

  @ParameterizedTest(name = "{0}: {4}")
  @MethodSource("cases")
  void excludesOnlyTasksThatCannotFit(
      String description,
      StepSpec unplaceable,
      StepSpec other,
      List<Worker> otherWorkers,
      boolean expected) {
    UnplaceableNeeds needs = new UnplaceableNeeds();
    needs.add(taskOf(unplaceable), WORKERS);
    assertEquals(expected, needs.contains(taskOf(other), otherWorkers), description);
  }

  private static StepSpec step(long cpuMillis, int maxPerWorker) {
    return TestJobs.step(1, cpuMillis, 500, StepKind.PLAIN, maxPerWorker);
  }

  private static Task taskOf(StepSpec step) {
    return TestJobs.firstTask(TestJobs.jobAcceptedAt(0, step));
  }
}
