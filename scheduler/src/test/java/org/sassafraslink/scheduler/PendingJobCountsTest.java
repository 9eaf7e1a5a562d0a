package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.TestJobs.StepKind;
import org.sassafraslink.scheduler.sim.SimFleet;

/**
 * Guards against a job that no worker has started and that callers do not see among the pending
 * jobs, and against a job that counts as pending although a worker runs it.
 */
class PendingJobCountsTest {
  private static final long SEED = 20261204;

  /** Longest time until a change shows in the row: two writes of it, in ms. */
  private static final int MAX_COUNT_AGE_MILLIS = 2_000;

  private static void assign(Task task) {
    task.job.state = JobState.RUNNING;
    task.assign(TestWorkers.withId("w"), 1, "");
  }

  private static void restore(Task task) {
    assign(task);
    task.phase = TaskPhase.ORDERED;
    task.restored = true;
  }

  private static Arguments jobState(String name, int expectedPending, Consumer<Task> change) {
    return Arguments.of(name, expectedPending, change);
  }

  private static Stream<Arguments> jobStates() {
    return Stream.of(
        jobState("queued", 1, task -> {}),
        jobState("assigned", 1, PendingJobCountsTest::assign),
        jobState(
            "start sent",
            1,
            task -> {
              assign(task);
              task.phase = TaskPhase.ORDERED;
            }),
        jobState(
            "start rejected",
            1,
            task -> {
              assign(task);
              task.release(TaskPhase.WAITING, 0);
            }),
        jobState(
            "start accepted, attempt over",
            0,
            task -> {
              assign(task);
              task.job.startAccepted = true;
              task.release(TaskPhase.WAITING, 0);
            }),
        jobState("restored, not known to have begun", 1, PendingJobCountsTest::restore),
        jobState(
            "restored, recorded as begun",
            0,
            task -> {
              restore(task);
              task.job.startAccepted = true;
            }),
        jobState(
            "restored, known not to run",
            1,
            task -> {
              restore(task);
              task.release(TaskPhase.WAITING, 0);
            }),
        jobState(
            "restored, assigned again",
            1,
            task -> {
              restore(task);
              task.release(TaskPhase.WAITING, 0);
              assign(task);
            }),
        jobState("cancelled", 0, task -> task.job.cancelRequested = true),
        jobState("failed", 0, task -> task.job.state = JobState.FAILED));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("jobStates")
  void jobIsPendingUntilAWorkerAcceptsAStart(
      String name, int expectedPending, Consumer<Task> change) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, StepKind.PLAIN, 0));
    change.accept(TestJobs.firstTask(job));
    Map<String, Long> expected =
        expectedPending == 0 ? Map.of() : Map.of(job.spec.queue(), (long) expectedPending);
    assertEquals(expected, PendingJobCounts.countByQueue(List.of(job)));
  }

  @Test
  void runningJobIsNotPendingAlsoAfterAChangeOfScheduler() {
    SimFleet fleet = SimFleet.start(SEED, 3, 4);
    fleet.runFor(1_500);
    fleet.multiplyTaskTimes(40);
    fleet.submit("running", SimFleet.step(1, 1_000));
    fleet.runFor(MAX_COUNT_AGE_MILLIS);
    assertEquals(0, pendingCount(fleet));
    List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
    fleet.runFor(3 * MAX_COUNT_AGE_MILLIS);
    fleet.submit("too large for any worker", SimFleet.step(1, 20_000));
    fleet.runFor(MAX_COUNT_AGE_MILLIS);
    assertEquals(1, pendingCount(fleet));
  }

  private static long pendingCount(SimFleet fleet) {
    String value = fleet.rowStore.findRow(PendingJobCounts.key()).value();
    return Stream.of(value.replaceAll("[{}]", "").split(","))
        .filter(entry -> !entry.isEmpty())
        .mapToLong(entry -> Long.parseLong(entry.substring(entry.indexOf(':') + 1)))
        .sum();
  }
}
