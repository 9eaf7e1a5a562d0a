package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.TestJobs.StepKind;
import org.sassafraslink.scheduler.relocation.Absences;

/** Guards against a log from which on-call cannot tell why a long-running task does not run. */
class LongRunningStateLogTest {
  private static final long RESET_MILLIS = 10_000;
  private static final long NOW_MILLIS = 12_000;
  private static final Resources TEAM_LIMIT = new Resources(8_000, 0, 0);

  private final List<String> lines = new ArrayList<>();
  private final EventLog log = EventLog.create("n", () -> NOW_MILLIS, lines::add);
  private final LongRunningTaskLog taskLog = new LongRunningTaskLog(log);
  private final Worker worker = TestWorkers.withId("w0");
  private final PublishedConfig config = new PublishedConfig();
  private final Quarantine quarantine = new Quarantine(EventLog.silent());
  private int withoutPlace;

  private final LongRunningStateLog stateLog =
      new LongRunningStateLog(
          log,
          config,
          pool -> pool.equals("pool") ? List.of(worker) : List.of(),
          quarantine,
          (task, workers, nowMillis) -> ImmutableMap.of(),
          pool -> withoutPlace);

  @BeforeEach
  void publishSettings() {
    config.applySettings(TestSettings.ofTeamLimit(TEAM_LIMIT));
    stateLog.writeIfDue(List.of(), RESET_MILLIS, RESET_MILLIS);
  }

