package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.Resources;

/**
 * What the listed workers of one pool provide, and what is reserved on them, at one moment.
 *
 * @param workers the number of workers
 * @param capacity the capacity of all workers together
 * @param vmCapacity the capacity of one of the workers
 * @param uncordonedWorkers the number of workers that may get tasks
 * @param uncordonedCapacity the capacity of these workers together
 * @param longRunning what long-running tasks reserve
 * @param inTime what long-running tasks and those of jobs that can be in time reserve
 * @param late what tasks of late and excess jobs reserve
 */
record PoolUsage(
    int workers,
    Resources capacity,
    Resources vmCapacity,
    int uncordonedWorkers,
    Resources uncordonedCapacity,
    Resources longRunning,
    Resources inTime,
    Resources late) {
  static final PoolUsage EMPTY =
      new PoolUsage(
          0,
          Resources.NONE,
          Resources.NONE,
          0,
          Resources.NONE,
          Resources.NONE,
          Resources.NONE,
          Resources.NONE);

  /**
   * Returns the usage of each pool that has a listed worker outside the evacuated zones, from one
   * pass over all workers.
   */
  static ImmutableMap<String, PoolUsage> byPool(Iterable<Worker> workers) {
    Map<String, PoolUsage> usageByPool = new HashMap<>();
    for (Worker worker : workers) {
      if (worker.isInPool() && !worker.zoneEvacuated) {
        String pool = worker.entry.pool();
        usageByPool.put(pool, usageByPool.getOrDefault(pool, EMPTY).plus(worker));
      }
    }
    return ImmutableMap.copyOf(usageByPool);
  }

  private PoolUsage plus(Worker worker) {
    Resources workerCapacity = worker.entry.capacity();
    boolean isUncordoned = worker.cordonReason.isEmpty();
    Resources newLongRunning = longRunning;
    Resources newInTime = inTime;
    Resources newLate = late;
    for (Task task : worker.tasks()) {
      Resources reserved = task.step.reservedResources();
      if (task.step.longRunning()) {
        newLongRunning = newLongRunning.plus(reserved);
      }
      if (SurplusWorkers.justifiesVm(task)) {
        newInTime = newInTime.plus(reserved);
      } else {
        newLate = newLate.plus(reserved);
      }
    }
    return new PoolUsage(
        workers + 1,
        capacity.plus(workerCapacity),
        workerCapacity,
        uncordonedWorkers + (isUncordoned ? 1 : 0),
        isUncordoned ? uncordonedCapacity.plus(workerCapacity) : uncordonedCapacity,
        newLongRunning,
        newInTime,
        newLate);
  }

  /** Returns the usage after one uncordoned VM without tasks was cordoned. */
  PoolUsage afterCordoningVm(Resources removedCapacity) {
    return new PoolUsage(
        workers,
        capacity,
        vmCapacity,
        uncordonedWorkers - 1,
        uncordonedCapacity.minus(removedCapacity),
        longRunning,
        inTime,
        late);
  }
}
