package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;
import org.sassafraslink.scheduler.workerlease.LeaseEnd;
import org.sassafraslink.scheduler.workerlease.LeaseEndRow;

/**
 * Guards against the wait for a lost worker that begins anew with each takeover, and against runs
 * of a task on two workers because of the end that a predecessor recorded.
 */
class RecordedLeaseEndTest {
  private static final long SEED = 20261208;
  private static final List<String> NODES = List.of("n0", "n1", "n2");
  private static final int WORKERS = 6;
  private static final String JOB = "lasting";
  private static final TaskId TASK = new TaskId(JOB, 0, 0, 0);
  private static final String TABLE = "worker-leases";
  private static final RowKey KEY = new RowKey(TABLE, JobRows.MAIN_PARTITION, "recorded-ends");

  /** After this age a worker holds no lease from commands to an earlier incarnation. */
  private static final int STEADY_MILLIS = 45_000;

  /** The tasks outlast the test. */
  private static final int TASK_TIME_FACTOR = 1_000;

  /** The rule for long-running tasks: within 3 s from 6 s after the last run. */
  private static final long MAX_AWAY_MILLIS = 9_000;

  /** Within this time after its restart a worker is known and its tasks run again, in ms. */
  private static final int MAX_DISCOVERY_MILLIS = 3_000;

  private static final int AFTER_FAULT_MILLIS = 30_000;
  private static final Set<CommandKind> ALL = EnumSet.allOf(CommandKind.class);

  private SimFleet fleet;
  private final List<String> events = new ArrayList<>();

  /** Runs one task for 45 s. */
  private void startFleet(int phaseMillis) {
    fleet = SimFleet.start(SEED + phaseMillis, NODES.size(), WORKERS);
    fleet.eventObserver = (event, fields) -> events.add(event);
    fleet.multiplyTaskTimes(TASK_TIME_FACTOR);
    fleet.runFor(3_000);
    fleet.submitToOpenQueue(
        JOB,
        SimFleet.QUEUE,
        TestJobs.step(
            /* count= */ 1, 1_000, 500, TestJobs.StepKind.LONG_RUNNING, /* maxPerWorker= */ 1));
    fleet.runFor(STEADY_MILLIS + phaseMillis);
    assertEquals(1, fleet.runningAttemptCountOf(JOB));
  }

  private String busyWorker() {
    return fleet.workerIds(SimFleet.POOL).stream()
        .filter(fleet::isRunningAttempt)
        .findFirst()
        .orElseThrow();
  }

  private void killScheduler() {
    fleet.schedulingNodeName().ifPresent(fleet::startNode);
  }

  private void stopScheduler() {
    fleet.nodes.get(fleet.schedulingNodeName().orElseThrow()).stop();
  }

  private void setOutcome(String worker, CommandOutcome outcome) {
    NODES.forEach(node -> fleet.network.setOutcome(node, worker, ALL, outcome));
  }

  private void setBehavior(Behavior behavior) {
    NODES.forEach(node -> fleet.rowStore.setBehavior(node, behavior));
  }

  private long awayMillis(long sinceMillis) {
    return fleet
        .guaranteeChecker
        .runHistory()
        .longestGapMillis(TASK, sinceMillis, fleet.clock.nowMillis());
  }

  private void assertRunsOnce() {
    fleet.runFor(AFTER_FAULT_MILLIS);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(List.of(), fleet.guaranteeChecker.runHistory().duplicateRuns());
    assertEquals(1, fleet.runningAttemptCountOf(JOB), "tasks that run");
  }

  private void assertRunsAgainInTime(String scenario, long lostMillis) {
    assertRunsOnce();
    long away = awayMillis(lostMillis);
    System.out.printf("away %5d ms: %s%n", away, scenario);
    assertTrue(away <= MAX_AWAY_MILLIS, scenario + ": " + away + " ms");
  }

