package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sassafraslink.scheduler.TestJobs.Trait;

/** {@link Worker}: when its VM may be taken away, when its lease is over, what is acknowledged. */
class WorkerTest {
  private static final long NOW = 100_000;

  private final Worker worker = TestWorkers.named("w0");
  private final Job job = TestJobs.accepted(0, TestJobs.step(1, 1_000, 500, Trait.PLAIN, 0));

  @Test
  void isSettledWithoutTasks() {
    assertTrue(worker.isSettled());
    TestJobs.first(job).assign(worker, 1, "");
    assertFalse(worker.isSettled());
  }

  @Test
  void isNotSettledWhileAnEndIsNotStored() {
    job.touch(NOW);
    worker.seenEnds = 1;
    worker.awaitCommit(1, job);
    worker.updateCommittedEnds();
    assertFalse(worker.isSettled());
    assertEquals(0, worker.committedEnds);
    job.committedChanges = job.changes;
    worker.updateCommittedEnds();
    assertTrue(worker.isSettled());
    assertEquals(1, worker.committedEnds);
  }

  @Test
  void leaseOfSilentWorkerIsNotExtended() {
    worker.onAnswer(500, NOW);
    long end = worker.grantLease(6_000, NOW);
    worker.silences = 1;
    assertEquals(end, worker.grantLease(6_000, NOW + 3_000));
    assertFalse(worker.isLeaseExpired(NOW + 6_000));
    assertTrue(worker.isLeaseExpired(NOW + 6_300));
  }
}
