package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.scheduler.TestJobs.StepKind;
import org.sassafraslink.scheduler.sim.SimFleet;

/** Guards against {@link JobOrder} ranking a job before one that benefits more from a start now. */
class JobOrderTest {
  private static final long NOW_MILLIS = 1_000_000;

  private final JobOrder order = new JobOrder(new DurationModel());

  private JobOrder.Rank rank(Job job) {
    return order.rankOf(job, TestJobs.QUEUE, /* nowMillis= */ NOW_MILLIS, NOW_MILLIS);
  }

  /**
   * Returns a job with one step of 500 ms. Its objective is 1,600 ms: the slack factor 2 times 500
   * ms, plus the target latency of 600 ms. So it is late if older than 1,100 ms, and too late if
   * older than 3 x 1,600 - 500 = 4,300 ms.
   */
  private static Job plainJob(long ageMillis) {
    return TestJobs.jobAcceptedAt(
        NOW_MILLIS - ageMillis, TestJobs.step(1, 1_000, 500, StepKind.PLAIN, 0));
  }

  private static Job excessJob() {
    Job job = plainJob(0);
    job.isExcess = true;
    return job;
  }

  static Stream<Arguments> orderedPairs() {
    Job longRunningJob =
        TestJobs.jobAcceptedAt(NOW_MILLIS, TestJobs.step(1, 1_000, 500, StepKind.LONG_RUNNING, 0));
    return Stream.of(
        Arguments.of("long-running before in time", longRunningJob, plainJob(0)),
        Arguments.of("earlier deadline before later deadline", plainJob(900), plainJob(100)),
        Arguments.of("in time before late", plainJob(1_000), plainJob(1_200)),
        Arguments.of("late before excess", plainJob(1_200), excessJob()),
        Arguments.of("excess before too late", excessJob(), plainJob(4_400)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("orderedPairs")
  void ranksFirstBeforeSecond(String description, Job first, Job second) {
    assertTrue(rank(first).compareTo(rank(second)) < 0, description);
  }

  /**
   * Guards against later steps that wait behind all other jobs because the first ran for longer
   * than expected, although the job's objective is longer by that too. Both steps are expected to
   * take 500 ms.
   */
  @ParameterizedTest
  @CsvSource({
    // As expected: the objective is 2 x 1,000 + 600 ms, and 500 ms remain.
    "500, 2100, true",
    "500, 2101, false",
    // Three times as long: the second step probably takes twice as long, and the objective 5,600
    // ms.
    "1500, 2101, true",
    "1500, 4600, true",
    "1500, 4601, false",
    // A fifth: 300 ms are expected for the second step, and the objective is 1,400 ms.
    "100, 1100, true",
    "100, 1101, false"
  })
  void objectiveFollowsDurationOfStepsThatHaveRun(
      long firstStepMillis, long ageMillis, boolean expectedInTime) {
    Job job =
        TestJobs.jobAcceptedAt(
            NOW_MILLIS - ageMillis,
            SimFleet.stepOfMillis(/* estimatedMillis= */ 500, 1, 1_000),
            SimFleet.stepOfMillis(/* estimatedMillis= */ 500, 1, 1_000, 0));
    Task firstTask = TestJobs.firstTask(job);
    firstTask.ranMillis = firstStepMillis;
    firstTask.phase = TaskPhase.DONE;
    assertEquals(expectedInTime, rank(job).isInTime());
  }

  /** Guards against a job taken for late because its only running task runs for long. */
  @ParameterizedTest
  @CsvSource({"400, true", "2000, true", "4000, true"})
  void runningTaskExtendsObjective(long elapsedMillis, boolean expectedInTime) {
    Worker worker = TestWorkers.withId("w1");
    Job job =
        TestJobs.jobAcceptedAt(
            NOW_MILLIS - elapsedMillis - 50,
            SimFleet.stepOfMillis(/* estimatedMillis= */ 500, 2, 1_000));
    Task firstTask = TestJobs.firstTask(job);
    firstTask.assign(worker, 1, "");
    firstTask.phase = TaskPhase.RUNNING;
    firstTask.confirmedMillis = NOW_MILLIS - elapsedMillis;
    assertEquals(expectedInTime, rank(job).isInTime());
  }

  @Test
  void jobsInTimeJustifyMoreWorkersButLateAndExcessJobsDoNot() {
    assertTrue(rank(plainJob(0)).justifiesMoreWorkers());
    assertEquals(false, rank(plainJob(1_200)).justifiesMoreWorkers());
    assertEquals(false, rank(excessJob()).justifiesMoreWorkers());
  }
}
