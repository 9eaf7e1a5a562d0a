package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/**
 * Guards against lost ends of attempts and against tasks that run twice. An end is lost if its VM
 * is taken away, or if it is acknowledged, before it is committed. A task can run twice for the
 * same reasons, or if a lease counts as expired while the worker may still run tasks.
 */
class WorkerTest {
  private static final long NOW_MILLIS = 100_000;

  private final Worker worker = TestWorkers.withId("w0");
  private final Job job =
      TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, StepKind.PLAIN, 0));

  @Test
  void isSafeToRemoveOnlyWithoutTasks() {
    assertTrue(worker.isSafeToRemove());
    TestJobs.firstTask(job).assign(worker, 1, "");
    assertFalse(worker.isSafeToRemove());
  }

  @Test
  void isNotSafeToRemoveWhileAnEndIsUncommitted() {
    job.recordChange(NOW_MILLIS);
    worker.lastProcessedEnd = 1;
    worker.acknowledgeAfterCommit(1, job);
    worker.advanceLastCommittedEnd();
    assertFalse(worker.isSafeToRemove());
    assertEquals(0, worker.lastCommittedEnd);
    job.lastCommittedChange = job.lastChange;
    worker.advanceLastCommittedEnd();
    assertTrue(worker.isSafeToRemove());
    assertEquals(1, worker.lastCommittedEnd);
  }

  @Test
  void commitOfLastJobMakesWorkerSafeToRemove() {
    Job other = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, StepKind.PLAIN, 0));
    job.recordChange(NOW_MILLIS);
    other.recordChange(NOW_MILLIS);
    worker.lastProcessedEnd = 2;
    worker.acknowledgeAfterCommit(1, job);
    worker.acknowledgeAfterCommit(2, other);
    other.lastCommittedChange = other.lastChange;
    other.advanceWorkersAwaitingCommit();
    assertFalse(worker.isSafeToRemove());
    job.lastCommittedChange = job.lastChange;
    job.advanceWorkersAwaitingCommit();
    assertTrue(worker.isSafeToRemove());
  }

  @Test
  void leaseOfUnresponsiveWorkerIsNotExtended() {
    worker.recordResponse(
        /* workerClockMillis= */ 500,
        /* inheritedLeaseMillis= */ 0,
        /* sentMillis= */ NOW_MILLIS,
        NOW_MILLIS);
    Optional<Long> leaseEnd = worker.grantLease(6_000, NOW_MILLIS);
    assertEquals(Optional.of(6_500L), leaseEnd);
    worker.consecutiveCallFailures = 1;
    assertEquals(leaseEnd, worker.grantLease(6_000, NOW_MILLIS + 3_000));
    assertFalse(worker.isLeaseExpired(NOW_MILLIS + 6_000));
    // 6,000 ms on a clock that is 2 percent slow, plus the margin of 150 ms, have passed.
    assertTrue(worker.isLeaseExpired(NOW_MILLIS + 6_300));
  }
}
