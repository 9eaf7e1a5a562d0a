package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Resources;

/**
 * Guards against a wrong estimate by {@link DemandRate} of the resources that a pool uses on
 * average. Too low an estimate leaves tasks waiting for VMs; too high an estimate keeps VMs that
 * the pool does not need.
 */
class DemandRateTest {
  private static final long NOW_MILLIS = 10_000;

  private final DemandRate demandRate = new DemandRate(new DurationModel());

  /** Returns a job of ten tasks that use one core each for two seconds: 20 core-seconds. */
  private static Job twentyCoreSecondJob() {
    return TestJobs.jobAcceptedAt(0, TestJobs.step(10, 1_000, 2_000, TestJobs.StepKind.PLAIN, 0));
  }

  private Resources averageUse(long nowMillis) {
    return demandRate.estimate("pool", nowMillis).averageUse();
  }

  /** Adds a job every {@code intervalMillis} ms up to, but not at, {@code toMillis}. */
  private void addArrivals(long fromMillis, long toMillis, long intervalMillis) {
    for (long millis = fromMillis; millis < toMillis; millis += intervalMillis) {
      demandRate.addArrival("pool", twentyCoreSecondJob(), 0, millis);
    }
  }

  /**
   * Guards against an estimate that follows a burst only after seconds. The burst of 20 jobs a
   * second uses 400 cores on average.
   */
  @ParameterizedTest
  @CsvSource({"300, 150", "500, 240", "1000, 300"})
  void burstIsNoticedWithinFractionOfSecond(long burstMillis, long minCores) {
    addArrivals(0, NOW_MILLIS, /* intervalMillis= */ 1_000);
    addArrivals(NOW_MILLIS, NOW_MILLIS + burstMillis, /* intervalMillis= */ 50);
    DemandRate.Estimate estimate = demandRate.estimate("pool", NOW_MILLIS + burstMillis);
    assertTrue(estimate.isRising());
    long cores = estimate.averageUse().cpuMillis() / 1_000;
    assertTrue(cores >= minCores && cores <= 480, cores + " cores");
  }

  /** Guards against VMs that are moved for a single job, however large it is. */
  @Test
  void singleJobIsNoBurst() {
    addArrivals(0, 10_000, /* intervalMillis= */ 5_000);
    // The job of 5 s ago counts with the weight e to the power of -5.
    assertEquals(20_135, averageUse(5_000).cpuMillis());
    assertFalse(demandRate.estimate("pool", 5_000).isRising());
  }

  /**
   * Guards against VMs that are moved for a large job whose estimate is far off, because small jobs
   * have arrived beside it. The small jobs use 200 cores on average.
   */
  @ParameterizedTest
  @CsvSource({"20, 10", "100, 10", "100, 30"})
  void largeJobAmongSmallOnesIsNoBurst(int tasks, long seconds) {
    addArrivals(0, NOW_MILLIS, /* intervalMillis= */ 100);
    Job largeJob =
        TestJobs.jobAcceptedAt(
            0, TestJobs.step(tasks, 1_000, 1_000 * seconds, TestJobs.StepKind.PLAIN, 0));
    demandRate.addArrival("pool", largeJob, 0, NOW_MILLIS);
    long largeJobCores = tasks * seconds;
    long cores = averageUse(NOW_MILLIS).cpuMillis() / 1_000;
    assertTrue(cores <= 300 + largeJobCores, cores + " cores");
  }

  /** Guards against VMs that are powered off in the middle of a burst, or kept long after it. */
  @ParameterizedTest
  @CsvSource({"0, false", "100, false", "500, true", "2000, true"})
  void demandFallsSoonAfterTheLastArrival(long sinceLastArrivalMillis, boolean expected) {
    addArrivals(0, NOW_MILLIS + 1, /* intervalMillis= */ 100);
    DemandRate.Estimate estimate = demandRate.estimate("pool", NOW_MILLIS + sinceLastArrivalMillis);
    assertFalse(estimate.isRising() && sinceLastArrivalMillis > 0);
    assertEquals(expected, estimate.isFalling());
  }

  @Test
  void steadyArrivalsDoNotRise() {
    addArrivals(0, NOW_MILLIS, /* intervalMillis= */ 100);
    assertFalse(demandRate.estimate("pool", NOW_MILLIS).isRising());
  }

  @Test
  void steadyArrivalsUseWorkArrivingPerSecond() {
    for (long arrivalMillis = 0; arrivalMillis <= NOW_MILLIS; arrivalMillis += 500) {
      demandRate.addArrival("pool", twentyCoreSecondJob(), 0, arrivalMillis);
    }
    // The whole work of a job counts from its arrival, so the estimate is above the mean then.
    Resources averageUse = averageUse(NOW_MILLIS);
    assertEquals(
        40_000, (double) averageUse.cpuMillis(), 12_000, "two jobs of 20 core-seconds each second");
    assertEquals(
        averageUse.cpuMillis(),
        averageUse.memoryMb(),
        "each task needs as many MB as thousandths of a core");
  }

  @Test
  void useDecaysWhenNothingArrives() {
    demandRate.addArrival("pool", twentyCoreSecondJob(), 0, 0);
    assertEquals(20_000, averageUse(0).cpuMillis());
    assertEquals(20_000 / Math.E, (double) averageUse(1_000).cpuMillis(), 1);
    assertEquals(Resources.NONE, averageUse(60_000));
  }

  @Test
  void restoredJobsAreWeightedByAge() {
    demandRate.addArrival("pool", twentyCoreSecondJob(), 1_000, NOW_MILLIS);
    assertEquals(20_000 / Math.E, (double) averageUse(NOW_MILLIS).cpuMillis(), 1);
  }

  @Test
  void longRunningTasksAndOtherPoolsAreIgnored() {
    Job longRunningJob =
        TestJobs.jobAcceptedAt(
            0, TestJobs.step(10, 1_000, 2_000, TestJobs.StepKind.LONG_RUNNING, 0));
    demandRate.addArrival("pool", longRunningJob, 0, NOW_MILLIS);
    demandRate.addArrival("other", twentyCoreSecondJob(), 0, NOW_MILLIS);
    assertEquals(Resources.NONE, averageUse(NOW_MILLIS));
  }
}
