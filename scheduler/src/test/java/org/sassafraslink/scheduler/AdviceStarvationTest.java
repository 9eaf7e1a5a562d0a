package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.scheduler.TestJobs.StepKind;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Guards against steps that never start because all calls to the advice service are for other
 * steps, or name other workers than those that may run them.
 */
final class AdviceStarvationTest {
  private static final long SEED = 20261205;
  private static final String FORBIDDEN = "forbidden";

  /** Time within which jobs that some worker may run must be completed, in ms. */
  private static final int FINISH_MILLIS = 14_000;

  private static SimFleet fleet(int workerCount) {
    SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 1, SimLayout.withAdvice(workerCount));
    fleet.runFor(3_000);
    return fleet;
  }

  private static void submit(SimFleet fleet, String id, StepSpec step) {
    fleet.submitToOpenQueue(id, SimFleet.QUEUE, step);
  }

  private static void assertCompleted(SimFleet fleet, String id) {
    assertEquals(JobState.COMPLETED, fleet.checkedState(id).orElseThrow(), id);
  }

  /** Guards against LOST of review/2: one such job took all calls, and no other job started. */
  @ParameterizedTest
  @CsvSource({
    "1, LONG_RUNNING",
    "10, LONG_RUNNING",
    "50, LONG_RUNNING",
    "1, PLAIN",
    "10, PLAIN",
    "50, PLAIN"
  })
  void jobThatNoWorkerMayRunStopsAllOthers(int forbiddenJobs, StepKind kind) {
    SimFleet fleet = fleet(6);
    fleet.advicePolicy = (job, worker) -> !job.startsWith(FORBIDDEN);
    for (int i = 0; i < forbiddenJobs; i++) {
      submit(fleet, FORBIDDEN + i, TestJobs.step(1, 1_000, 1_000, kind, 0));
    }
    fleet.runFor(1_000);
    List<String> jobs = List.of("a", "b", "c");
    jobs.forEach(job -> submit(fleet, job, TestJobs.step(2, 1_000, 1_000, StepKind.PLAIN, 0)));
    fleet.runFor(FINISH_MILLIS);
    jobs.forEach(job -> assertCompleted(fleet, job));
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  /** Guards against calls that always name the same workers, none of which may run the step. */
  @ParameterizedTest
  @ValueSource(ints = {0, 11, 12, 13, 24, 39})
  void onlyWorkerThatMayRunStepIsNeverNamed(int allowedWorker) {
    SimFleet fleet = fleet(40);
    fleet.advicePolicy = (job, worker) -> worker.equals("w" + allowedWorker);
    submit(fleet, "a", TestJobs.step(3, 1_000, 1_000, StepKind.PLAIN, 0));
    fleet.runFor(FINISH_MILLIS);
    assertCompleted(fleet, "a");
  }

  /** Guards against a gang that is wider than the number of workers that one call names. */
  @Test
  void wideGangNeverGetsTicketsForAllItsWorkers() {
    int tasks = StepAdvice.MAX_WORKERS_PER_CALL + 2;
    SimFleet fleet = fleet(2 * tasks);
    submit(fleet, "a", TestJobs.gang(tasks, 1_000, 600_000));
    fleet.runFor(FINISH_MILLIS);
    assertEquals(tasks, fleet.runningAttemptCount());
  }

  /** Tries policies under which each job may run on some workers, and some jobs on none. */
  @Property(tries = 100, seed = "20261205")
  void everyJobThatSomeWorkerMayRunIsDone(
      @ForAll @IntRange(min = 1, max = 30) int workers,
      @ForAll @IntRange(min = 1, max = 12) int jobs,
      @ForAll Set<@IntRange(min = 0, max = 11) Integer> forbidden,
      @ForAll @IntRange(min = 1, max = 7) int spread) {
    SimFleet fleet = fleet(workers);
    // Each job may run on every spread-th worker, and at least on one.
    fleet.advicePolicy =
        (job, worker) -> {
          int number = Integer.parseInt(job.substring(1));
          int index = Integer.parseInt(worker.substring(1));
          return !forbidden.contains(number)
              && (index == number % workers || (index + number) % spread == 0);
        };
    for (int i = 0; i < jobs; i++) {
      StepKind kind = forbidden.contains(i) && i % 2 == 0 ? StepKind.LONG_RUNNING : StepKind.PLAIN;
      submit(fleet, "j" + i, TestJobs.step(2, 1_000, 500, kind, 0));
      fleet.runFor(50);
    }
    fleet.runFor(FINISH_MILLIS);
    IntStream.range(0, jobs)
        .filter(i -> !forbidden.contains(i))
        .forEach(i -> assertCompleted(fleet, "j" + i));
    assertTrue(fleet.guaranteeChecker.violations().isEmpty());
  }
}
