package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimFleet.StartCommand;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Guards against a long-running task that waits too long for its unanswered start to be executed by
 * a later incarnation of a lost worker, or for the lease of a worker whose entry stays.
 */
class StartInDoubtOfLostWorkerTest {
  private static final long SEED = 20261208;
  private static final int WORKERS = 6;
  private static final String JOB = "lasting";
  private static final int TASKS = 2;

  /** After this age a worker holds no lease from commands to an earlier incarnation. */
  private static final int STEADY_MILLIS = 45_000;

  /** The tasks outlast the test. */
  private static final int TASK_TIME_FACTOR = 1_000;

  private static final int LONGEST_WAIT_MILLIS = 40_000;

  /** Latest time of the next run after the end of a worker on a calm day, in ms. */
  private static final int MAX_AWAY_MILLIS = 9_000;

  private final SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 1, WORKERS);

  static Stream<Arguments> cases() {
    return Stream.of(
            CommandOutcome.NOT_DELIVERED,
            CommandOutcome.RESPONSE_LOST,
            CommandOutcome.EXECUTED_LATE)
        .flatMap(
            outcome ->
                IntStream.of(0, 50, 300, 700, 1_500, 3_000, 5_000, 8_000)
                    .mapToObj(millis -> Arguments.of(outcome, millis)));
  }

  private void setStartOutcome(CommandOutcome outcome) {
    for (int i = 0; i < WORKERS; i++) {
      fleet.network.setOutcome("n0", "w" + i, EnumSet.of(CommandKind.START), outcome);
    }
  }

  /** Submits the job, and returns the workers to which its starts were sent, some ms later. */
  private Set<String> startTasks(CommandOutcome outcome, int millis) {
    fleet.multiplyTaskTimes(TASK_TIME_FACTOR);
    fleet.runFor(STEADY_MILLIS);
    setStartOutcome(outcome);
    fleet.submitToOpenQueue(
        JOB,
        SimFleet.QUEUE,
        TestJobs.step(TASKS, 1_000, 500, TestJobs.StepKind.LONG_RUNNING, /* maxPerWorker= */ 1));
    while (fleet.startCommands.isEmpty()) {
      fleet.runFor(1);
    }
    fleet.runFor(millis);
    return fleet.startCommands.stream().map(StartCommand::worker).collect(Collectors.toSet());
  }

  /** Asserts that the tasks run in time after the last event, and run once. */
  private void assertTasksRunInTime() {
    setStartOutcome(CommandOutcome.RESPONSE_RECEIVED);
    int millis = 0;
    while (fleet.runningAttemptCountOf(JOB) < TASKS && millis < LONGEST_WAIT_MILLIS) {
      fleet.runFor(10);
      millis += 10;
    }
    assertTrue(millis <= MAX_AWAY_MILLIS, millis + " ms after the workers' end");
    fleet.runFor(30_000);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  @ParameterizedTest
  @MethodSource("cases")
  void taskRunsInTimeWhileEntryStays(CommandOutcome outcome, int lostAfterMillis) {
    startTasks(outcome, lostAfterMillis).forEach(fleet::crashWorkerThatStaysListed);
    assertTasksRunInTime();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void taskRunsInTimeAfterEntryOfLaterIncarnationIsDeleted(
      CommandOutcome outcome, int lostAfterMillis) {
    Set<String> lost = startTasks(outcome, lostAfterMillis);
    lost.forEach(fleet::startWorker);
    fleet.runFor(1);
    lost.forEach(fleet::crashWorker);
    assertTasksRunInTime();
  }

  /** As above, where the entry stays; the platform's pages have it deleted. */
  @ParameterizedTest
  @EnumSource(names = {"NOT_DELIVERED", "RESPONSE_LOST", "EXECUTED_LATE"})
  void taskRunsInTimeWhileLaterIncarnationStaysListed(CommandOutcome outcome) {
    Set<String> lost = startTasks(outcome, /* millis= */ 300);
    lost.forEach(fleet::startWorker);
    fleet.runFor(1);
    lost.forEach(fleet::crashWorkerThatStaysListed);
    assertTasksRunInTime();
  }
}
