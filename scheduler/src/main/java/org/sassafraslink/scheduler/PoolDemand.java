package org.sassafraslink.scheduler;

import org.sassafraslink.api.fleet.Resources;

/** Calculates the resources that a pool needs, and how many VMs are missing to provide them. */
final class PoolDemand {
  /** Fraction of a pool's capacity that becomes free before a moved VM would arrive. */
  private static final double SOON_FREE_FRACTION = 0.25;

  /** Ratio of a pool's needed capacity to the average use by arriving work, to absorb bursts. */
  private static final double BURST_HEADROOM_FACTOR = 1.2;

  /**
   * As {@link #BURST_HEADROOM_FACTOR}, while the rate of arriving work rises. It goes on rising
   * while the VMs that are ordered now are on their way.
   */
  private static final double RISING_HEADROOM_FACTOR = 1.5;

  /**
   * The fraction of the resources of the waiting tasks that a pool gets besides those for arriving
   * work. VMs stay in a pool for at least twice as long as a usual task runs.
   */
  private static final double BACKLOG_FRACTION = 0.5;

  /**
   * Time within which the waiting tasks of late and excess jobs should all be done, in ms. It is
   * the longest time in which work may start.
   */
  private static final double LATE_WORK_MILLIS = 5_300;

  private final DemandRate demandRate;

  PoolDemand(DemandRate demandRate) {
    this.demandRate = demandRate;
  }

  /**
   * Returns how many more VMs of capacity {@code vmCapacity} a pool needs: enough to keep up with
   * the work that arrives, and besides to catch up with the tasks that already wait. With VMs only
   * for the larger of the two, a pool that was short at the start of a burst would stay behind
   * until its end.
   *
   * @param neededForArrivals what the pool needs for work arriving at the current rate
   * @param longRunningWorkers how many more workers the waiting long-running tasks need
   */
  static int missingVms(
      Backlog.PoolBacklog poolBacklog,
      Resources neededForArrivals,
      int longRunningWorkers,
      PoolUsage usage,
      Resources vmCapacity) {
    int missingForBacklog = missingForBacklog(poolBacklog, usage.capacity(), vmCapacity);
    Resources neededForBoth =
        neededForArrivals.plus(poolBacklog.resources().times(BACKLOG_FRACTION));
    int missingForBoth = missingForSteadyNeed(neededForBoth, usage.capacity(), vmCapacity);
    return Math.max(longRunningWorkers, Math.max(missingForBacklog, missingForBoth));
  }

  /** Returns how many more VMs of capacity {@code vmCapacity} a pool needs for its backlog. */
  static int missingForBacklog(
      Backlog.PoolBacklog poolBacklog, Resources capacity, Resources vmCapacity) {
    int missing = missingVms(poolBacklog.resources(), SOON_FREE_FRACTION, capacity, vmCapacity);
    // A long-running task may need a worker without tasks of its step, even if others have room.
    return Math.max(missing, poolBacklog.longRunningTasks() > 0 ? 1 : 0);
  }

  /**
   * Returns how many more VMs of capacity {@code vmCapacity} a pool needs to provide {@code needed}
   * at all times.
   */
  static int missingForSteadyNeed(Resources needed, Resources capacity, Resources vmCapacity) {
    return missingVms(needed, 1, capacity, vmCapacity);
  }

  private static int missingVms(
      Resources need, double usableFraction, Resources capacity, Resources vmCapacity) {
    return (int) Math.ceil(vmsBeyond(capacity, usableFraction, need, vmCapacity));
  }

  private static double vmsBeyond(
      Resources capacity, double usableFraction, Resources need, Resources vmCapacity) {
    double cpu =
        ratio(need.cpuMillis() - usableFraction * capacity.cpuMillis(), vmCapacity.cpuMillis());
    double memory =
        ratio(need.memoryMb() - usableFraction * capacity.memoryMb(), vmCapacity.memoryMb());
    double accelerators =
        ratio(
            need.accelerators() - usableFraction * capacity.accelerators(),
            vmCapacity.accelerators());
    return Math.max(cpu, Math.max(memory, accelerators));
  }

  /**
   * Returns what a pool needs for work arriving at the current rate and for its long-running tasks;
   * {@link Resources#NONE} if no work arrives.
   */
  Resources neededForArrivals(String pool, PoolUsage usage, long nowMillis) {
    DemandRate.Estimate estimate = demandRate.estimate(pool, nowMillis);
    if (estimate.averageUse().equals(Resources.NONE)) {
      return Resources.NONE;
    }
    double headroomFactor = estimate.isRising() ? RISING_HEADROOM_FACTOR : BURST_HEADROOM_FACTOR;
    return estimate.averageUse().times(headroomFactor).plus(usage.longRunning());
  }

  /**
   * As {@link #neededForArrivals}, for a pool that can give up VMs: while its demand falls, it
   * keeps none for a new rise.
   */
  Resources neededForArrivalsIfFalling(String pool, PoolUsage usage, long nowMillis) {
    DemandRate.Estimate estimate = demandRate.estimate(pool, nowMillis);
    return estimate.isFalling()
        ? estimate.averageUseIfFalling().times(BURST_HEADROOM_FACTOR).plus(usage.longRunning())
        : neededForArrivals(pool, usage, nowMillis);
  }

  /**
   * Returns what a pool needs for long-running jobs and jobs that can be in time: the larger of the
   * need at the current arrival rate and the need of the running and waiting tasks of such jobs.
   */
  Resources neededInTime(String pool, PoolUsage usage, Backlog backlog, long nowMillis) {
    return neededForArrivals(pool, usage, nowMillis).max(neededNow(pool, usage, backlog));
  }

  /** Returns what the running and waiting tasks of long-running jobs and jobs in time need. */
  static Resources neededNow(String pool, PoolUsage usage, Backlog backlog) {
    return usage.inTime().plus(backlog.forPool(pool).resources());
  }

  /** Returns how many VMs of capacity {@code vmCapacity} provide {@code needed}, with fractions. */
  static double vmsFor(Resources needed, Resources vmCapacity) {
    return vmsBeyond(Resources.NONE, /* usableFraction= */ 1, needed, vmCapacity);
  }

  /**
   * Returns what a pool needs for all accepted jobs, late and excess ones included, to have none of
   * their tasks wait for a worker.
   */
  Resources neededForAllJobs(String pool, PoolUsage usage, Backlog backlog, long nowMillis) {
    return neededInTime(pool, usage, backlog, nowMillis)
        .plus(usage.late())
        .plus(backlog.lateForPool(pool).resources());
  }

  /**
   * Returns what a pool needs for long-running jobs, jobs that can be in time, and for late and
   * excess jobs to be done within {@link #LATE_WORK_MILLIS}.
   */
  Resources neededToCatchUp(String pool, PoolUsage usage, Backlog backlog, long nowMillis) {
    return neededInTime(pool, usage, backlog, nowMillis)
        .plus(backlog.lateForPool(pool).neededToFinishWithin(LATE_WORK_MILLIS));
  }

  /** Returns whether the work that arrives in a pool has become much less in the last second. */
  boolean isFalling(String pool, long nowMillis) {
    return demandRate.estimate(pool, nowMillis).isFalling();
  }

  /** Returns whether a pool's uncordoned workers still provide {@code needed} with one VM less. */
  static boolean canSpareVm(PoolUsage usage, Resources vmCapacity, Resources needed) {
    return usage.uncordonedCapacity().minus(vmCapacity).covers(needed);
  }

  private static double ratio(double amount, long total) {
    return total == 0 ? 0 : Math.max(0, amount / total);
  }
}