  static Stream<Arguments> takeovers() {
    return IntStream.rangeClosed(1, 4)
        .boxed()
        .flatMap(
            count ->
                IntStream.of(0, 130, 390, 770)
                    .mapToObj(phaseMillis -> Arguments.of(count, phaseMillis)));
  }

  /** Guards against a wait that begins anew with each successor. */
  @ParameterizedTest
  @MethodSource("takeovers")
  void workerIsLostAndSchedulersAreKilledInSeries(int count, int phaseMillis) {
    startFleet(phaseMillis);
    fleet.crashWorker(busyWorker());
    long lostMillis = fleet.clock.nowMillis();
    fleet.runFor(3_000);
    for (int i = 0; i < count; i++) {
      killScheduler();
      fleet.runFor(1_500);
    }
    assertRunsAgainInTime(count + " kills, phase " + phaseMillis, lostMillis);
  }

  /** Guards against a wait that begins anew when the scheduler hands over. */
  @ParameterizedTest
  @ValueSource(ints = {0, 130, 390, 770})
  void workerIsLostBeforeGracefulStop(int phaseMillis) {
    startFleet(phaseMillis);
    fleet.crashWorker(busyWorker());
    long lostMillis = fleet.clock.nowMillis();
    fleet.runFor(5_000);
    stopScheduler();
    assertRunsAgainInTime("graceful stop, phase " + phaseMillis, lostMillis);
  }

  /** Guards against a worker known only from rows that is waited for anew by each successor. */
  @ParameterizedTest
  @ValueSource(ints = {0, 130, 390, 770})
  void entryOfLostWorkerVanishesBetweenTakeovers(int phaseMillis) {
    startFleet(phaseMillis);
    String lost = busyWorker();
    fleet.crashWorker(lost);
    long lostMillis = fleet.clock.nowMillis();
    fleet.runFor(2_000);
    fleet.unlistWorker(lost);
    fleet.runFor(500);
    killScheduler();
    fleet.runFor(1_500);
    killScheduler();
    assertRunsAgainInTime("entry vanishes, phase " + phaseMillis, lostMillis);
  }

  /** A worker that answers again in time. */
  private record CutOff(int cutMillis, int killAfterMillis, int kills) {
    static final int NONE = -1;
  }

  static Stream<Arguments> cutsThatEndInTime() {
    return Stream.of(
            new CutOff(2_500, CutOff.NONE, 0),
            new CutOff(3_500, CutOff.NONE, 0),
            new CutOff(3_500, 2_000, 1),
            new CutOff(3_500, 1_700, 1),
            new CutOff(3_500, 3_300, 1),
            new CutOff(3_500, 2_000, 2),
            new CutOff(3_000, 3_020, 1),
            new CutOff(3_000, 3_200, 1))
        .flatMap(
            cut ->
                IntStream.of(0, 250, 510, 770)
                    .mapToObj(phaseMillis -> Arguments.of(cut, phaseMillis)));
  }

  /** Guards against a task that ends because its worker gets no lease after it was recorded. */
  @ParameterizedTest
  @MethodSource("cutsThatEndInTime")
  void workerAnswersAgainInTime(CutOff cut, int phaseMillis) {
    startFleet(phaseMillis);
    long startMillis = fleet.clock.nowMillis();
    playCut(cut);
    assertRunsOnce();
    assertEquals(0, awayMillis(startMillis), "ms away");
  }

  /** Plays a cut of the busy worker, and kills schedulers from a time after its begin on. */
  private void playCut(CutOff cut) {
    String worker = busyWorker();
    setOutcome(worker, CommandOutcome.NOT_DELIVERED);
    long cutMillis = fleet.clock.nowMillis();
    fleet.clock.runAfter(
        cut.cutMillis(), () -> setOutcome(worker, CommandOutcome.RESPONSE_RECEIVED));
    for (int i = 0; i < cut.kills(); i++) {
      fleet.clock.runAfter(cut.killAfterMillis() + 700L * i, this::killScheduler);
    }
    fleet.runFor(cutMillis + 9_000 - fleet.clock.nowMillis());
  }

