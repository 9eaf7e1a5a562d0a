package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.JobState;

/** {@link DeadlineTriage}: which jobs of a pool can still be in time. */
class DeadlineTriageTest {
  private static final long NOW = 100_000;

  /** A job that keeps a worker with 16 cores busy for 1 s, and some more as not all is filled. */
  private static Job job() {
    return TestJobs.accepted(NOW, TestJobs.step(16, 1_000, 1_000, TestJobs.Trait.PLAIN, 0));
  }

  private static DeadlineTriage triage(Worker... workers) {
    return DeadlineTriage.of(new DurationModel(), List.of(workers));
  }

  @Test
  void admitsJobsAsLongAsThoseAheadLeaveThemTime() {
    DeadlineTriage triage = triage(TestWorkers.named("w"));
    assertTrue(triage.admits(job(), NOW, NOW), "an idle pool");
    assertTrue(triage.admits(job(), NOW + 1_200, NOW), "behind one job");
    assertFalse(triage.admits(job(), NOW + 1_200, NOW), "behind two jobs");
    assertTrue(triage.admits(job(), NOW + 2_400, NOW), "one that was not admitted takes no time");
  }

  @Test
  void largerPoolAdmitsMore() {
    DeadlineTriage triage =
        triage(TestWorkers.named("w1"), TestWorkers.named("w2"), TestWorkers.named("w3"));
    assertTrue(triage.admits(job(), NOW, NOW));
    assertTrue(triage.admits(job(), NOW + 400, NOW));
    assertTrue(triage.admits(job(), NOW + 800, NOW));
    assertFalse(triage.admits(job(), NOW + 800, NOW));
  }

  @Test
  void finishesWhatHasBegun() {
    DeadlineTriage triage = triage(TestWorkers.named("w"));
    assertTrue(triage.admits(job(), NOW, NOW));
    Job begun = job();
    begun.state = JobState.RUNNING;
    assertTrue(triage.admits(begun, NOW, NOW));
    assertFalse(triage.admits(job(), NOW + 1_200, NOW), "what has begun takes its time");
  }

  @Test
  void runningTasksTakeTheirTimeAndLastingOnesTheirRoom() {
    Worker busy = TestWorkers.named("w");
    job().occurrences().get(0).get(0).forEach(task -> task.assign(busy, 1, ""));
    assertFalse(triage(busy).admits(job(), NOW, NOW));
    assertTrue(triage(busy).admits(job(), NOW + 700, NOW));

    Worker half = TestWorkers.named("w");
    Job lasting = TestJobs.accepted(NOW, TestJobs.step(8, 1_000, 1, TestJobs.Trait.LASTING, 0));
    lasting.occurrences().get(0).get(0).forEach(task -> task.assign(half, 1, ""));
    DeadlineTriage triage = triage(half);
    assertTrue(triage.admits(job(), NOW, NOW));
    assertFalse(triage.admits(job(), NOW + 1_200, NOW));
    assertTrue(triage.admits(job(), NOW + 2_400, NOW));
  }

  @Test
  void poolWithoutWorkersAdmitsTheFirstJobOnly() {
    DeadlineTriage triage = triage();
    assertTrue(triage.admits(job(), NOW, NOW));
    assertFalse(triage.admits(job(), NOW + 10_000, NOW));
  }
}
