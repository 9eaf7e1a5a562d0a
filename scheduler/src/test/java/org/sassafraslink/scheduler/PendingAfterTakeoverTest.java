package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.scheduler.TestJobs.StepKind;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Guards against jobs that callers do not see among the pending ones after a takeover although no
 * worker has begun them, and against jobs that they see there although a worker runs them.
 */
class PendingAfterTakeoverTest {
  private static final long SEED = 20261207;
  private static final int JOBS = 6;
  private static final int TASK_MILLIS = 60_000;

  /** From this time after their acceptance on, jobs that have not begun are counted as pending. */
  private static final int VISIBLE_MILLIS = 5_000;

  private final SimFleet fleet =
      SimFleet.start(SEED, /* nodeCount= */ 3, SimLayout.singlePool(2).withTasksRunAsEstimated());

  private void submitJobs() {
    for (int i = 0; i < JOBS; i++) {
      fleet.submit(
          "job" + i, TestJobs.step(1, 1_000, TASK_MILLIS, StepKind.LONG_RUNNING, /* max */ 0));
    }
  }

  private void killScheduler() {
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
  }

  private long pendingCount() {
    return PendingJobCounts.count(
        fleet.rowStore.findRow(PendingJobCounts.key()).value(), SimFleet.QUEUE);
  }

  /** Returns the counts that callers could see in the next {@code millis} ms. */
  private List<Long> pendingCountsFor(int millis) {
    List<Long> counts = new ArrayList<>();
    for (int elapsed = 0; elapsed < millis; elapsed += 10) {
      fleet.runFor(10);
      counts.add(pendingCount());
    }
    return counts;
  }

  static IntStream killTimes() {
    return IntStream.iterate(50, millis -> millis <= 1_500, millis -> millis + 50);
  }

  /** Guards against jobs that count as begun because a start was sent to a lost worker. */
  @ParameterizedTest
  @MethodSource("killTimes")
  void jobsOfLostWorkersAreCounted(int killMillis) {
    fleet.runFor(5_000);
    fleet.crashWorker("w0");
    fleet.crashWorker("w1");
    submitJobs();
    fleet.runFor(killMillis);
    killScheduler();
    fleet.runFor(VISIBLE_MILLIS - killMillis);
    List<Long> counts = pendingCountsFor(6_000);
    assertTrue(counts.stream().allMatch(count -> count == JOBS), counts.toString());
    fleet.startWorker("w0");
    fleet.runFor(3_000);
    assertEquals(0, pendingCount());
  }

  /** Guards against jobs that count as pending until their workers have reported. */
  @ParameterizedTest
  @MethodSource("killTimes")
  void runningJobsAreNotCounted(int killMillis) {
    fleet.runFor(5_000);
    submitJobs();
    fleet.runFor(100);
    assertEquals(JOBS, fleet.runningAttemptCount());
    while (pendingCount() > 0) {
      fleet.runFor(10);
    }
    fleet.runFor(killMillis);
    killScheduler();
    List<Long> counts = pendingCountsFor(10_000);
    assertTrue(counts.stream().allMatch(count -> count == 0), counts.toString());
  }

  static Stream<Arguments> losses() {
    return Stream.of(2_600, 3_000, 4_000, 8_000)
        .flatMap(
            lossMillis -> Stream.of(true, false).map(killed -> Arguments.of(lossMillis, killed)));
  }

  /**
   * Guards against jobs that count as pending because their workers are lost with the scheduler.
   */
  @ParameterizedTest
  @MethodSource("losses")
  void jobsThatBeganLongBeforeTheLossAreNotCounted(int lossMillis, boolean isSchedulerKilled) {
    fleet.runFor(5_000);
    submitJobs();
    fleet.runFor(lossMillis);
    fleet.crashWorker("w0");
    fleet.crashWorker("w1");
    if (isSchedulerKilled) {
      killScheduler();
    }
    List<Long> counts = pendingCountsFor(15_000);
    assertTrue(counts.stream().allMatch(count -> count == 0), counts.toString());
  }

  /** Guards against rows of an earlier version that count as a beginning without a start. */
  @ParameterizedTest
  @ValueSource(strings = {"", "\"begun\":false,", "\"begun\":true,"})
  void rowTellsWhetherAJobHasBegun(String begun) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(2, 1_000, 500, StepKind.PLAIN, 0));
    String row =
        "{\"state\":\"RUNNING\"," + begun + "\"tasks\":[[[[2,0,\"w\",7,\"\"],[1,0,\"\",0,\"\"]]]]}";
    var unused = ProgressRow.decodeInto(row, job);
    assertEquals(begun.contains("true"), job.startAccepted);
  }
}
