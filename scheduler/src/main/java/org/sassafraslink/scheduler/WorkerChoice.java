package org.sassafraslink.scheduler;

import java.util.Collection;
import java.util.Optional;
import org.sassafraslink.api.fleet.Resources;

/**
 * Decides on which worker a task starts.
 *
 * <p>A task goes to the rack of its data; serving tasks and backfill keep apart; failures are not
 * repeated on the same worker. Among equals the fullest worker that fits is taken, so that others
 * become empty for maintenance, moves and power-off; a step spreads as far as it demands itself.
 */
final class WorkerChoice {
  /** Penalties, each of which outweighs all below it. */
  private static final double FAILED_THERE = 1_000;

  private static final double WRONG_RACK = 100;
  private static final double DISTURBED = 30;
  private static final double FILL = 1;

  private WorkerChoice() {}

  /** Whether a worker may get new tasks at all. */
  static boolean isUsable(Worker worker, long nowMillis) {
    return worker.listed
        && worker.known
        && !worker.gone
        && !worker.entry.draining()
        && worker.cordon.isEmpty()
        && worker.silences == 0
        && nowMillis >= worker.avoidUntilMillis;
  }

  /** The best of {@code workers}, all usable, for a task; empty if it fits on none. */
  static Optional<Worker> choose(Task task, Collection<Worker> workers) {
    Worker best = null;
    double bestCost = 0;
    for (Worker worker : workers) {
      if (fits(task, worker)) {
        double cost = cost(task, worker);
        if (best == null || cost < bestCost) {
          best = worker;
          bestCost = cost;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  static boolean fits(Task task, Worker worker) {
    int bound = task.step.maxPerWorker();
    return worker.free().fits(task.step.reserved())
        && worker.hasLabel(task.step)
        && (bound == 0 || worker.countOf(task.id) < bound);
  }

  private static double cost(Task task, Worker worker) {
    double cost = 0;
    if (task.failedOn.contains(worker.entry.id())) {
      cost += FAILED_THERE;
    }
    String rack = task.step.dataRack();
    if (!rack.isEmpty() && !rack.equals(worker.entry.rack())) {
      cost += WRONG_RACK;
    }
    if (task.step.backfill()) {
      cost += worker.hasServing() ? DISTURBED : 0;
    } else if (task.step.serving()) {
      cost += worker.hasBackfill() ? DISTURBED : 0;
    }
    return cost + FILL * freePart(worker);
  }

  private static double freePart(Worker worker) {
    Resources free = worker.free();
    Resources all = worker.entry.capacity();
    double cpu = all.cpuMillis() == 0 ? 0 : (double) free.cpuMillis() / all.cpuMillis();
    double memory = all.memoryMb() == 0 ? 0 : (double) free.memoryMb() / all.memoryMb();
    return Math.min(cpu, memory);
  }
}
