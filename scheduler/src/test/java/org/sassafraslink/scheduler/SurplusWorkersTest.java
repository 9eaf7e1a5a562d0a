package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.scheduler.capacity.DrainChoice;

/**
 * Guards against the drain of a worker with a long-running task: that task would keep the worker
 * from becoming empty, so that it would get no late tasks and its VM could not be moved either.
 */
class SurplusWorkersTest {
  @ParameterizedTest
  @CsvSource({"PLAIN, 2", "LONG_RUNNING, 1"})
  void workersWithLongRunningTasksAreNotDrained(TestJobs.StepKind kind, int expected) {
    Worker busy = TestWorkers.withId("w1");
    Worker empty = TestWorkers.withId("w2");
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 1_000, kind, 0));
    TestJobs.firstTask(job).assign(busy, 1, "");
    DrainChoice.Donor donor =
        new DrainChoice.Donor(
            new Resources(1L << 30, 1L << 30, 1L << 10),
            /* workers= */ 2,
            Resources.NONE,
            Resources.NONE,
            /* minWorkers= */ 0);
    List<Worker> drained =
        new SurplusWorkers(new DurationModel())
            .choose(donor, List.of(busy, empty), /* maxWorkers= */ 2, /* nowMillis= */ 0);
    assertEquals(expected, drained.size());
  }
}
