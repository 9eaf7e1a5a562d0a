package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.TestJobs.StepKind;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimFleet.StartCommand;
import org.sassafraslink.scheduler.sim.SimLayout;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/** Guards against starts in an availability zone after the request to evacuate it was known. */
class EvacuationTest {
  private static final long SEED = 20261206;
  private static final int NODES = 3;
  private static final int WORKERS = 6;
  private static final int WORKER_CPU_MILLIS = 8_000;

  /** The zone that is evacuated, with half of the workers. */
  private static final String EVACUATED = "zone-a";

  /** Longer than the schedulers need to elect one, the loss of a worker, or a lost command. */
  private static final int LONG_MILLIS = 15_000;

  /** After an outage the operator's rows are read this much later than others at most. */
  private static final long READ_RETRY_MILLIS = 150;

  private SimFleet fleet;

  @AfterEach
  void checkGuarantees() {
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  /** Starts a fleet whose first three workers are in the zone that is evacuated. */
  private void startFleet() {
    startFleet(SimFleet.start(SEED, NODES, /* workerCount= */ 0));
  }

  private void startFleet(SimFleet started) {
    fleet = started;
    fleet.putInZone(EVACUATED, "w0", "w1", "w2");
    for (int i = 0; i < WORKERS; i++) {
      fleet.startWorker("w" + i);
    }
    fleet.runFor(3_000);
  }

  private SimNode scheduler() {
    return fleet.nodes.get(fleet.schedulingNodeName().orElseThrow());
  }

  private long evacuate(String... zones) {
    fleet.evacuate(zones);
    return fleet.clock.nowMillis();
  }

  /** Submits jobs that together fill all workers, with one task each. */
  private void submitToFillFleet(String prefix) {
    for (int i = 0; i < WORKERS; i++) {
      fleet.submit(prefix + i, SimFleet.step(1, WORKER_CPU_MILLIS * 3 / 4));
    }
  }

  private void assertCompleted(String... jobs) {
    for (String job : jobs) {
      assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState(job), job);
    }
  }

  private void assertNoStartInZone(long sinceMillis) {
    assertEquals(List.of(), fleet.startsIn(EVACUATED, sinceMillis));
  }

  @Test
  void firstStartsGoToOtherZones() {
    startFleet();
    long since = evacuate(EVACUATED);
    submitToFillFleet("job");
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("job0", "job5");
  }

