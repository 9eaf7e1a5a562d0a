package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/**
 * Guards against a log from which on-call cannot tell why accepted jobs of a pool do not start: it
 * lacks VMs, its waiting jobs are late or excess, or their team is at its limit.
 */
class PoolStateLogTest {
  private static final long NOW_MILLIS = 10_000;
  private static final Resources TEAM_LIMIT = new Resources(4_000, 0, 0);

  private final List<String> lines = new ArrayList<>();
  private final List<Worker> workers = new ArrayList<>();
  private final PublishedConfig config = new PublishedConfig();
  private final PoolStateLog poolStateLog =
      new PoolStateLog(
          EventLog.create("n", () -> NOW_MILLIS, lines::add),
          config,
          pool -> pool.equals("pool") ? workers : List.of(),
          (pool, backlog, nowMillis) -> new Resources(2_500, 0, 0),
          pool -> pool.equals("pool") ? 3 : 0);

  @BeforeEach
  void publishSettings() {
    config.applySettings(TestSettings.ofTeamLimit(TEAM_LIMIT));
  }

  private void write(Job... jobs) {
    poolStateLog.writeIfDue(List.of(jobs), new Backlog(), NOW_MILLIS, NOW_MILLIS);
  }

  private void assertWritten(String fields) {
    assertTrue(lines.get(0).contains(fields), lines.toString());
  }

  private static Job jobWithTasks(int count, long cpuMillis) {
    return TestJobs.jobAcceptedAt(0, TestJobs.step(count, cpuMillis, 500, StepKind.PLAIN, 0));
  }

  // Tasks of late jobs justify no VMs, so without a count of their own no line shows them.
  @Test
  void waitingTasksOfLateJobsAreInNoCount() {
    Job late = jobWithTasks(3, 1_000);
    late.justifiesMoreWorkers = false;
    write(late, jobWithTasks(2, 1_000));
    assertWritten("\"waiting\":2,\"waitingLate\":3,\"waitingAtLimit\":0,\"jobsNotBegun\":2");
  }

  // A long-running task justifies a VM whatever the rank of its job.
  @Test
  void longRunningTaskCountsAsLate() {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, StepKind.LONG_RUNNING, 0));
    job.justifiesMoreWorkers = false;
    write(job);
    assertWritten("\"waiting\":1,\"waitingLate\":0");
  }

  // More VMs do not help tasks whose team is at its limit.
  @Test
  void tasksOfTeamAtItsLimitLookLikeShortage() {
    Job job = jobWithTasks(2, 4_001);
    write(job);
    assertWritten("\"waiting\":0,\"waitingLate\":0,\"waitingAtLimit\":2");
  }

  // A task that was assigned but whose start is not committed does not wait for a worker.
  @Test
  void assignedTasksCountAsWaiting() {
    Job job = jobWithTasks(2, 1_000);
    Worker worker = TestWorkers.withId("w0");
    workers.add(worker);
    TestJobs.firstTask(job).assign(worker, /* nextAttempt= */ 1, "");
    job.state = JobState.RUNNING;
    write(job);
    assertWritten("\"waiting\":1,\"waitingLate\":0,\"waitingAtLimit\":0,\"jobsNotBegun\":0");
  }

  // Ended and cancelled jobs stay live until their final state is committed.
  @Test
  void endedJobsCountAsWaiting() {
    Job cancelled = jobWithTasks(2, 1_000);
    cancelled.cancelRequested = true;
    Job failed = jobWithTasks(2, 1_000);
    failed.state = JobState.FAILED;
    write(cancelled, failed);
    assertWritten("\"waiting\":0,\"waitingLate\":0,\"waitingAtLimit\":0,\"jobsNotBegun\":0");
  }

  // Empty workers beside waiting tasks show that the pool does not lack VMs.
  @Test
  void emptyAndCordonedWorkersLookBusy() {
    Worker busy = TestWorkers.withId("w0");
    TestJobs.firstTask(jobWithTasks(1, 1_500)).assign(busy, /* nextAttempt= */ 1, "");
    Worker cordoned = TestWorkers.withId("w1");
    cordoned.cordonReason = "move";
    workers.addAll(List.of(busy, cordoned, TestWorkers.withId("w2")));
    write();
    assertWritten(
        "\"event\":\"pool.state\",\"pool\":\"pool\",\"workers\":3,\"uncordoned\":2,\"empty\":2,"
            + "\"movesTo\":3,\"capacityCores\":48.0,\"reservedCores\":1.5,\"neededCores\":2.5");
  }

  // Without the count, late tasks seem to wait beside free workers for no reason.
  @Test
  void workersDrainedForAnotherPoolLookFree() {
    Worker drained = TestWorkers.withId("w0");
    drained.isSurplus = true;
    workers.addAll(List.of(drained, TestWorkers.withId("w1")));
    write();
    assertWritten("\"surplus\":1");
  }

  // Free workers beside waiting tasks look like a fault unless the line shows the evacuation.
  @Test
  void evacuatedWorkersLookUsable() {
    Worker evacuated = TestWorkers.withId("w0");
    evacuated.zoneEvacuated = true;
    workers.addAll(List.of(evacuated, TestWorkers.withId("w1")));
    write();
    assertWritten("\"workers\":2,\"uncordoned\":1,\"empty\":2");
    assertWritten("\"evacuated\":1");
  }

  // Each line costs processor time, of which the scheduler may have little.
  @Test
  void linesAreWrittenInEachPass() {
    for (long millis = 0; millis < 2_000; millis += 10) {
      poolStateLog.writeIfDue(List.of(), new Backlog(), NOW_MILLIS + millis, NOW_MILLIS);
    }
    assertEquals(2, lines.size());
  }
}
