package org.sassafraslink.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.scheduler.placement.EvacuatedZones;

/** Finds VMs that may be moved to another pool now. */
final class MovableVms {
  /** A VM may be moved to a pool that is short of VMs after being empty for this long, in ms. */
  private static final long IDLE_BEFORE_MOVE_MILLIS = 600;

  private final PublishedConfig config;
  private final EmptyWorkers emptyWorkers;
  private final PoolNeeds poolNeeds;
  private final VmInventory vmInventory;
  private final VmMover vmMover;
  private final Predicate<String> isDueForMaintenance;
  private final Predicate<Worker> isSurplus;

  MovableVms(
      PublishedConfig config,
      EmptyWorkers emptyWorkers,
      PoolNeeds poolNeeds,
      VmInventory vmInventory,
      VmMover vmMover,
      Predicate<String> isDueForMaintenance,
      Predicate<Worker> isSurplus) {
    this.config = config;
    this.emptyWorkers = emptyWorkers;
    this.poolNeeds = poolNeeds;
    this.vmInventory = vmInventory;
    this.vmMover = vmMover;
    this.isDueForMaintenance = isDueForMaintenance;
    this.isSurplus = isSurplus;
  }

  /**
   * Finds an empty VM that another pool does not need, or else one in the standby pool. Prefers VMs
   * that are not due for maintenance: the others get it while powered off.
   */
  Optional<String> findVmFor(String pool, Backlog backlog, long nowMillis) {
    for (Worker worker : emptyWorkersBy(worker -> isDueForMaintenance.test(worker.entry.vm()))) {
      String currentPool = worker.entry.pool();
      if (!currentPool.equals(pool)
          && (worker.isSurplusForLongRunning || poolNeeds.hasMoreThanMinWorkers(currentPool))
          && isWorkerMovable(worker, pool, nowMillis)
          && canSpareForOther(worker, backlog, nowMillis)) {
        return Optional.of(worker.entry.vm());
      }
    }
    return standbyVmsFor(pool, nowMillis).min(Comparator.comparing(isDueForMaintenance::test));
  }

  /** Returns how many VMs of the standby pool may be moved to a pool now. */
  long countStandbyVmsFor(String pool, long nowMillis) {
    return standbyVmsFor(pool, nowMillis).count();
  }

  /**
   * Returns the VMs that the list shows as powered off. A VM that was moved since the list was
   * requested may run tasks in its new pool.
   */
  private Stream<String> standbyVmsFor(String pool, long nowMillis) {
    Optional<String> standbyPool = config.standbyPool();
    return vmInventory.vms().stream()
        .filter(vm -> standbyPool.equals(Optional.of(vm.pool())))
        .filter(vm -> vm.state() == VmState.UP)
        .map(Vm::id)
        .filter(vmMover::isListedAfterCommands)
        .filter(vm -> vmMover.mayMove(vm, pool, nowMillis));
  }

  /** Returns the first reason for which a worker's VM cannot be moved to a pool. */
  String reasonNotMoved(Worker worker, String pool, Backlog backlog, long nowMillis) {
    String currentPool = worker.entry.pool();
    if (worker.zoneEvacuated) {
      return EvacuatedZones.REASON;
    } else if (!worker.cordonReason.isEmpty()) {
      return "cordoned";
    } else if (!worker.isSafeToRemove()) {
      boolean isLongRunning = worker.tasks().stream().allMatch(task -> task.step.longRunning());
      return isSurplus.test(worker) ? "draining" : isLongRunning ? "lasting" : "busy";
    } else if (!vmMover.mayMove(worker.entry.vm(), pool, nowMillis)) {
      return "paused";
    } else if (!isWorkerMovable(worker, pool, nowMillis)) {
      return "not_movable";
    } else if (emptyWorkers.emptyMillis(worker, nowMillis) < IDLE_BEFORE_MOVE_MILLIS) {
      return "just_idle";
    } else if (backlog.forPool(currentPool).tasks() > 0) {
      return "own_backlog";
    }
    return poolNeeds.hasMoreThanMinWorkers(currentPool) ? "needed" : "smallest_pool";
  }

  /** Returns whether a worker is reachable, uncordoned and empty, and its VM may be moved. */
  boolean isWorkerMovable(Worker worker, String pool, long nowMillis) {
    return worker.isSafeToRemove() && isMovableOnceEmpty(worker, pool, nowMillis);
  }

  /** As {@link #isWorkerMovable}, for a worker that may have tasks. */
  boolean isMovableOnceEmpty(Worker worker, String pool, long nowMillis) {
    return worker.listed
        && worker.hasReported
        && !worker.entry.draining()
        && worker.consecutiveCallFailures == 0
        && worker.cordonReason.isEmpty()
        && !worker.entry.vm().isEmpty()
        && vmMover.mayMove(worker.entry.vm(), pool, nowMillis);
  }

  /** Returns the empty workers, those for which {@code isLast} is true after the others. */
  List<Worker> emptyWorkersBy(Predicate<Worker> isLast) {
    List<Worker> first = new ArrayList<>();
    List<Worker> last = new ArrayList<>();
    for (Worker worker : emptyWorkers.all()) {
      (isLast.test(worker) ? last : first).add(worker);
    }
    first.addAll(last);
    return first;
  }

  /** Returns whether a worker's pool can spare its VM for a pool that is short of VMs. */
  private boolean canSpareForOther(Worker worker, Backlog backlog, long nowMillis) {
    String currentPool = worker.entry.pool();
    return isSurplus.test(worker)
        || (emptyWorkers.emptyMillis(worker, nowMillis) >= IDLE_BEFORE_MOVE_MILLIS
            && backlog.forPool(currentPool).tasks() == 0
            && poolNeeds.canSpareForAllJobs(worker, backlog, nowMillis));
  }
}
