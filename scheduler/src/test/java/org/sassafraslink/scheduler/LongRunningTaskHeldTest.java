package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Guards against commands, attempts or changes of which nothing is known any more and which keep a
 * long-running task from running after the fault that caused this.
 */
class LongRunningTaskHeldTest {
  private static final long SEED = 20261208;
  private static final List<String> NODES = List.of("n0", "n1", "n2");
  private static final int WORKERS = 6;
  private static final String JOB = "lasting";
  private static final int TASKS = 2;

  /** After this age a worker holds no lease from commands to an earlier incarnation. */
  private static final int STEADY_MILLIS = 45_000;

  /** The tasks outlast the test. */
  private static final int TASK_TIME_FACTOR = 1_000;

  /** The rule for long-running tasks, without the time of its first 6 s, in ms. */
  private static final int MAX_AWAY_MILLIS = 3_000;

  /** The longest true time of a lease that a worker holds from its scheduler. */
  private static final int LEASE_MILLIS = 6_540;

  /** After this time without an answer, another worker is asked as well. */
  private static final int PROMPT_ANSWER_MILLIS = 150;

  private static final int AFTER_FAULT_MILLIS = 30_000;
  private static final Set<CommandKind> ALL = EnumSet.allOf(CommandKind.class);

  private SimFleet fleet;

  /** A fault that ends when this returns. */
  @FunctionalInterface
  private interface Fault {
    void run(LongRunningTaskHeldTest test);
  }

  private record Scenario(String name, Fault fault) {
    @Override
    public String toString() {
      return name;
    }
  }

  private void startFleet(int phaseMillis) {
    fleet = SimFleet.start(SEED + phaseMillis, NODES.size(), WORKERS);
    fleet.multiplyTaskTimes(TASK_TIME_FACTOR);
    fleet.runFor(3_000);
  }

  private void submit() {
    fleet.submitToOpenQueue(
        JOB,
        SimFleet.QUEUE,
        TestJobs.step(TASKS, 1_000, 500, TestJobs.StepKind.LONG_RUNNING, /* maxPerWorker= */ 1));
  }

  private void runTasksFor(int millis) {
    submit();
    fleet.runFor(millis);
    assertEquals(TASKS, busyWorkers().size(), "tasks that run");
  }

  private List<String> workers() {
    return fleet.workerIds(SimFleet.POOL);
  }

  private List<String> busyWorkers() {
    return workers().stream().filter(fleet::isRunningAttempt).toList();
  }

  private void setOutcome(Set<CommandKind> kinds, CommandOutcome outcome) {
    for (String node : NODES) {
      for (int i = 0; i < WORKERS; i++) {
        fleet.network.setOutcome(node, "w" + i, kinds, outcome);
      }
    }
  }

  private void disturb(Set<CommandKind> kinds, CommandOutcome outcome, int millis) {
    setOutcome(kinds, outcome);
    fleet.runFor(millis);
    setOutcome(kinds, CommandOutcome.RESPONSE_RECEIVED);
  }

  private void disturbStore(Behavior behavior, int millis) {
    NODES.forEach(node -> fleet.rowStore.setBehavior(node, behavior));
    fleet.runFor(millis);
    NODES.forEach(node -> fleet.rowStore.setBehavior(node, Behavior.NORMAL));
  }

  private void restartWorkers() {
    workers().forEach(fleet::startWorker);
  }

  private void killScheduler() {
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
  }

  static Stream<Scenario> faultsThatEnd() {
    Stream<Scenario> ofCommands =
        Stream.of(
                CommandOutcome.NOT_DELIVERED,
                CommandOutcome.RESPONSE_LOST,
                CommandOutcome.EXECUTED_LATE)
            .flatMap(LongRunningTaskHeldTest::faultsOfCommands);
    Stream<Scenario> ofStore =
        Stream.of(Behavior.values())
            .filter(behavior -> behavior != Behavior.NORMAL)
            .flatMap(
                behavior ->
                    IntStream.of(500, 3_000, 8_000)
                        .mapToObj(
                            millis ->
                                new Scenario(
                                    "workers restart, store " + behavior + " for " + millis,
                                    test -> {
                                      test.runTasksFor(20_000);
                                      test.restartWorkers();
                                      test.fleet.runFor(10);
                                      test.disturbStore(behavior, millis);
                                    })));
    Stream<Scenario> ofProcesses =
        Stream.of(
            new Scenario(
                "workers and scheduler restart",
                test -> {
                  test.runTasksFor(20_000);
                  test.restartWorkers();
                  test.killScheduler();
                }),
            new Scenario(
                "scheduler lost while workers are cut off",
                test -> {
                  test.runTasksFor(20_000);
                  test.killScheduler();
                  test.disturb(ALL, CommandOutcome.NOT_DELIVERED, 9_000);
                }),
            new Scenario(
                "entries vanish, workers restart",
                test -> {
                  test.runTasksFor(20_000);
                  List<String> ids = test.workers();
                  ids.forEach(test.fleet::unlistWorker);
                  test.killScheduler();
                  test.fleet.runFor(5_000);
                  test.restartWorkers();
                  ids.forEach(test.fleet::unlistWorker);
                  test.fleet.runFor(5_000);
                  ids.forEach(test.fleet::relistWorker);
                }),
            new Scenario(
                "operator's rows unreadable, workers restart",
                test -> {
                  test.runTasksFor(20_000);
                  test.fleet.nodes.values().forEach(node -> node.setOperatorReadsFail(true));
                  test.fleet.runFor(5_000);
                  test.restartWorkers();
                  test.fleet.runFor(5_000);
                  test.fleet.nodes.values().forEach(node -> node.setOperatorReadsFail(false));
                }),
            new Scenario(
                "workers fail all short tasks, and are quarantined",
                test -> {
                  test.runTasksFor(5_000);
                  test.fleet.multiplyTaskTimes(1);
                  test.fleet.workersThatFailAllTasks.addAll(test.workers());
                  for (int i = 0; i < 40; i++) {
                    test.fleet.submit("short" + i, SimFleet.step(WORKERS, 1_000));
                    test.fleet.runFor(200);
                  }
                  test.fleet.workersThatFailAllTasks.clear();
                  test.fleet.multiplyTaskTimes(TASK_TIME_FACTOR);
                  test.busyWorkers().forEach(test.fleet::startWorker);
                }));
    return Stream.of(ofCommands, ofStore, ofProcesses).flatMap(each -> each);
  }