  @Test
  void tasksOfLostWorkerRestartInOtherZones() {
    startFleet();
    fleet.multiplyTaskTimes(20);
    submitToFillFleet("job");
    fleet.runFor(500);
    // The only worker with room when the leases of the lost ones expire is in the zone.
    fleet.putInZone(EVACUATED, "w" + WORKERS);
    fleet.startWorker("w" + WORKERS);
    long since = evacuate(EVACUATED);
    fleet.crashWorker("w1");
    fleet.crashWorker("w4");
    fleet.runFor(3 * LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("job0", "job1", "job2", "job3", "job4", "job5");
  }

  /** Guards against stopping work because its zone is evacuated. */
  @ParameterizedTest
  @EnumSource(
      value = StepKind.class,
      names = {"PLAIN", "LONG_RUNNING"})
  void runningTasksAreLeftToEnd(StepKind kind) {
    startFleet();
    fleet.multiplyTaskTimes(1_000);
    fleet.submit("job", TestJobs.step(WORKERS, 1_000, 500, kind, /* maxPerWorker= */ 1));
    fleet.runFor(1_000);
    assertEquals(WORKERS, fleet.runningAttemptCount());
    evacuate(EVACUATED);
    fleet.runFor(LONG_MILLIS);
    assertEquals(WORKERS, fleet.runningAttemptCount());
    assertEquals(WORKERS, fleet.startCommands.size());
  }

  /** Guards against repeating a start whose answer was lost. */
  @ParameterizedTest
  @CsvSource({
    "NOT_DELIVERED, PLAIN",
    "NOT_DELIVERED, LONG_RUNNING",
    "NOT_DELIVERED, GANG",
    "RESPONSE_LOST, PLAIN",
    "RESPONSE_LOST, LONG_RUNNING",
    "RESPONSE_LOST, GANG",
    "EXECUTED_LATE, PLAIN",
    "EXECUTED_LATE, LONG_RUNNING",
    "EXECUTED_LATE, GANG",
  })
  void unansweredStartIsNotRepeated(CommandOutcome outcome, String kind) {
    startFleet();
    List<String> inZone = List.of("w0", "w1", "w2");
    SimNode scheduler = scheduler();
    inZone.forEach(worker -> scheduler.setCommandOutcomeFor(worker, outcome));
    fleet.multiplyTaskTimes(10);
    StepSpec step =
        kind.equals("GANG")
            ? TestJobs.gang(WORKERS / 2 + 1, 1_000, 500)
            : TestJobs.step(WORKERS, 1_000, 500, StepKind.valueOf(kind), /* maxPerWorker= */ 0);
    // One task on each worker, so that some starts are in the zone.
    fleet.submit("fill", TestJobs.step(WORKERS, 5_000, 500, StepKind.PLAIN, 1));
    fleet.submit("job", step);
    fleet.runFor(300);
    long since = evacuate(EVACUATED);
    assertTrue(fleet.startsIn(EVACUATED, 0).size() > 0, "starts before the evacuation");
    fleet.runFor(700);
    // Now as many workers are left as the gang has members.
    fleet.startWorker("w" + WORKERS);
    inZone.forEach(
        worker -> scheduler.setCommandOutcomeFor(worker, CommandOutcome.RESPONSE_RECEIVED));
    fleet.runFor(3 * LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("fill", "job");
  }

  /** Guards against interrupting a long-running task because the answer to its start was lost. */
  @Test
  void longRunningTaskWithLostAnswerIsLeftToRun() {
    startFleet();
    SimNode scheduler = scheduler();
    setStartOutcome(CommandOutcome.RESPONSE_LOST);
    submitLongRunningTasks();
    // Workers get the starts only if they answer before.
    fleet.runFor(100);
    assertEquals(WORKERS, fleet.startCommands.size());
    scheduler.setCommandOutcome(CommandOutcome.RESPONSE_LOST);
    fleet.runFor(200);
    evacuate(EVACUATED);
    fleet.runFor(700);
    scheduler.setCommandOutcome(CommandOutcome.RESPONSE_RECEIVED);
    setStartOutcome(CommandOutcome.RESPONSE_RECEIVED);
    fleet.runFor(LONG_MILLIS);
    assertEquals(WORKERS / 2, fleet.runningAttemptCount(EVACUATED));
    assertTrue(fleet.startCommands.stream().allMatch(start -> start.attempt() == 1));
  }

  private void submitLongRunningTasks() {
    fleet.multiplyTaskTimes(1_000);
    fleet.submit(
        "job", TestJobs.step(WORKERS, 1_000, 500, StepKind.LONG_RUNNING, /* maxPerWorker= */ 1));
  }

  private void setStartOutcome(CommandOutcome outcome) {
    for (String node : fleet.nodes.keySet()) {
      for (int i = 0; i < WORKERS; i++) {
        fleet.network.setOutcome(node, "w" + i, EnumSet.of(CommandKind.START), outcome);
      }
    }
  }

  /** Guards against starts to workers that answer only after the request to evacuate them. */
  @Test
  void longRunningTaskStartsElsewhereIfNoWorkerAnswers() {
    startFleet();
    SimNode scheduler = scheduler();
    scheduler.setCommandOutcome(CommandOutcome.RESPONSE_LOST);
    submitLongRunningTasks();
    fleet.runFor(300);
    assertEquals(List.of(), fleet.startCommands);
    long since = evacuate(EVACUATED);
    fleet.runFor(700);
    scheduler.setCommandOutcome(CommandOutcome.RESPONSE_RECEIVED);
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertEquals(WORKERS / 2, fleet.runningAttemptCount());
  }

  /** Guards against sending a start that was assigned, but not committed, before the request. */
  @ParameterizedTest
  @ValueSource(ints = {10, 30, 100, 200})
  void startThatIsNotCommittedIsWithdrawn(int millisUntilEvacuation) {
    startFleet();
    fleet.rowStore.setTransactionMillis(300);
    submitToFillFleet("job");
    fleet.runFor(millisUntilEvacuation);
    long since = evacuate(EVACUATED);
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("job0", "job1", "job2", "job3", "job4", "job5");
  }

  /** Guards against members of a gang that wait in other zones for one that is withdrawn. */
  @Test
  void gangIsWithdrawnAsWhole() {
    startFleet();
    fleet.rowStore.setTransactionMillis(300);
    fleet.submit("gang", TestJobs.gang(WORKERS, 1_000, 500));
    fleet.runFor(100);
    long since = evacuate(EVACUATED);
    fleet.runFor(2_000);
    assertEquals(List.of(), fleet.startCommands);
    IntStream.range(WORKERS, WORKERS + 3).forEach(i -> fleet.startWorker("w" + i));
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("gang");
  }

  /** Guards against using a ticket of the advice service that was obtained before the request. */
  @Test
  void ticketsOfZoneAreNotUsed() {
    startFleet(SimFleet.start(SEED, NODES, SimLayout.withAdvice(0)));
    StepSpec first = TestJobs.step(WORKERS, 6_000, 400, StepKind.PLAIN, /* maxPerWorker= */ 1);
    fleet.submitToOpenQueue("first", SimFleet.QUEUE, first);
    fleet.submitToOpenQueue(
        "job", SimFleet.QUEUE, TestJobs.step(20, 6_000, 400, StepKind.PLAIN, 1));
    fleet.runFor(700);
    assertTrue(fleet.startsIn(EVACUATED, 0).size() > 0, "starts before the evacuation");
    long since = evacuate(EVACUATED);
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("first", "job");
  }

  /** Guards against a new scheduler that starts jobs before it knows the evacuations. */
  @ParameterizedTest
  @ValueSource(ints = {0, 20, 200, 1_000})
  void requestBetweenTwoSchedulersIsKnownBeforeFirstStart(int millisAfterKill) {
    startFleet();
    String killed = scheduler().name();
    submitToFillFleet("early");
    fleet.runFor(5);
    fleet.killNode(killed);
    submitToFillFleet("job");
    fleet.runFor(millisAfterKill);
    long since = evacuate(EVACUATED);
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("early0", "early5", "job0", "job5");
  }

  /** Guards against a process that schedules although it has never read the operator's rows. */
  @Test
  void doesNotScheduleBeforeFirstRead() {
    startFleet();
    for (String name : ImmutableList.copyOf(fleet.nodes.keySet())) {
      fleet.killNode(name);
    }
    long since = evacuate(EVACUATED);
    submitToFillFleet("job");
    for (int i = 0; i < NODES; i++) {
      fleet.startNodeWithFailingOperatorReads("n" + i);
    }
    fleet.runFor(LONG_MILLIS);
    assertEquals(List.of(), fleet.startCommands);
    fleet.nodes.values().forEach(node -> node.setOperatorReadsFail(false));
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("job0", "job5");
  }

  /** Guards against starts by a scheduler that can commit, but cannot see a new request. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void holdsStartsWhileEvacuationsAreUnknown(boolean isGang) {
    startFleet();
    SimNode scheduler = scheduler();
    scheduler.setOperatorReadsFail(true);
    long since = evacuate(EVACUATED);
    fleet.runFor(4_500);
    if (isGang) {
      fleet.submit("job0", TestJobs.gang(WORKERS / 2, 5_000, 500));
    } else {
      submitToFillFleet("job");
    }
    fleet.runFor(5_000);
    assertEquals(List.of(), fleet.startCommands);
    scheduler.setOperatorReadsFail(false);
    fleet.runFor(LONG_MILLIS);
    assertNoStartInZone(since);
    assertCompleted("job0");
  }

  /** Guards against an outage of the store that costs more where no zone is evacuated. */
  @ParameterizedTest
  @EnumSource(
      value = Behavior.class,
      names = {"FAILS_CALLS", "UNRESPONSIVE", "LOSES_RESPONSES"})
  void outageOfStoreServesAsWithoutBound(Behavior behavior) {
    ImmutableMap<TaskId, Long> expected = startsAroundOutage(behavior, Optional.empty());
    ImmutableMap<TaskId, Long> actual = startsAroundOutage(behavior, Optional.of(5_000L));
    assertEquals(expected.keySet(), actual.keySet());
    expected.forEach(
        (task, millis) ->
            assertTrue(actual.get(task) <= millis + READ_RETRY_MILLIS, task + " " + actual));
  }

  /** Returns when each task was started last. */
  private ImmutableMap<TaskId, Long> startsAroundOutage(
      Behavior behavior, Optional<Long> maxDelayMillis) {
    startFleet();
    fleet.maxEvacuationDelayMillis = maxDelayMillis;
    ImmutableList.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
    fleet.runFor(LONG_MILLIS);
    submitToFillFleet("before");
    fleet.runFor(20);
    fleet.nodes.keySet().forEach(name -> fleet.rowStore.setBehavior(name, behavior));
    fleet.runFor(1_000);
    submitToFillFleet("job");
    fleet.runFor(7_000);
    fleet.nodes.keySet().forEach(name -> fleet.rowStore.setBehavior(name, Behavior.NORMAL));
    fleet.runFor(LONG_MILLIS);
    assertCompleted("before0", "before5", "job0", "job5");
    return fleet.startCommands.stream()
        .collect(ImmutableMap.toImmutableMap(StartCommand::task, StartCommand::millis, Math::max));
  }

  /** Guards against work that stays away after the request was withdrawn. */
  @Test
  void workReturnsAtOnceAfterEvacuationOfAllZones() {
    startFleet();
    long since = evacuate(EVACUATED, "zone", "unknown");
    submitToFillFleet("job");
    fleet.runFor(LONG_MILLIS);
    assertEquals(List.of(), fleet.startCommands);
    long end = evacuate();
    fleet.runFor(250);
    assertEquals(WORKERS, fleet.startCommands.size());
    assertTrue(fleet.startsIn(EVACUATED, end).size() > 0, "starts in the zone");
    assertEquals(end, since + LONG_MILLIS);
  }
}
