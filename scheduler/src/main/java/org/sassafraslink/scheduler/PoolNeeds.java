package org.sassafraslink.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.scheduler.capacity.DrainChoice;
import org.sassafraslink.scheduler.capacity.PoolShares;

/**
 * What each pool has and needs during one adjustment of the pools, kept up to date with the moves
 * that the adjustment starts.
 */
final class PoolNeeds {
  /**
   * A pool gives up VMs that it needs for jobs in time only down to this multiple of its share,
   * since neither pool has a VM while it is moved.
   */
  private static final double KEPT_SHARE_FACTOR = 1.25;

  /** Number of workers that a pool keeps unless the tasks of {@link #workersToGive} need them. */
  static final int MIN_WORKERS = 2;

  /** Number of workers that a pool always keeps. */
  private static final int MIN_WORKERS_BESIDE_LONG_RUNNING = 1;

  private final PoolDemand poolDemand;
  private final Map<String, PoolUsage> usageByPool = new HashMap<>();
  private PoolShares shares = PoolShares.of(List.of(), /* totalVms= */ 0);

  /** The capacity of a VM for a pool without workers. */
  private Resources defaultVmCapacity = Resources.NONE;

  PoolNeeds(PoolDemand poolDemand) {
    this.poolDemand = poolDemand;
  }

  /** Replaces the usage of all pools. */
  void update(List<Worker> allWorkers) {
    usageByPool.clear();
    usageByPool.putAll(PoolUsage.byPool(allWorkers));
    defaultVmCapacity = allWorkers.isEmpty() ? Resources.NONE : allWorkers.get(0).entry.capacity();
  }

  /** Divides {@code totalVms} VMs among the pools by what they need. */
  void updateShares(Collection<String> pools, long totalVms, Backlog backlog, long nowMillis) {
    List<PoolShares.Need> needs = new ArrayList<>();
    for (String pool : pools) {
      needs.add(
          new PoolShares.Need(
              pool, neededVms(pool, backlog, nowMillis), backlog.urgentFraction(pool)));
    }
    shares = PoolShares.of(needs, (double) totalVms);
  }

  PoolShares shares() {
    return shares;
  }

  /** Returns what a pool has and has to keep when another one is short of VMs. */
  DrainChoice.Donor donorOf(String pool, Backlog backlog, long nowMillis) {
    PoolUsage usage = usageOf(pool);
    double neededVms = neededVms(pool, backlog, nowMillis);
    double keptFraction =
        neededVms == 0 ? 1 : Math.min(1, KEPT_SHARE_FACTOR * shares.vmsOf(pool) / neededVms);
    return new DrainChoice.Donor(
        usage.uncordonedCapacity(),
        usage.uncordonedWorkers(),
        poolDemand.neededForArrivalsIfFalling(pool, usage, nowMillis).times(keptFraction),
        PoolDemand.neededNow(pool, usage, backlog).times(keptFraction),
        MIN_WORKERS);
  }

  private double neededVms(String pool, Backlog backlog, long nowMillis) {
    return PoolDemand.vmsFor(neededInTime(pool, backlog, nowMillis), vmCapacityOf(pool));
  }

  PoolUsage usageOf(String pool) {
    return usageByPool.getOrDefault(pool, PoolUsage.EMPTY);
  }

  /** Returns the capacity that one more VM would add to a pool. */
  Resources vmCapacityOf(String pool) {
    PoolUsage usage = usageOf(pool);
    return usage.workers() > 0 ? usage.vmCapacity() : defaultVmCapacity;
  }

  /** Returns whether a pool keeps its minimum of workers with one VM less. */
  boolean hasMoreThanMinWorkers(String pool) {
    return usageOf(pool).uncordonedWorkers() > MIN_WORKERS;
  }

  /** Returns how many workers a pool can give up for long-running tasks of other pools. */
  int workersToGive(String pool) {
    return Math.max(0, usageOf(pool).uncordonedWorkers() - MIN_WORKERS_BESIDE_LONG_RUNNING);
  }

  /** Removes the capacity of a worker whose VM leaves its pool. */
  void removeCapacityOf(Worker worker) {
    usageByPool.computeIfPresent(
        worker.entry.pool(), (name, usage) -> usage.afterCordoningVm(worker.entry.capacity()));
  }

  /** Returns what a pool needs for long-running jobs and jobs that can be in time. */
  Resources neededInTime(String pool, Backlog backlog, long nowMillis) {
    return poolDemand.neededInTime(pool, usageOf(pool), backlog, nowMillis);
  }

  /** Returns what a pool needs for work arriving at the current rate. */
  Resources neededForArrivals(String pool, long nowMillis) {
    return poolDemand.neededForArrivals(pool, usageOf(pool), nowMillis);
  }

  /** Returns what a pool needs to be done with its late and excess jobs soon. */
  Resources neededToCatchUp(String pool, Backlog backlog, long nowMillis) {
    return poolDemand.neededToCatchUp(pool, usageOf(pool), backlog, nowMillis);
  }

  /** Returns whether the work that arrives in a pool has become much less in the last second. */
  boolean isFalling(String pool, long nowMillis) {
    return poolDemand.isFalling(pool, nowMillis);
  }

  /** Returns whether a pool needs a worker's VM neither for jobs in time nor for any other. */
  boolean canSpareForAllJobs(Worker worker, Backlog backlog, long nowMillis) {
    String pool = worker.entry.pool();
    Resources needed = poolDemand.neededForAllJobs(pool, usageOf(pool), backlog, nowMillis);
    return PoolDemand.canSpareVm(usageOf(pool), worker.entry.capacity(), needed);
  }
}
