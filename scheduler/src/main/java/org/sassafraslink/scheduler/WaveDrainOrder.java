package org.sassafraslink.scheduler;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Decides which VMs of a wave are drained first, and which are left alone while it has time. */
final class WaveDrainOrder {
  private static final double WITHOUT_WORKER = -2;
  private static final double DRAINED = -1;

  private final WorkerRegistry workers;

  WaveDrainOrder(WorkerRegistry workers) {
    this.workers = workers;
  }

  /** Sorts VMs in the order in which they are drained. */
  void sort(List<String> vms) {
    vms.sort(Comparator.comparingDouble(this::cost));
  }

  /**
   * Returns how many VMs, up to {@code limit}, have no worker or are being drained: these are taken
   * down before others are drained.
   */
  int countBegun(List<String> vms, int limit) {
    return (int) vms.stream().filter(vm -> cost(vm) < 0).limit(limit).count();
  }

  /** Returns whether a VM has tasks and is not being drained, while its pool has a backlog. */
  boolean isNeededByBacklog(String vm, Backlog backlog) {
    return workers
        .listedOnVm(vm)
        .filter(worker -> !worker.isSafeToRemove() && worker.isOpenForTasks())
        .map(worker -> backlog.forPool(worker.entry.pool()).tasks() > 0)
        .orElse(false);
  }

  /**
   * Returns the sort key of a VM, lowest first: VMs without a worker, VMs already being drained,
   * then the others by the tasks on them, of which a long-running one counts ten times.
   */
  private double cost(String vm) {
    Optional<Worker> worker = workers.listedOnVm(vm);
    if (worker.isEmpty()) {
      return WITHOUT_WORKER;
    }
    if (!worker.get().cordonReason.isEmpty()) {
      // A drain that has begun is completed before another begins.
      return DRAINED;
    }
    double cost = 0;
    for (Task task : worker.get().tasks()) {
      cost += task.step.longRunning() ? 10 : 1;
    }
    return cost;
  }
}
