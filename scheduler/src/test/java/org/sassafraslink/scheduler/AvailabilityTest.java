package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * Guards against planned work that stops a long-running task while too many tasks of its step are
 * unavailable. That can happen if worker reports are old, or if the previous scheduler has just
 * stopped tasks that the reports still show as running.
 */
class AvailabilityTest {
  private static final long NOW_MILLIS = 100_000;

  /** Returns a job of four long-running tasks, each running at full speed on its own worker. */
  private static Job jobWithRunningTasks(int maxUnavailable) {
    StepSpec step =
        new StepSpec(
            /* count= */ 4,
            new Resources(1_000, 100, 0),
            /* estimatedMillis= */ 0,
            /* after= */ ImmutableList.of(),
            /* gang= */ false,
            /* rackLocal= */ false,
            /* requiredLabel= */ "",
            /* dataRack= */ "",
            /* maxPerWorker= */ 1,
            /* speculative= */ false,
            /* checkpointing= */ false,
            /* longRunning= */ true,
            /* image= */ "",
            /* latencyTargetMillis= */ 100,
            /* backfill= */ false,
            maxUnavailable);
    JobSpec spec =
        new JobSpec(
            "job",
            "queue",
            "pool",
            "team",
            /* payload= */ "",
            ImmutableList.of(step),
            /* repetitions= */ 0,
            /* firstDueMillis= */ 0,
            /* intervalMillis= */ 0,
            /* acceptedMillis= */ 0,
            /* queueTerms= */ Optional.empty());
    Job job = Job.create(spec, new TeamUsage("team"), /* nowMillis= */ 0);
    job.forEachTask(
        task -> {
          Worker worker = TestWorkers.withId("w" + task.id.index());
          worker.recordResponse(
              /* workerClockMillis= */ 500,
              /* inheritedLeaseMillis= */ 0,
              /* sentMillis= */ NOW_MILLIS,
              NOW_MILLIS);
          task.assign(worker, 1, "");
          task.phase = TaskPhase.RUNNING;
          task.speedPercent = 100;
        });
    return job;
  }

  private static Task taskAt(Job job, int index) {
    return job.occurrences().get(0).get(0).get(index);
  }

  static Stream<Arguments> stopCases() {
    Consumer<Job> noChange = job -> {};
    Consumer<Job> otherIsWaiting = job -> taskAt(job, 1).release(TaskPhase.WAITING, NOW_MILLIS);
    Consumer<Job> otherIsSlow = job -> taskAt(job, 1).speedPercent = 0;
    Consumer<Job> otherIsStopping = job -> taskAt(job, 1).phase = TaskPhase.STOPPING;
    Consumer<Job> otherWorkerIsUnresponsive =
        job -> taskAt(job, 1).worker.consecutiveCallFailures = 1;
    Consumer<Job> otherReportIsOld =
        job -> taskAt(job, 1).worker.lastResponseMillis = NOW_MILLIS - 2_000;
    Consumer<Job> ownReportIsOld =
        job -> taskAt(job, 0).worker.lastResponseMillis = NOW_MILLIS - 2_000;
    Consumer<Job> taskAndOtherAreSlow =
        job -> {
          taskAt(job, 0).speedPercent = 0;
          taskAt(job, 1).speedPercent = 0;
        };
    Consumer<Job> taskStartsUpAndOtherIsSlow =
        job -> {
          taskAndOtherAreSlow.accept(job);
          taskAt(job, 0).confirmedMillis = NOW_MILLIS - 1_500;
        };
    return Stream.of(
        Arguments.of("the task's worker has not responded recently", ownReportIsOld, 1, false),
        Arguments.of(
            "the task may have reached full speed since the last report",
            taskStartsUpAndOtherIsSlow,
            1,
            false),
        Arguments.of(
            "the task and another are already below full speed", taskAndOtherAreSlow, 1, true),
        Arguments.of("all tasks run", noChange, 1, true),
        Arguments.of("no bound, all tasks run", noChange, 0, true),
        Arguments.of("another task waits for a worker", otherIsWaiting, 1, false),
        Arguments.of(
            "another task waits for a worker, two may be unavailable", otherIsWaiting, 2, true),
        Arguments.of("another task is below full speed", otherIsSlow, 1, false),
        Arguments.of("another task is being stopped", otherIsStopping, 1, false),
        Arguments.of("another task's worker does not respond", otherWorkerIsUnresponsive, 1, false),
        Arguments.of(
            "another task's worker has not responded recently", otherReportIsOld, 1, false));
  }

  @ParameterizedTest(name = "{0}: {3}")
  @MethodSource("stopCases")
  void allowsStopOnlyWithinMaxUnavailable(
      String description, Consumer<Job> change, int maxUnavailable, boolean allowed) {
    Job job = jobWithRunningTasks(maxUnavailable);
    change.accept(job);
    assertEquals(allowed, Availability.allowsStop(taskAt(job, 0), NOW_MILLIS), description);
  }

  @Test
  void newSchedulerWaitsUntilPredecessorsStopsAreReported() {
    long maxStopMillis = 900;
    long lastStopSentMillis = NOW_MILLIS;
    long earliestStopMillis = Availability.earliestStopMillis(NOW_MILLIS, maxStopMillis);
    // A report that is still valid at earliestStopMillis was made after the last task that the
    // predecessor stopped had ended.
    assertTrue(
        earliestStopMillis - Worker.REPORT_VALIDITY_MILLIS >= lastStopSentMillis + maxStopMillis);
  }
}