  /** Guards against two runs when the worker lives on beyond the recorded end. */
  @ParameterizedTest
  @ValueSource(ints = {5_000, 5_500, 6_000, 6_500, 7_000, 12_000})
  void workerIsCutOffUntilItsLeaseHasEnded(int cutMillis) {
    for (int phaseMillis : new int[] {0, 250, 510, 770}) {
      for (int kills = 0; kills <= 3; kills++) {
        startFleet(phaseMillis);
        playCut(new CutOff(cutMillis, 2_000, kills));
        fleet.runFor(6_000);
        assertRunsOnce();
      }
    }
  }

  /** Guards against an end that a clock of another rate shows too early. */
  @ParameterizedTest
  @ValueSource(doubles = {0.981, 1.019})
  void clockOfStoreHasAnotherRate(double rate) {
    for (int kills = 1; kills <= 4; kills++) {
      startFleet(/* phaseMillis= */ 0);
      fleet.rowStore.setClockRate(rate);
      fleet.runFor(5_000);
      playCut(new CutOff(12_000, 2_000, kills));
      fleet.runFor(6_000);
      assertRunsOnce();
    }
  }

  static Stream<Arguments> storeFaults() {
    return Stream.of(Behavior.values())
        .filter(behavior -> behavior != Behavior.NORMAL)
        .flatMap(
            behavior ->
                IntStream.of(0, 700, 1_400, 2_400, 3_400)
                    .boxed()
                    .flatMap(
                        delayMillis ->
                            IntStream.of(400, 2_000)
                                .mapToObj(millis -> Arguments.of(behavior, delayMillis, millis))));
  }

  /** Guards against two runs when the outcome of a write of the row is unknown. */
  @ParameterizedTest
  @MethodSource("storeFaults")
  void storeFailsWhileWorkerIsCutOff(Behavior behavior, int delayMillis, int millis) {
    for (int kills = 0; kills <= 2; kills++) {
      startFleet(/* phaseMillis= */ 0);
      fleet.clock.runAfter(delayMillis, () -> setBehavior(behavior));
      fleet.clock.runAfter(delayMillis + millis, () -> setBehavior(Behavior.NORMAL));
      playCut(new CutOff(2_800, 2_000, kills));
      assertRunsOnce();
    }
  }

  /** Guards against a task that ends while the row is slow to be written. */
  @ParameterizedTest
  @ValueSource(ints = {100, 400, 800})
  void rowIsSlowToBeWritten(int delayMillis) {
    for (int kills = 0; kills <= 1; kills++) {
      startFleet(/* phaseMillis= */ 0);
      fleet.rowStore.delayWrites(TABLE, delayMillis);
      long startMillis = fleet.clock.nowMillis();
      playCut(new CutOff(2_800, 2_600, kills));
      assertRunsOnce();
      assertEquals(0, awayMillis(startMillis), "ms away");
    }
  }

  /** Guards against leases that are granted before the removal of an entry is committed. */
  @ParameterizedTest
  @ValueSource(ints = {2_000, 3_000, 4_000})
  void workerIsCutOffAgainBeforeItsEntryIsRemoved(int answersMillis) {
    for (int phaseMillis : new int[] {0, 250, 510, 770}) {
      startFleet(phaseMillis);
      String worker = busyWorker();
      setOutcome(worker, CommandOutcome.NOT_DELIVERED);
      fleet.runFor(2_000);
      assertEquals(1, fleet.rowStore.countWrites(TABLE));
      fleet.rowStore.delayWrites(TABLE, 10_000);
      setOutcome(worker, CommandOutcome.RESPONSE_RECEIVED);
      fleet.runFor(answersMillis);
      setOutcome(worker, CommandOutcome.NOT_DELIVERED);
      killScheduler();
      fleet.runFor(15_000);
      setOutcome(worker, CommandOutcome.RESPONSE_RECEIVED);
      fleet.rowStore.delayWrites(TABLE, 0);
      assertRunsOnce();
    }
  }

