package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * Estimates the resources that a pool uses on average at the current arrival rate of work.
 *
 * <p>If a pool got VMs only for tasks that already wait, those tasks would wait for as long as the
 * move of a VM takes. By Little's law, the amount of work that arrives in a second (resources times
 * duration) equals the resources that are in use on average, so the estimate is known before tasks
 * have to wait.
 */
final class DemandRate {
  /**
   * Time in which the weight of arrived work decays by a factor of e in the estimate that is always
   * used, in ms. With a longer time, it would miss changes that last some seconds.
   */
  private static final double DECAY_MILLIS = 1_000;

  /**
   * As {@link #DECAY_MILLIS}, for the estimate that shows early that a burst begins. It is used as
   * far as it rests on enough jobs.
   */
  private static final double BURST_DECAY_MILLIS = 300;

  /**
   * Work that has arrived in a pool, as resource amounts times ms, each weighted by its age at
   * {@code decayedToMillis}.
   */
  private static final class DecayingWork {
    private final double decayMillis;
    private double cpuMillis;
    private double memoryMb;
    private double accelerators;

    /** The sum of the squares of what each job has added to {@link #cpuMillis}. */
    private double squaredCpuMillis;

    private long decayedToMillis;

    DecayingWork(double decayMillis) {
      this.decayMillis = decayMillis;
    }

    private void decayTo(long nowMillis) {
      if (nowMillis > decayedToMillis) {
        double factor = Math.exp((decayedToMillis - nowMillis) / decayMillis);
        cpuMillis *= factor;
        memoryMb *= factor;
        accelerators *= factor;
        squaredCpuMillis *= factor * factor;
        decayedToMillis = nowMillis;
      }
    }

    private void add(Job job, DurationModel durationModel, long ageMillis) {
      double weight = Math.exp(-Math.max(0, ageMillis) / decayMillis);
      double earlierCpuMillis = cpuMillis;
      for (StepSpec step : job.spec.steps()) {
        if (!step.longRunning()) {
          double millis =
              weight * step.count() * durationModel.expectedMillis(job.spec.queue(), step);
          cpuMillis += millis * step.reservedResources().cpuMillis();
          memoryMb += millis * step.reservedResources().memoryMb();
          accelerators += millis * step.reservedResources().accelerators();
        }
      }
      double addedCpuMillis = cpuMillis - earlierCpuMillis;
      squaredCpuMillis += addedCpuMillis * addedCpuMillis;
    }

    /**
     * Returns the estimate, reduced by the share of one job in the effective number of jobs on
     * which it rests. It is 0 for a single job, which does not show a burst. Jobs count by their
     * work, so a large job among small ones does not show a burst either: its work does not arrive
     * again.
     */
    private Resources cautiousAverage() {
      if (squaredCpuMillis <= 0) {
        return Resources.NONE;
      }
      double effectiveJobs = cpuMillis * cpuMillis / squaredCpuMillis;
      return average(1 - 1 / effectiveJobs);
    }

    private Resources average(double factor) {
      return new Resources(
          Math.round(factor * cpuMillis / decayMillis),
          Math.round(factor * memoryMb / decayMillis),
          Math.round(factor * accelerators / decayMillis));
    }
  }

  /** The arrived work of one pool, by how fast its weight decays. */
  private record PoolWork(DecayingWork steady, DecayingWork burst) {
    static PoolWork create() {
      return new PoolWork(new DecayingWork(DECAY_MILLIS), new DecayingWork(BURST_DECAY_MILLIS));
    }

    void decayTo(long nowMillis) {
      steady.decayTo(nowMillis);
      burst.decayTo(nowMillis);
    }
  }

  private final DurationModel durationModel;
  private final Map<String, PoolWork> workByPool = new HashMap<>();

  DemandRate(DurationModel durationModel) {
    this.durationModel = durationModel;
  }

  void reset() {
    workByPool.clear();
  }

  /** Adds the tasks of a job that arrived {@code ageMillis} ago, except long-running ones. */
  void addArrival(String pool, Job job, long ageMillis, long nowMillis) {
    PoolWork work = workByPool.computeIfAbsent(pool, name -> PoolWork.create());
    work.decayTo(nowMillis);
    work.steady().add(job, durationModel, ageMillis);
    work.burst().add(job, durationModel, ageMillis);
  }

  /**
   * The work that arrives in a pool.
   *
   * @param averageUse the resources used on average while work goes on arriving at the current rate
   * @param averageUseIfFalling as {@code averageUse}, or less if the rate is falling: what is used
   *     if it does not rise again
   * @param isRising whether the rate has risen recently, so that it may rise further
   * @param isFalling whether the rate of the last moments is less than half of that of the last
   *     second
   */
  record Estimate(
      Resources averageUse, Resources averageUseIfFalling, boolean isRising, boolean isFalling) {
    static final Estimate NONE = new Estimate(Resources.NONE, Resources.NONE, false, false);
  }

  /** Returns the estimate for a pool. */
  Estimate estimate(String pool, long nowMillis) {
    PoolWork work = workByPool.get(pool);
    if (work == null) {
      return Estimate.NONE;
    }
    work.decayTo(nowMillis);
    Resources steady = work.steady().average(1);
    Resources burst = work.burst().cautiousAverage();
    Resources twiceLatest = work.burst().average(2);
    boolean isFalling = steady.covers(twiceLatest);
    Resources averageUse = steady.max(burst);
    return new Estimate(
        averageUse, isFalling ? twiceLatest : averageUse, !steady.covers(burst), isFalling);
  }
}
