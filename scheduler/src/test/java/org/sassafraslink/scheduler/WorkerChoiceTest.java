package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/**
 * Guards against tasks that are started on unsuitable workers, such as one without enough free
 * capacity, one on which the task has failed, one that is cordoned, or one that does not respond.
 */
class WorkerChoiceTest {
  private static final long NOW_MILLIS = 100_000;

  private static void assignTask(Worker worker, StepKind kind, long cpuMillis) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, cpuMillis, 500, kind, 0));
    TestJobs.firstTask(job).assign(worker, 1, "");
  }

  static Stream<Arguments> choiceCases() {
    BiConsumer<Task, List<Worker>> noChange = (task, workers) -> {};
    BiConsumer<Task, List<Worker>> secondIsFuller =
        (task, workers) -> assignTask(workers.get(1), StepKind.PLAIN, 4_000);
    BiConsumer<Task, List<Worker>> secondIsFull =
        (task, workers) -> assignTask(workers.get(1), StepKind.PLAIN, 15_500);
    BiConsumer<Task, List<Worker>> failedOnFirst =
        (task, workers) -> task.failedWorkerIds.add(workers.get(0).entry.id());
    BiConsumer<Task, List<Worker>> firstServesRequests =
        (task, workers) -> assignTask(workers.get(0), StepKind.SERVING, 4_000);
    return Stream.of(
        Arguments.of("the first of equal workers", StepKind.PLAIN, noChange, "w0"),
        Arguments.of("the one with less free capacity", StepKind.PLAIN, secondIsFuller, "w1"),
        Arguments.of(
            "one with enough free capacity rather than a full one",
            StepKind.PLAIN,
            secondIsFull,
            "w0"),
        Arguments.of("not one on which the task has failed", StepKind.PLAIN, failedOnFirst, "w1"),
        Arguments.of(
            "for a backfill task, one without a serving task",
            StepKind.BACKFILL,
            firstServesRequests,
            "w1"),
        Arguments.of(
            "for a plain task, also one with a serving task",
            StepKind.PLAIN,
            firstServesRequests,
            "w0"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("choiceCases")
  void choosesWorker(
      String description,
      StepKind kind,
      BiConsumer<Task, List<Worker>> change,
      String expectedWorkerId) {
    Task task =
        TestJobs.firstTask(TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, kind, 0)));
    List<Worker> workers = List.of(TestWorkers.withId("w0"), TestWorkers.withId("w1"));
    change.accept(task, workers);
    assertEquals(
        Optional.of(expectedWorkerId),
        WorkerChoice.chooseWorker(task, workers).map(worker -> worker.entry.id()),
        description);
  }

  @ParameterizedTest
  @MethodSource("maxPerWorkerCases")
  void limitsTasksOfOneStepPerWorker(int maxPerWorker, boolean expectedFit) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(2, 1_000, 500, StepKind.PLAIN, maxPerWorker));
    Worker worker = TestWorkers.withId("w0");
    TestJobs.firstTask(job).assign(worker, 1, "");
    assertEquals(expectedFit, WorkerChoice.fits(job.occurrences().get(0).get(0).get(1), worker));
  }

  static Stream<Arguments> maxPerWorkerCases() {
    return Stream.of(Arguments.of(0, true), Arguments.of(1, false), Arguments.of(2, true));
  }

  static Stream<Arguments> usabilityCases() {
    Consumer<Worker> noChange = worker -> {};
    Consumer<Worker> unlisted = worker -> worker.listed = false;
    Consumer<Worker> notReported = worker -> worker.hasReported = false;
    Consumer<Worker> cordoned = worker -> worker.cordonReason = "wave 1";
    Consumer<Worker> evacuated = worker -> worker.zoneEvacuated = true;
    Consumer<Worker> unresponsive = worker -> worker.consecutiveCallFailures = 1;
    Consumer<Worker> avoided = worker -> worker.avoidUntilMillis = NOW_MILLIS + 1;
    return Stream.of(
        Arguments.of("listed and has reported", noChange, true),
        Arguments.of("not listed", unlisted, false),
        Arguments.of("has not reported to this scheduler", notReported, false),
        Arguments.of("cordoned", cordoned, false),
        Arguments.of("in an evacuated zone", evacuated, false),
        Arguments.of("does not respond", unresponsive, false),
        Arguments.of("avoided after a failed request", avoided, false));
  }

  @ParameterizedTest(name = "{0}: {2}")
  @MethodSource("usabilityCases")
  void detectsUsableWorkers(String description, Consumer<Worker> change, boolean expected) {
    Worker worker = TestWorkers.withId("w0");
    change.accept(worker);
    assertEquals(expected, WorkerChoice.isUsable(worker, NOW_MILLIS), description);
  }
}
