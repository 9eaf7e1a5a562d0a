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

    /**
     * Returns the resources with which the tasks would all be done after {@code millis}, or those
     * of all tasks together if a single one takes longer.
     */
    Resources neededToFinishWithin(double millis) {
      return new Resources(
          Math.min(resources.cpuMillis(), (long) Math.ceil(cpuWork / millis)),
          Math.min(resources.memoryMb(), (long) Math.ceil(memoryWork / millis)),
          Math.min(resources.accelerators(), (long) Math.ceil(acceleratorWork / millis)));
    }
  }

  /** A step of one occurrence of a job, and the pool in which its tasks wait. */
  private record WaitingStep(String pool, String job, int occurrence, int step, int maxPerWorker) {
    static WaitingStep of(String pool, Task task) {
      return new WaitingStep(
          pool, task.id.job(), task.id.occurrence(), task.id.step(), task.step.maxPerWorker());
    }
  }

  private final Map<String, PoolBacklog> backlogByPool = new HashMap<>();
  private final Map<WaitingStep, Integer> waitingLongRunning = new HashMap<>();
  private final Map<String, LateBacklog> lateBacklogByPool = new HashMap<>();
  private final Map<String, Integer> urgentTasksByPool = new HashMap<>();

  /** Adds a task of a job in time or of a long-running job. */
  void add(String pool, Task task, boolean isUrgent) {
    add(pool, task);
    if (isUrgent) {
      urgentTasksByPool.merge(pool, 1, Integer::sum);
    }
  }

  /** As {@link #add(String, Task, boolean)}, for a task that is not urgent. */
  void add(String pool, Task task) {
    backlogByPool.merge(pool, PoolBacklog.EMPTY.plus(task), (current, added) -> current.plus(task));
    if (task.step.longRunning()) {
      waitingLongRunning.merge(WaitingStep.of(pool, task), 1, Integer::sum);
    }
  }

  /**
   * Returns how many more workers a pool needs for its waiting long-running tasks, since a worker
   * runs only some tasks of a step: the most that any step needs, and at least one if any task
   * waits.
   */
  int workersForLongRunning(String pool) {
    int needed = 0;
    for (Map.Entry<WaitingStep, Integer> entry : waitingLongRunning.entrySet()) {
      if (entry.getKey().pool().equals(pool)) {
        int maxPerWorker = entry.getKey().maxPerWorker();
        int workers = maxPerWorker == 0 ? 1 : (entry.getValue() + maxPerWorker - 1) / maxPerWorker;
        needed = Math.max(needed, workers);
      }
    }
    return needed;
  }

  /** Returns which fraction of the tasks of {@link #forPool} belongs to urgent queues. */
  double urgentFraction(String pool) {
    return urgentTasksByPool.getOrDefault(pool, 0) / Math.max(1.0, forPool(pool).tasks());
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