  private static Stream<Scenario> faultsOfCommands(CommandOutcome outcome) {
    return Stream.of(
        new Scenario(
            "first start " + outcome,
            test -> {
              test.submit();
              test.disturb(EnumSet.of(CommandKind.START), outcome, 9_000);
            }),
        new Scenario(
            "first start " + outcome + ", workers restart",
            test -> {
              test.submit();
              test.disturb(EnumSet.of(CommandKind.START), outcome, 2_000);
              test.restartWorkers();
            }),
        new Scenario(
            "first start " + outcome + ", scheduler lost",
            test -> {
              test.submit();
              test.disturb(EnumSet.of(CommandKind.START), outcome, 1_000);
              test.killScheduler();
            }));
  }

  /** Guards against a task that is still held when its workers and the store are sound again. */
  @ParameterizedTest
  @MethodSource("faultsThatEnd")
  void taskRunsSoonAfterFault(Scenario scenario) {
    startFleet(/* phaseMillis= */ 0);
    scenario.fault().run(this);
    fleet.runFor(MAX_AWAY_MILLIS);
    assertEquals(TASKS, fleet.runningAttemptCountOf(JOB), "tasks that run");
    fleet.runFor(AFTER_FAULT_MILLIS);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(TASKS, fleet.runningAttemptCountOf(JOB), "tasks that run later");
  }

  private void assertOwedTasksRun() {
    fleet.runFor(AFTER_FAULT_MILLIS);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(TASKS, fleet.runningAttemptCountOf(JOB), "tasks that run");
  }

  static IntStream phases() {
    return IntStream.range(0, 60).map(phase -> 10 * phase + phase % 10);
  }

  /** Guards against a wait for the lease of a process whose last renewal outlives it. */
  @ParameterizedTest
  @MethodSource("phases")
  void schedulerIsReplacedAtOnceWhateverItWasDoing(int phaseMillis) {
    startFleet(phaseMillis);
    runTasksFor(STEADY_MILLIS + phaseMillis);
    fleet.crashWorker(busyWorkers().get(0));
    fleet.runFor(3_000);
    killScheduler();
    fleet.runFor(500);
    assertTrue(fleet.schedulingNodeName().isPresent(), "nobody schedules");
    assertOwedTasksRun();
  }

  /** Guards against repeated starts that prolong the lease of a lost worker. */
  @ParameterizedTest
  @ValueSource(ints = {0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1_000})
  void startWithoutAnswerIsRepeatedToLostWorker(int phaseMillis) {
    startFleet(phaseMillis);
    fleet.runFor(STEADY_MILLIS);
    submit();
    setOutcome(EnumSet.of(CommandKind.START), CommandOutcome.NOT_DELIVERED);
    fleet.runFor(8_000 + phaseMillis);
    fleet.crashWorker(fleet.startCommands.get(fleet.startCommands.size() - 1).worker());
    setOutcome(ALL, CommandOutcome.RESPONSE_RECEIVED);
    assertOwedTasksRun();
  }

  /** Guards against a wait for leases that a young worker may have from an earlier incarnation. */
  @ParameterizedTest
  @CsvSource({"5000, 0", "5000, 3000", "20000, 0", "20000, 3000"})
  void youngWorkerIsLostBesideScheduler(int ageMillis, int killDelayMillis) {
    startFleet(/* phaseMillis= */ 0);
    runTasksFor(ageMillis);
    fleet.crashWorker(busyWorkers().get(0));
    fleet.runFor(killDelayMillis);
    killScheduler();
    assertOwedTasksRun();
  }

