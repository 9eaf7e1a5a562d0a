package org.sassafraslink.scheduler;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.Resources;

/**
 * Decides on which worker a task starts.
 *
 * <p>The choice avoids, most important first: a worker on which the task has failed, a worker
 * outside the rack of the task's data, serving and backfill tasks on one worker, and a worker that
 * is drained for another pool. Among workers equal in this, the one with the least free capacity is
 * chosen, so that others become empty for maintenance, moves and power-off. The tasks of a step are
 * spread only as far as {@code StepSpec.maxPerWorker} requires.
 */
final class WorkerChoice {
  // Penalties, each of which outweighs the sum of all below it.
  private static final double FAILED_THERE_PENALTY = 1_000;

  private static final double OTHER_RACK_PENALTY = 100;
  private static final double INTERFERENCE_PENALTY = 30;
  private static final double SURPLUS_PENALTY = 10;
  private static final double SECOND_CHOICE_PENALTY = 2;
  private static final double FREE_CAPACITY_WEIGHT = 1;

  private WorkerChoice() {}

  /** Returns whether a worker may get new tasks at all. */
  static boolean isUsable(Worker worker, long nowMillis) {
    return worker.listed
        && worker.hasReported
        && !worker.ended
        && !worker.isReplacementSuspected()
        && !worker.entry.draining()
        && worker.isOpenForTasks()
        && worker.consecutiveCallFailures == 0
        && nowMillis >= worker.avoidUntilMillis;
  }

  /**
   * Returns the best of {@code workers}, all of which are usable, for a task; empty if it fits on
   * none.
   */
  static Optional<Worker> chooseWorker(Task task, Collection<Worker> workers) {
    return chooseWorker(task, workers, worker -> false);
  }

  /** As above, where some workers are chosen only if there is none as good apart from that. */
  static Optional<Worker> chooseWorker(
      Task task, Collection<Worker> workers, Predicate<Worker> isSecondChoice) {
    Worker best = null;
    double lowestCost = 0;
    for (Worker worker : workers) {
      if (fits(task, worker)) {
        double cost =
            cost(task, worker) + (isSecondChoice.test(worker) ? SECOND_CHOICE_PENALTY : 0);
        if (best == null || cost < lowestCost) {
          best = worker;
          lowestCost = cost;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  static boolean fits(Task task, Worker worker) {
    int maxPerWorker = task.step.maxPerWorker();
    return worker.freeResourcesFor(task).covers(task.step.reservedResources())
        && worker.hasRequiredLabel(task.step)
        && (maxPerWorker == 0 || worker.countOfSameStep(task) < maxPerWorker);
  }

  private static double cost(Task task, Worker worker) {
    double cost = 0;
    if (task.failedWorkerIds.contains(worker.entry.id())) {
      cost += FAILED_THERE_PENALTY;
    }
    String rack = task.step.dataRack();
    if (!rack.isEmpty() && !rack.equals(worker.entry.rack())) {
      cost += OTHER_RACK_PENALTY;
    }
    if (task.step.backfill()) {
      cost += worker.hasServingTask() ? INTERFERENCE_PENALTY : 0;
    } else if (task.step.serving()) {
      cost += worker.hasBackfillTask() ? INTERFERENCE_PENALTY : 0;
    }
    if (worker.isSurplus) {
      cost += SURPLUS_PENALTY;
    }
    return cost + FREE_CAPACITY_WEIGHT * freeFraction(worker);
  }

  private static double freeFraction(Worker worker) {
    Resources freeResources = worker.freeResources();
    Resources capacity = worker.entry.capacity();
    double cpu =
        capacity.cpuMillis() == 0 ? 0 : (double) freeResources.cpuMillis() / capacity.cpuMillis();
    double memory =
        capacity.memoryMb() == 0 ? 0 : (double) freeResources.memoryMb() / capacity.memoryMb();
    return Math.min(cpu, memory);
  }
}
