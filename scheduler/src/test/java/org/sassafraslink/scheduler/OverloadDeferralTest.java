package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.OverloadDeferral.InTimeJob;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/**
 * Guards against one wide job that makes many small ones late, against a changed order in pools
 * with enough room, and against a log that does not show who is deferred.
 */
class OverloadDeferralTest {
  private static final long NOW_MILLIS = 100_000;

  private final List<String> lines = new ArrayList<>();
  private final OverloadDeferral overloadDeferral =
      new OverloadDeferral(
          new PublishedConfig(),
          new DurationModel(),
          EventLog.create("n", () -> NOW_MILLIS, lines::add));

  /** Returns a job of tasks of one core and 1 s; a worker has 16 cores. */
  private static InTimeJob job(String id, int tasks, long slackMillis) {
    Job job =
        TestJobs.jobAcceptedAt(
            id, NOW_MILLIS, TestJobs.step(tasks, 1_000, 1_000, StepKind.PLAIN, 0));
    return new InTimeJob(job, TestJobs.QUEUE, NOW_MILLIS + slackMillis);
  }

  private Set<String> deferredAfter(long millis, InTimeJob... jobs) {
    return overloadDeferral.deferredJobs(
        "pool",
        List.of(jobs),
        List.of(TestWorkers.withId("w")),
        NOW_MILLIS + millis,
        NOW_MILLIS + millis);
  }

  @ParameterizedTest
  @CsvSource({
    // The small jobs can start behind the wide one.
    "3000, ''",
    // They can't: it takes 2,353 ms of the usable capacity.
    "2000, wide"
  })
  void wideJobIsDeferredOnlyIfOthersWouldBeLate(long slackMillis, String expected) {
    Set<String> deferred =
        deferredAfter(
            0, job("wide", 32, 1_000), job("a", 2, slackMillis), job("b", 2, slackMillis));
    assertEquals(expected.isEmpty() ? Set.of() : Set.of(expected), deferred);
    assertEquals(expected.isEmpty() ? 0 : 1, lines.size());
  }

  @Test
  void deferredJobsAreLoggedOnceASecond() {
    for (long millis = 0; millis < 1_500; millis += 10) {
      deferredAfter(millis, job("wide", 32, 1_600), job("a", 2, 2_000));
    }
    assertEquals(2, lines.size());
    assertTrue(
        lines
            .get(0)
            .contains(
                "\"pool\":\"pool\",\"inTime\":1,\"deferred\":1,"
                    + "\"byQueuePriorityReason\":\"queue/1/MOST_WORK:1\""),
        lines.get(0));
  }
}