  /** Guards against the same wait for a worker that has restarted shortly before. */
  @ParameterizedTest
  @ValueSource(ints = {300, 1_000})
  void workerIsLostAfterRestart(int delayMillis) {
    startFleet(/* phaseMillis= */ 0);
    runTasksFor(STEADY_MILLIS);
    restartWorkers();
    fleet.runFor(delayMillis);
    fleet.crashWorker(busyWorkers().get(0));
    assertOwedTasksRun();
  }

  /** Guards against the same wait where another worker could have had the task. */
  @ParameterizedTest
  @ValueSource(ints = {300, 1_000, 2_500, 3_900})
  void oneWorkerIsLostAfterRestart(int delayMillis) {
    startFleet(/* phaseMillis= */ 0);
    runTasksFor(STEADY_MILLIS);
    String restarted = busyWorkers().get(0);
    fleet.startWorker(restarted);
    fleet.runFor(delayMillis);
    fleet.crashWorker(restarted);
    assertOwedTasksRun();
    assertTrue(fleet.longestAbsenceMillis() < 1_000, "" + fleet.longestAbsenceMillis());
  }

  /** Guards against a task that is given to idle workers which have been lost unnoticed. */
  @ParameterizedTest
  @ValueSource(ints = {0, 500})
  void idleWorkersAreLostAfterBusyOne(int phaseMillis) {
    startFleet(phaseMillis);
    runTasksFor(STEADY_MILLIS + phaseMillis);
    List<String> idle = idleWorkers();
    fleet.crashWorker(busyWorkers().get(0));
    fleet.runFor(3_000);
    idle.stream().limit(2).forEach(fleet::crashWorker);
    assertOwedTasksRun();
  }

  private List<String> idleWorkers() {
    return workers().stream().filter(worker -> !fleet.isRunningAttempt(worker)).toList();
  }

  /** Guards against the same at any time before the task is assigned, and of a new task. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1_000, 4_000, 4_500, 5_000})
  void noStartIsSentToIdleWorkerThatWasLost(int delayMillis) {
    startFleet(/* phaseMillis= */ 0);
    runTasksFor(STEADY_MILLIS);
    List<String> lost = idleWorkers().subList(0, 3);
    fleet.crashWorker(busyWorkers().get(0));
    fleet.runFor(delayMillis);
    assertEquals(TASKS, fleet.startCommands.size(), "no task has been assigned again yet");
    lost.forEach(fleet::crashWorker);
    assertOwedTasksRun();
    assertTrue(fleet.startCommands.stream().noneMatch(start -> lost.contains(start.worker())));
    assertTrue(
        fleet.longestAbsenceMillis() <= LEASE_MILLIS + lost.size() * PROMPT_ANSWER_MILLIS + 300,
        "" + fleet.longestAbsenceMillis());
  }

  /** Guards against short tasks that take the room of a task while its worker is asked. */
  @ParameterizedTest
  @ValueSource(ints = {0, 10, 20, 30, 40})
  void roomIsHeldWhileIdleWorkerIsAsked(int phaseMillis) {
    startFleet(/* phaseMillis= */ 0);
    fleet.runFor(STEADY_MILLIS + phaseMillis);
    submit();
    fleet.submitToOpenQueue("short", SimFleet.QUEUE, SimFleet.step(200, 1_000));
    fleet.runFor(1_000);
    assertEquals(TASKS, fleet.runningAttemptCountOf(JOB), "tasks that run");
  }

  /** Guards against a sound worker that is not asked again after one request was lost. */
  @Test
  void idleWorkerWithLostRequestGetsTasksAgain() {
    startFleet(/* phaseMillis= */ 0);
    fleet.runFor(STEADY_MILLIS);
    setOutcome(EnumSet.of(CommandKind.REPORT_REQUEST), CommandOutcome.NOT_DELIVERED);
    submit();
    fleet.runFor(100);
    setOutcome(ALL, CommandOutcome.RESPONSE_RECEIVED);
    fleet.runFor(MAX_AWAY_MILLIS);
    fleet.submitToOpenQueue("short", SimFleet.QUEUE, SimFleet.step(96, 1_000));
    fleet.runFor(1_000);
    assertEquals(List.of(), idleWorkers());
  }

  /** Guards against requests that are sent although no task is to start. */
  @Test
  void noMoreReportsAreRequestedInQuietTimes() {
    startFleet(/* phaseMillis= */ 0);
    runTasksFor(STEADY_MILLIS);
    submitSecondStepToBusyWorkers();
    fleet.reportRequests.clear();
    fleet.runFor(60_000);
    assertEquals(Set.copyOf(busyWorkers()), Set.copyOf(fleet.reportRequests));
    assertTrue(fleet.reportRequests.size() <= 60 * TASKS, "" + fleet.reportRequests.size());
  }

  /** Submits a job whose tasks are assigned while long polls of their workers are pending. */
  private void submitSecondStepToBusyWorkers() {
    fleet.submitToOpenQueue(
        "second",
        SimFleet.QUEUE,
        TestJobs.step(TASKS, 1_000, 500, TestJobs.StepKind.LONG_RUNNING, /* maxPerWorker= */ 1));
    fleet.runFor(3_000);
    assertEquals(TASKS, busyWorkers().size(), "workers with tasks");
  }
}