  /** Guards against ends that a scheduler recorded before others granted further leases. */
  @ParameterizedTest
  @CsvSource({"0, true", "-1, false", "1, false", "unreadable, false"})
  void rowIsUsedOnlyIfItIsOfThePredecessor(String epochDifference, boolean isUsed) {
    startFleet(/* phaseMillis= */ 0);
    String worker = busyWorker();
    setOutcome(worker, CommandOutcome.NOT_DELIVERED);
    fleet.runFor(3_000);
    LeaseEndRow row = LeaseEndRow.decode(fleet.rowStore.findRow(KEY).value()).orElseThrow();
    LeaseEnd early = new LeaseEnd(fleet.incarnation(worker), 0);
    String value =
        epochDifference.equals("unreadable")
            ? "{\"epoch\":" + row.epoch() + ",\"workers\":{\"" + worker + "\":[0]}}"
            : new LeaseEndRow(
                    row.epoch() + Long.parseLong(epochDifference), ImmutableMap.of(worker, early))
                .encode();
    fleet.rowStore.putRow(KEY.table(), KEY.partition(), KEY.key(), value);
    killScheduler();
    fleet.runFor(AFTER_FAULT_MILLIS);
    // An end that is too early is noticed by the checker, so the row was used.
    assertEquals(isUsed, !fleet.guaranteeChecker.violations().isEmpty());
  }

  /** Guards against an entry of a lost incarnation that keeps the next one from getting tasks. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void recordedWorkerRestarts(int kills) {
    startFleet(/* phaseMillis= */ 0);
    String worker = busyWorker();
    fleet.crashWorker(worker);
    fleet.runFor(2_500);
    if (kills > 0) {
      killScheduler();
      fleet.runFor(300);
    }
    long restartMillis = fleet.clock.nowMillis();
    fleet.startWorker(worker);
    fleet.runFor(MAX_DISCOVERY_MILLIS);
    assertEquals(1, fleet.runningAttemptCountOf(JOB), "tasks that run");
    assertRunsOnce();
    assertTrue(awayMillis(restartMillis) <= MAX_DISCOVERY_MILLIS);
    String row = fleet.rowStore.findRow(KEY).value();
    assertEquals(Optional.of(0), LeaseEndRow.decode(row).map(read -> read.endByWorker().size()));
  }

  /** Guards against writes when nothing is wrong. */
  @Test
  void nothingIsWrittenWhileWorkersAnswer() {
    startFleet(/* phaseMillis= */ 0);
    killScheduler();
    fleet.runFor(5_000);
    stopScheduler();
    assertRunsOnce();
    assertEquals(0, fleet.rowStore.countWrites(TABLE));
  }

  /** Guards against more writes than changes of what is to be known. */
  @Test
  void lostWorkerIsRecordedOnceAndOnceMoreByTheSuccessor() {
    startFleet(/* phaseMillis= */ 0);
    fleet.crashWorker(busyWorker());
    fleet.runFor(3_000);
    assertEquals(1, fleet.rowStore.countWrites(TABLE));
    killScheduler();
    assertRunsOnce();
    assertEquals(2, fleet.rowStore.countWrites(TABLE));
  }

  @Test
  void workerThatAnswersAgainIsRemoved() {
    startFleet(/* phaseMillis= */ 0);
    playCut(new CutOff(2_500, CutOff.NONE, 0));
    assertEquals(2, fleet.rowStore.countWrites(TABLE));
    assertTrue(events.contains("worker.lease_recorded"));
    assertTrue(events.contains("worker.lease_record_removed"));
  }
}
