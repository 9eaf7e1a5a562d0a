package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/**
 * Guards against a log from which on-call cannot tell whether the scheduler's thread has time left,
 * and against a log line for each pass, which would itself use up that time.
 */
class SchedulerLoadTest {
  private static final long START_MILLIS = 10_000;

  private final List<String> lines = new ArrayList<>();
  private final SchedulerLoad load =
      new SchedulerLoad(EventLog.create("n", () -> START_MILLIS, lines::add));

  /** Starts the first interval, of which nothing is written. */
  private void start() {
    endInterval(START_MILLIS, 0);
  }

  private void endInterval(long nowMillis, long processorMillis) {
    load.endIntervalIfDue(
        nowMillis, () -> TimeUnit.MILLISECONDS.toNanos(processorMillis), /* isScheduling= */ true);
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  // Many short passes and one long one are different faults, so both total and maximum are needed.
  @Test
  void longPassIsHiddenAmongShortOnes() {
    start();
    load.recordBatch(7, nanos(30));
    load.recordPass(nanos(5), nanos(400));
    load.recordBatch(3, nanos(500));
    load.recordPass(nanos(1), nanos(2));
    load.recordRound(90);
    load.recordRound(10);
    load.recordDirtyJobs(12);
    load.recordDirtyJobs(4);
    load.recordTransaction();
    endInterval(START_MILLIS + 1_100, 150);
    SchedulerLoad.Interval expected =
        new SchedulerLoad.Interval(1_100, 408, 150, 2, 402, 400, 500, 7, 2, 90, 1, 12, 0);
    assertEquals(expected, load.lastSecond());
    assertEquals(1, lines.size());
    assertTrue(
        lines
            .get(0)
            .contains(
                "\"event\":\"scheduler.load\",\"millis\":1100,\"busy\":408,\"cpu\":150,"
                    + "\"passes\":2,\"passMillis\":402,\"longestPass\":400,\"longestWait\":500,"
                    + "\"queue\":7,\"rounds\":2,\"longestRound\":90,\"transactions\":1,"
                    + "\"dirtyJobs\":12,\"longestCommit\":0"),
        lines.toString());
  }

  // A second without load must not show the maxima of the one before.
  @Test
  void loadOfEarlierSecondIsCountedAgain() {
    start();
    load.recordBatch(7, nanos(30));
    load.recordPass(nanos(5), nanos(400));
    load.recordRound(90);
    load.recordDirtyJobs(12);
    load.recordTransaction();
    endInterval(START_MILLIS + 1_000, 150);
    endInterval(START_MILLIS + 2_000, 150);
    assertEquals(
        new SchedulerLoad.Interval(1_000, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), load.lastSecond());
  }

  // The volume of the log must not grow with the number of passes.
  @Test
  void lineIsWrittenForEachPass() {
    start();
    for (long millis = 0; millis < 3_000; millis += 10) {
      load.recordPass(0, nanos(1));
      endInterval(START_MILLIS + millis, 0);
    }
    assertEquals(2, lines.size());
  }

  // A line from a process without the lease would suggest that it schedules.
  @Test
  void processThatDoesNotScheduleReportsLoad() {
    start();
    load.recordPass(0, nanos(1));
    endInterval(START_MILLIS + 1_000, 0);
    load.recordPass(0, nanos(1));
    load.endIntervalIfDue(START_MILLIS + 2_000, () -> 0, /* isScheduling= */ false);
    assertEquals(1, lines.size());
    assertEquals(SchedulerLoad.Interval.NONE, load.lastSecond());
  }

  // Only the assignments that a transaction contained have been committed by it.
  @Test
  void assignmentAfterTheTransactionCountsAsCommitted() {
    start();
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(2, 1_000, 500, StepKind.PLAIN, 0));
    List<Task> tasks = job.occurrences().get(0).get(0);
    assign(tasks.get(0), /* change= */ 1, /* assignedMillis= */ 500);
    assign(tasks.get(1), /* change= */ 2, /* assignedMillis= */ 100);
    job.lastCommittedChange = 1;
    load.recordCommit(job, 730);
    endInterval(START_MILLIS + 1_000, 0);
    assertEquals(230, load.lastSecond().longestCommitMillis());
  }

  private static void assign(Task task, long change, long assignedMillis) {
    task.assign(TestWorkers.withId("w" + change), /* nextAttempt= */ 1, "");
    task.startAfterChange = change;
    task.assignedMillis = assignedMillis;
  }
}
