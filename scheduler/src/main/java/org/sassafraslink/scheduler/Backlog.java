package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.Resources;

/**
 * Holds, by pool, the tasks that were ready to start but for which a placement round found no
 * worker. Tasks of late and excess jobs are counted apart: they are owed too, but have to wait
 * while other jobs lack VMs.
 */
final class Backlog {
  /**
   * The tasks without a worker in one pool.
   *
   * @param resources the worker capacity to be reserved for all of the tasks together
   * @param tasks the number of tasks, including long-running ones
   */
  record PoolBacklog(Resources resources, int tasks, int longRunningTasks) {
    static final PoolBacklog EMPTY = new PoolBacklog(Resources.NONE, 0, 0);

    PoolBacklog plus(Task task) {
      int longRunning = task.step.longRunning() ? 1 : 0;
      return new PoolBacklog(
          resources.plus(task.step.reservedResources()), tasks + 1, longRunningTasks + longRunning);
    }
  }

  /**
   * The tasks of late and excess jobs without a worker in one pool.
   *
   * @param resources the worker capacity to be reserved for all of the tasks together
   * @param cpuWork the processors of the tasks times their expected durations, in thousandths of a
   *     core times ms
   * @param memoryWork the memory of the tasks times their expected durations, in MB times ms
   * @param acceleratorWork the accelerators of the tasks times their expected durations, in ms
   * @param tasks the number of tasks
   */
  record LateBacklog(
      Resources resources, double cpuWork, double memoryWork, double acceleratorWork, int tasks) {
    static final LateBacklog EMPTY = new LateBacklog(Resources.NONE, 0, 0, 0, 0);

    LateBacklog plus(Task task, double expectedMillis) {
      Resources added = task.step.reservedResources();
      return new LateBacklog(
          resources.plus(added),
          cpuWork + added.cpuMillis() * expectedMillis,
          memoryWork + added.memoryMb() * expectedMillis,
          acceleratorWork + added.accelerators() * expectedMillis,
          tasks + 1);
    }

    /** Returns the resources with which the tasks would all be done after {@code millis}. */
    Resources neededToFinishWithin(double millis) {
      return new Resources(
          (long) Math.ceil(cpuWork / millis),
          (long) Math.ceil(memoryWork / millis),
          (long) Math.ceil(acceleratorWork / millis));
    }
  }

  private final Map<String, PoolBacklog> backlogByPool = new HashMap<>();
  private final Map<String, LateBacklog> lateBacklogByPool = new HashMap<>();

  void add(String pool, Task task) {
    backlogByPool.merge(pool, PoolBacklog.EMPTY.plus(task), (current, added) -> current.plus(task));
  }

  /** Adds a task of a late or excess job. */
  void addLate(String pool, Task task, double expectedMillis) {
    lateBacklogByPool.put(pool, lateForPool(pool).plus(task, expectedMillis));
  }

  LateBacklog lateForPool(String pool) {
    return lateBacklogByPool.getOrDefault(pool, LateBacklog.EMPTY);
  }

  PoolBacklog forPool(String pool) {
    return backlogByPool.getOrDefault(pool, PoolBacklog.EMPTY);
  }
}
