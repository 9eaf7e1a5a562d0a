package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.scheduler.sim.SimFleet;

/**
 * Guards against a scheduler that starts jobs more slowly than they arrive while the store is slow,
 * although there are enough workers.
 */
class SlowStoreTest {
  private static final long SEED = 20261204;

  /** How long the store takes for a transaction on a usual day, and while it is slow, in ms. */
  private static final int USUAL_TRANSACTION_MILLIS = 8;

  private static final int SLOW_TRANSACTION_MILLIS = 42 * USUAL_TRANSACTION_MILLIS;

  private static final int JOBS_PER_SECOND = 70;
  private static final int WORKERS = 20;
  private static final int CPU_MILLIS_PER_TASK = 100;
  private static final int CHECK_INTERVAL_MILLIS = 10;

  /** The target for the time from the acceptance of an urgent job to its first start, in ms. */
  private static final int TARGET_START_MILLIS = 5_300;

  /** A commit waits for the one before it and then takes as long itself; the rest is a reserve. */
  private static final int START_MILLIS_WITHOUT_BACKLOG = 4 * SLOW_TRANSACTION_MILLIS;

  private final SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 1, WORKERS);
  private final List<JobSpec> jobs = new ArrayList<>();

  private void runSlowStore(int slowMillis) {
    fleet.rowStore.setTransactionMillis(USUAL_TRANSACTION_MILLIS);
    fleet.runFor(3_000);
    fleet.rowStore.setTransactionMillis(SLOW_TRANSACTION_MILLIS);
    for (int elapsed = 0; elapsed < slowMillis; elapsed += CHECK_INTERVAL_MILLIS) {
      while (jobs.size() * 1_000L < (long) elapsed * JOBS_PER_SECOND) {
        jobs.add(
            fleet.submit(
                "job" + jobs.size(),
                SimFleet.step(1, CPU_MILLIS_PER_TASK),
                SimFleet.step(1, CPU_MILLIS_PER_TASK, 0)));
      }
      fleet.runFor(CHECK_INTERVAL_MILLIS);
    }
  }

  /** Asserts that 95 of 100 jobs that were accepted long enough ago started within a limit. */
  private void assertStartedWithin(long limitMillis) {
    List<JobSpec> due =
        jobs.stream()
            .filter(job -> fleet.clock.nowMillis() - job.acceptedMillis() >= limitMillis)
            .toList();
    long inTime =
        due.stream()
            .filter(
                job ->
                    fleet
                        .guaranteeChecker
                        .firstStartMillis(job.id())
                        .map(startMillis -> startMillis - job.acceptedMillis() <= limitMillis)
                        .orElse(false))
            .count();
    assertTrue(
        !due.isEmpty() && inTime * 100 >= due.size() * 95L,
        inTime + " of " + due.size() + " jobs started within " + limitMillis + " ms");
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  /** Guards against a backlog that grows during the 3.6 s for which callers saw the store slow. */
  @Test
  void slowStoreDelaysStartsOfAllJobs() {
    runSlowStore(3_600);
    assertStartedWithin(START_MILLIS_WITHOUT_BACKLOG);
  }

  /** Guards against a backlog that exceeds the target if the store stays slow for longer. */
  @Test
  void storeThatStaysSlowDelaysStartsBeyondTheTarget() {
    runSlowStore(15_000);
    assertStartedWithin(TARGET_START_MILLIS);
  }
}
