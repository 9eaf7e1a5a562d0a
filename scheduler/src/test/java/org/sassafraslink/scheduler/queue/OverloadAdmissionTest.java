package org.sassafraslink.scheduler.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.scheduler.queue.ServiceLevels.Counts;
import org.sassafraslink.scheduler.queue.ServiceLevels.SizeKey;

/** Guards against deferring a job whose callers lose more by it than those of another job. */
class OverloadAdmissionTest {
  private static final long NOW_MILLIS = 100_000;

  private static WaitingJob job(String id, String team, int priority, double work, double slack) {
    return new WaitingJob(
        id,
        "queue" + priority,
        team,
        priority,
        SizeClass.ORDINARY,
        NOW_MILLIS,
        NOW_MILLIS + slack,
        work,
        /* started= */ false);
  }

  private static WaitingJob job(String id, double work, double slack) {
    return job(id, "team", 0, work, slack);
  }

  private static WaitingJob started(WaitingJob job) {
    return new WaitingJob(
        job.id(),
        job.queue(),
        job.team(),
        job.priority(),
        job.size(),
        job.acceptedMillis(),
        job.latestStartMillis(),
        job.workMillis(),
        /* started= */ true);
  }

  private static WaitingJob largest(WaitingJob job) {
    return new WaitingJob(
        job.id(),
        job.queue(),
        job.team(),
        job.priority(),
        SizeClass.LARGEST,
        job.acceptedMillis(),
        job.latestStartMillis(),
        job.workMillis(),
        job.started());
  }

  private static WaitingJob acceptedAt(long acceptedMillis, WaitingJob job) {
    return new WaitingJob(
        job.id(),
        job.queue(),
        job.team(),
        job.priority(),
        job.size(),
        acceptedMillis,
        job.latestStartMillis(),
        job.workMillis(),
        job.started());
  }

  private static ImmutableMap<String, DeferralReason> deferred(
      ServiceLevels levels, WaitingJob... jobs) {
    ImmutableList<WaitingJob> byLatestStart =
        ImmutableList.sortedCopyOf(
            Comparator.comparingDouble(WaitingJob::latestStartMillis), ImmutableList.copyOf(jobs));
    return OverloadAdmission.deferredJobs(
        new PoolLoad(byLatestStart, ImmutableMap.of(), ImmutableMap.of(), levels), NOW_MILLIS);
  }

  private static ImmutableMap<String, DeferralReason> deferred(WaitingJob... jobs) {
    return deferred(ServiceLevels.NONE, jobs);
  }

  @Test
  void wideJobDoesNotPushOutSmallOnes() {
    assertEquals(
        Map.of("wide", DeferralReason.MOST_WORK),
        deferred(job("wide", 900, 100), job("a", 200, 500), job("b", 200, 600)));
  }

  @Test
  void nothingIsDeferredWhileAllAreInTime() {
    assertEquals(Map.of(), deferred(job("wide", 900, 100), job("a", 200, 900)));
  }

  @Test
  void startedJobKeepsItsPlace() {
    assertEquals(
        Map.of("a", DeferralReason.NO_ROOM),
        deferred(started(job("wide", 900, 100)), job("a", 200, 500)));
  }

  @Test
  void jobOfLowerPriorityIsDeferredFirst() {
    assertEquals(
        Map.of("low", DeferralReason.LOWER_PRIORITY),
        deferred(job("low", "team", 1, 200, 100), job("high", 900, 150)));
  }

  /** Two thirds of the room are due to a team that asks for less. */
  @Test
  void teamAboveItsShareIsDeferredFirst() {
    assertEquals(
        Map.of("busy3", DeferralReason.TEAM_ABOVE_SHARE),
        deferred(
            job("busy1", "busy", 0, 200, 100),
            job("busy2", "busy", 0, 200, 200),
            job("busy3", "busy", 0, 200, 400),
            job("other", "other", 0, 300, 500)));
  }

  @Test
  void agedJobGoesBeforeEqualNewcomer() {
    assertEquals(
        Map.of("new", DeferralReason.MOST_WORK),
        deferred(acceptedAt(NOW_MILLIS - 1_000, job("old", 500, 300)), job("new", 500, 290)));
  }

  @Test
  void jobsThatWouldNotMakeRoomAreKept() {
    assertEquals(
        Map.of("late", DeferralReason.MOST_WORK),
        deferred(job("a", 300, 100), started(job("s", 500, 200)), job("late", 100, 300)));
  }

  /** Half as many of the largest start as of the queue, so the guarantee exempts one. */
  @Test
  void largestJobIsKeptWhileItsClassIsBehind() {
    ServiceLevels behind =
        new ServiceLevels(
            ImmutableMap.of(
                new SizeKey("queue0", SizeClass.ORDINARY), new Counts(90, 80),
                new SizeKey("queue0", SizeClass.LARGEST), new Counts(10, 4)),
            ImmutableMap.of());
    WaitingJob[] jobs = {largest(job("wide", 900, 100)), job("a", 200, 500), job("b", 200, 600)};
    assertEquals(
        Map.of("a", DeferralReason.MOST_WORK, "b", DeferralReason.MOST_WORK),
        deferred(behind, jobs));
  }

  @Test
  void lowPriorityIsKeptWhileItIsNotServed() {
    ServiceLevels notServed =
        new ServiceLevels(
            ImmutableMap.of(), ImmutableMap.of(0, new Counts(100, 60), 1, new Counts(20, 0)));
    assertEquals(
        Map.of("high", DeferralReason.MOST_WORK),
        deferred(notServed, job("low", "team", 1, 900, 100), job("high", 200, 500)));
  }

  /** Guards against admitted jobs that start too late behind each other in a long queue. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void admittedJobsStartInTime(long seed) {
    Random random = new Random(seed);
    WaitingJob[] jobs = new WaitingJob[1_500];
    for (int i = 0; i < jobs.length; i++) {
      WaitingJob next =
          job("job" + i, "team" + random.nextInt(20), random.nextInt(3), 10, random.nextInt(3_000));
      jobs[i] = random.nextInt(20) == 0 ? started(next) : next;
    }
    ImmutableMap<String, DeferralReason> deferred = deferred(jobs);
    double queuedMillis = 0;
    for (WaitingJob job :
        ImmutableList.sortedCopyOf(
            Comparator.comparingDouble(WaitingJob::latestStartMillis),
            ImmutableList.copyOf(jobs))) {
      if (!deferred.containsKey(job.id())) {
        assertTrue(job.started() || NOW_MILLIS + queuedMillis <= job.latestStartMillis());
        queuedMillis += job.workMillis();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    // Room for both.
    "100, 200, 1, 1, 400, 100, 200",
    // By weight.
    "300, 900, 1, 2, 300, 100, 200",
    // The first leaves what it does not ask for.
    "50, 900, 1, 1, 300, 50, 250",
    // A team without a weight.
    "300, 900, 0, 2, 300, 100, 200"
  })
  void sharesAreMaxMinFair(
      double demandA,
      double demandB,
      double weightA,
      double weightB,
      double room,
      double shareA,
      double shareB) {
    assertEquals(
        Map.of("a", shareA, "b", shareB),
        TeamShares.of(
            Map.of("a", demandA, "b", demandB), Map.of("a", weightA, "b", weightB), room));
  }
}