  /** Returns a task that lost its worker 1,500 ms ago. */
  private Task awayTask(long cpuMillis) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, cpuMillis, 500, StepKind.LONG_RUNNING, 0));
    Task task = TestJobs.firstTask(job);
    start(task, 1, RESET_MILLIS);
    taskLog.recordRelease(task, TaskPhase.WAITING, "worker_gone", NOW_MILLIS - 1_500);
    task.release(TaskPhase.WAITING, NOW_MILLIS - 1_500);
    return task;
  }

  private void start(Task task, int attempt, long nowMillis) {
    task.assign(worker, attempt, "");
    task.phase = TaskPhase.RUNNING;
    task.confirmedMillis = nowMillis;
    taskLog.recordStart(task, nowMillis);
  }

  static List<Arguments> causes() {
    return List.of(
        cause("placeable", 1_000, worker -> {}),
        cause("no_room", 7_000, worker -> addTask(worker, 10_000)),
        cause("no_worker", 1_000, worker -> worker.listed = false),
        cause("team_limit", 8_001, worker -> {}),
        cause("cordoned", 1_000, worker -> worker.cordonReason = "wave"),
        cause("evacuated", 1_000, worker -> worker.zoneEvacuated = true),
        cause("unreported", 1_000, worker -> worker.hasReported = false),
        cause("avoided", 1_000, worker -> worker.avoidUntilMillis = NOW_MILLIS + 1),
        cause("replacement_suspected", 1_000, worker -> worker.suspectReplacement(NOW_MILLIS)));
  }

  private static Arguments cause(String reason, long cpuMillis, Consumer<Worker> change) {
    return Arguments.of(reason, cpuMillis, change);
  }

  private static void addTask(Worker worker, long cpuMillis) {
    Job other = TestJobs.jobAcceptedAt(0, TestJobs.step(1, cpuMillis, 500, StepKind.PLAIN, 0));
    TestJobs.firstTask(other).assign(worker, /* nextAttempt= */ 1, "");
  }

  @ParameterizedTest
  @MethodSource("causes")
  void lineHidesCause(String reason, long cpuMillis, Consumer<Worker> change) {
    Task task = awayTask(cpuMillis);
    change.accept(worker);
    lines.clear();
    stateLog.writeIfDue(List.of(task.job), NOW_MILLIS, NOW_MILLIS);
    assertEquals(1, lines.size(), lines.toString());
    String fields =
        "\"event\":\"long_running.state\",\"pool\":\"pool\",\"away\":1,\"longestMillis\":1500,"
            + "\"withoutPlace\":0,\""
            + reason
            + "\":1}";
    assertTrue(lines.get(0).endsWith(fields), lines.toString());
    assertEquals(1, stateLog.lastSecond().count());
    stateLog.reset(NOW_MILLIS);
    assertEquals(Absences.NONE, stateLog.lastSecond());
  }

  // A task on a drained worker still runs, and is away as soon as the worker ends.
  @Test
  void taskThatRunsWithoutPlaceHasNoLine() {
    withoutPlace = 2;
    stateLog.writeIfDue(List.of(), NOW_MILLIS, NOW_MILLIS);
    assertTrue(lines.get(0).contains("\"away\":0,\"longestMillis\":0,\"withoutPlace\":2}"));
  }

  @Test
  void quietSystemWritesLines() {
    Task task = awayTask(1_000);
    start(task, 2, NOW_MILLIS);
    lines.clear();
    stateLog.writeIfDue(List.of(task.job), NOW_MILLIS, NOW_MILLIS);
    assertEquals(List.of(), lines);
  }

  // The time away must count from the last run, not from an attempt that never began.
  @Test
  void failedStartsShortenAbsence() {
    Task task = awayTask(1_000);
    task.assign(worker, 2, "");
    taskLog.recordRelease(task, TaskPhase.WAITING, "no_room", NOW_MILLIS - 500);
    task.release(TaskPhase.WAITING, NOW_MILLIS - 500);
    start(task, 3, NOW_MILLIS);
    assertEquals(3, lines.size(), lines.toString());
    assertTrue(lines.get(0).contains("long_running.away"), lines.toString());
    assertTrue(
        lines
            .get(0)
            .endsWith("\"reason\":\"worker_gone\",\"awayMillis\":0,\"since\":\"RELEASE\"}"));
    assertTrue(
        lines.get(1).endsWith("\"reason\":\"no_room\",\"awayMillis\":1000,\"since\":\"RELEASE\"}"));
    assertTrue(lines.get(2).contains("long_running.back"), lines.toString());
    assertTrue(
        lines
            .get(2)
            .endsWith(
                "\"worker\":\"w0\",\"reason\":\"\",\"awayMillis\":1500,\"since\":\"RELEASE\"}"));
  }

  // The new incarnation answers, but the run ended with the earlier one.
  @Test
  void absenceCountsFromReleaseOfRestartedWorker() {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, StepKind.LONG_RUNNING, 0));
    Task task = TestJobs.firstTask(job);
    start(task, 1, RESET_MILLIS);
    worker.lastResponseMillis = NOW_MILLIS - 1_200;
    Worker restarted = TestWorkers.restarted(worker);
    restarted.lastResponseMillis = NOW_MILLIS;
    worker.remove(task);
    task.moveToRestartedWorker(restarted);
    taskLog.recordRelease(task, TaskPhase.WAITING, "not_reported", NOW_MILLIS);
    assertTrue(lines.get(0).endsWith("\"awayMillis\":1200,\"since\":\"HEARD\"}"), lines.toString());
  }

  // A run ends with its worker, not with the end of the lease after which it is released.
  @ParameterizedTest
  @CsvSource({"10500, HEARD, 1500", "0, TAKEOVER, 2000"})
  void absenceCountsFromReleaseOfSilentWorker(long heardMillis, String source, long awayMillis) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, StepKind.LONG_RUNNING, 0));
    Task task = TestJobs.firstTask(job);
    taskLog.reset(RESET_MILLIS);
    stateLog.reset(RESET_MILLIS);
    stateLog.writeIfDue(List.of(), RESET_MILLIS, RESET_MILLIS);
    start(task, 1, RESET_MILLIS);
    worker.lastResponseMillis = heardMillis;
    worker.consecutiveCallFailures = 1;
    stateLog.writeIfDue(List.of(job), NOW_MILLIS, NOW_MILLIS);
    assertTrue(
        lines
            .get(0)
            .endsWith(
                "\"away\":1,\"longestMillis\":"
                    + awayMillis
                    + ",\"withoutPlace\":0,\"unreported\":1}"),
        lines.toString());
    taskLog.recordRelease(task, TaskPhase.WAITING, "lease_expired", NOW_MILLIS);
    assertTrue(
        lines.get(1).endsWith("\"awayMillis\":" + awayMillis + ",\"since\":\"" + source + "\"}"),
        lines.toString());
  }
}
