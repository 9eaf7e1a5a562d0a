package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.sassafraslink.api.fleet.Resources;

/**
 * Decides which workers of a pool get no tasks of late jobs and excess jobs, so that they become
 * empty and their VMs can be moved to another pool.
 *
 * <p>Such jobs would otherwise fill all free capacity and keep VMs busy that another pool needs for
 * jobs in time. The other workers of the pool still run them as capacity becomes free.
 */
final class SurplusWorkers {
  private SurplusWorkers() {}

  /**
   * Returns the workers that a pool does not need, choosing those with the fewest tasks first. A
   * worker with a task that is long-running or can be in time is never among them.
   *
   * @param pool the workers of the pool that may get tasks
   * @param needed the resources that long-running jobs and jobs that can be in time need
   * @param minWorkers the number of workers that the pool keeps in any case
   */
  static ImmutableSet<Worker> of(Collection<Worker> pool, Resources needed, int minWorkers) {
    Resources remainingCapacity = Resources.NONE;
    List<Worker> candidates = new ArrayList<>();
    for (Worker worker : pool) {
      remainingCapacity = remainingCapacity.plus(worker.entry.capacity());
      if (worker.tasks().stream().noneMatch(SurplusWorkers::justifiesVm)) {
        candidates.add(worker);
      }
    }
    candidates.sort(
        Comparator.<Worker>comparingInt(worker -> worker.tasks().size())
            .thenComparing(worker -> worker.entry.id()));
    ImmutableSet.Builder<Worker> surplus = ImmutableSet.builder();
    int remainingWorkers = pool.size();
    for (Worker worker : candidates) {
      remainingCapacity = remainingCapacity.minus(worker.entry.capacity());
      remainingWorkers--;
      if (!remainingCapacity.covers(needed) || remainingWorkers < minWorkers) {
        break;
      }
      surplus.add(worker);
    }
    return surplus.build();
  }

  /** Returns whether a task is long-running or can be in time, so that it keeps its worker. */
  static boolean justifiesVm(Task task) {
    return task.step.longRunning() || task.job.justifiesMoreWorkers;
  }
}
