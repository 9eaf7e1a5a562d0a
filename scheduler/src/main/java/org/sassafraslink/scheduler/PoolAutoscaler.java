package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.api.log.EventLog;

/**
 * Moves empty VMs to pools that are short of them, and powers off VMs that no pool needs by moving
 * them to the standby pool.
 *
 * <p>A pool is short of VMs if more tasks wait in it than will soon fit on its own workers, or if
 * work arrives faster than those can complete it. VMs are taken first from pools that do not need
 * them, then from the standby pool. A VM must have been empty for a while before it is moved, so
 * that VMs do not move back and forth whenever the demand falls briefly.
 */
final class PoolAutoscaler {
  /**
   * A VM is powered off after being empty for this long, in ms. An empty VM costs as much in this
   * time as two moves.
   */
  private static final long IDLE_BEFORE_POWER_OFF_MILLIS = 2_300;

  /** A VM may be moved to a pool that is short of VMs after being empty for this long, in ms. */
  private static final long IDLE_BEFORE_MOVE_MILLIS = 600;

  /** As {@link #IDLE_BEFORE_MOVE_MILLIS}, for a VM that is surplus in its own pool. */
  private static final long SURPLUS_IDLE_BEFORE_MOVE_MILLIS = 200;

  /**
   * A surplus VM that has been empty for this long, in ms, without being moved gets tasks of late
   * and excess jobs again, because no task may wait for 3 s while VMs are idle.
   */
  private static final long MAX_SURPLUS_IDLE_MILLIS = 2_700;

  /** Time between two updates of the surplus workers, in ms. */
  private static final long SURPLUS_UPDATE_INTERVAL_MILLIS = 50;

  /** Number of workers that a pool always keeps. */
  private static final int MIN_WORKERS = 2;

  /** Time between two log lines about the same pool being short of VMs, in ms. */
  private static final long SHORTAGE_LOG_INTERVAL_MILLIS = 1_000;

  private final EventLog log;
  private final SchedulerLease lease;
  private final WorkerRegistry workers;
  private final PublishedConfig config;
  private final PoolDemand poolDemand;
  private final VmInventory vmInventory;
  private final VmMover vmMover;
  private final Predicate<String> isDueForMaintenance;

  /**
   * The empty workers, that is, those that are safe to remove. Each is mapped to the time at which
   * it was first seen empty, monotonic ms.
   */
  private final Map<Worker, Long> emptySinceMillis = new HashMap<>();

  private ImmutableSet<Worker> surplusWorkers = ImmutableSet.of();
  private long nextSurplusUpdateMillis;
  private final Map<String, Long> nextShortageLogMillisByPool = new HashMap<>();

  PoolAutoscaler(
      EventLog log,
      SchedulerLease lease,
      WorkerRegistry workers,
      PublishedConfig config,
      PoolDemand poolDemand,
      VmInventory vmInventory,
      VmMover vmMover,
      Predicate<String> isDueForMaintenance) {
    this.log = log;
    this.lease = lease;
    this.workers = workers;
    this.config = config;
    this.poolDemand = poolDemand;
    this.vmInventory = vmInventory;
    this.vmMover = vmMover;
    this.isDueForMaintenance = isDueForMaintenance;
  }

  /** Discards all state, because this process has just acquired the scheduling lease. */
  void reset() {
    vmMover.reset();
    emptySinceMillis.clear();
    surplusWorkers = ImmutableSet.of();
  }

  /** Moves VMs to pools that are short of them, and powers off idle VMs that no pool needs. */
  void adjustPools(Backlog backlog, long nowMillis) {
    Optional<FleetSettings> settings = config.settings();
    if (settings.isEmpty() || !lease.isValid()) {
      return;
    }
    updateEmptySinceMillis(nowMillis);
    vmMover.removeFinishedMoves(nowMillis);
    updateSurplusWorkers(settings.get(), backlog, nowMillis);
    vmInventory.refreshIfDue(nowMillis);
    if (!vmInventory.isFresh(nowMillis)) {
      return;
    }
    for (PoolConfig pool : settings.get().pools().values()) {
      if (!pool.standby()) {
        addVmsIfShort(pool.name(), backlog, nowMillis);
      }
    }
    config
        .standbyPool()
        .ifPresent(standbyPool -> powerOffIdleVms(standbyPool, settings.get(), backlog, nowMillis));
  }

  /** Returns whether a worker gets no tasks of late and excess jobs; see {@link SurplusWorkers}. */
  boolean isSurplus(Worker worker) {
    return surplusWorkers.contains(worker);
  }

  /**
   * Updates the surplus workers. A pool has some only if there is a standby pool or another pool
   * has a backlog, since their VMs would not be moved otherwise.
   */
  private void updateSurplusWorkers(FleetSettings settings, Backlog backlog, long nowMillis) {
    if (nowMillis < nextSurplusUpdateMillis) {
      return;
    }
    nextSurplusUpdateMillis = nowMillis + SURPLUS_UPDATE_INTERVAL_MILLIS;
    ImmutableSet.Builder<Worker> newSurplus = ImmutableSet.builder();
    for (PoolConfig pool : settings.pools().values()) {
      boolean isUsableElsewhere =
          config.standbyPool().isPresent()
              || settings.pools().keySet().stream()
                  .anyMatch(
                      other -> !other.equals(pool.name()) && backlog.forPool(other).tasks() > 0);
      if (!pool.standby() && isUsableElsewhere) {
        List<Worker> poolWorkers = poolDemand.uncordonedWorkers(pool.name());
        Resources needed = poolDemand.neededResources(pool.name(), backlog, nowMillis);
        SurplusWorkers.of(poolWorkers, needed, MIN_WORKERS).stream()
            .filter(worker -> emptyMillis(worker, nowMillis) < MAX_SURPLUS_IDLE_MILLIS)
            .forEach(newSurplus::add);
      }
    }
    surplusWorkers = newSurplus.build();
  }

  private long emptyMillis(Worker worker, long nowMillis) {
    return nowMillis - emptySinceMillis.getOrDefault(worker, nowMillis);
  }

  private void updateEmptySinceMillis(long nowMillis) {
    Set<Worker> present = new HashSet<>(workers.all());
    emptySinceMillis.keySet().retainAll(present);
    for (Worker worker : present) {
      if (worker.isSafeToRemove()) {
        emptySinceMillis.putIfAbsent(worker, nowMillis);
      } else {
        emptySinceMillis.remove(worker);
      }
    }
  }

  /**
   * Starts moves of VMs to a pool until as many are in progress as the pool is short of, or no VM
   * can be moved.
   */
  private void addVmsIfShort(String pool, Backlog backlog, long nowMillis) {
    Backlog.PoolBacklog poolBacklog = backlog.forPool(pool);
    Resources neededForArrivals = poolDemand.neededForArrivals(pool, nowMillis);
    if (poolBacklog.tasks() == 0 && neededForArrivals.equals(Resources.NONE)) {
      return;
    }
    List<Worker> poolWorkers = workers.listedInPool(pool);
    Resources capacity = Resources.NONE;
    Resources vmCapacity = Resources.NONE;
    for (Worker worker : poolWorkers) {
      capacity = capacity.plus(worker.entry.capacity());
      vmCapacity = worker.entry.capacity();
    }
    if (poolWorkers.isEmpty()) {
      vmCapacity = capacityOfAnyWorker();
    }
    int missing =
        Math.max(
            PoolDemand.missingForBacklog(poolBacklog, capacity, vmCapacity),
            PoolDemand.missingForArrivals(neededForArrivals, capacity, vmCapacity));
    for (long i = vmMover.countMovesTo(pool); i < missing && vmMover.canStartMove(nowMillis); i++) {
      Optional<String> vm = findMovableVm(pool, backlog, nowMillis);
      if (vm.isEmpty()) {
        logShortage(pool, missing - i, backlog, nowMillis);
        return;
      }
      String reason =
          "backlog of "
              + poolBacklog.tasks()
              + " tasks, "
              + neededForArrivals
              + " needed at the current arrival rate";
      vmMover.move(vm.get(), pool, reason, nowMillis);
    }
  }

  private Resources capacityOfAnyWorker() {
    return workers.all().stream()
        .map(worker -> worker.entry.capacity())
        .findFirst()
        .orElse(Resources.NONE);
  }

  /** Finds an empty VM that another pool does not need, or else one in the standby pool. */
  private Optional<String> findMovableVm(String pool, Backlog backlog, long nowMillis) {
    for (Map.Entry<Worker, Long> entry : emptySinceMillis.entrySet()) {
      Worker worker = entry.getKey();
      String currentPool = worker.entry.pool();
      long requiredIdleMillis =
          surplusWorkers.contains(worker)
              ? SURPLUS_IDLE_BEFORE_MOVE_MILLIS
              : IDLE_BEFORE_MOVE_MILLIS;
      boolean isIdle = nowMillis - entry.getValue() >= requiredIdleMillis;
      boolean isMovableNow =
          !currentPool.equals(pool)
              && backlog.forPool(currentPool).tasks() == 0
              && workers.listedInPool(currentPool).size() > MIN_WORKERS
              && isWorkerMovable(worker, pool, nowMillis)
              && poolDemand.canSpareVm(currentPool, worker.entry.capacity(), backlog, nowMillis);
      if (isIdle && isMovableNow) {
        return Optional.of(worker.entry.vm());
      }
    }
    Optional<String> standbyPool = config.standbyPool();
    return vmInventory.vms().stream()
        .filter(vm -> standbyPool.equals(Optional.of(vm.pool())))
        .filter(vm -> vm.state() == VmState.UP)
        .map(Vm::id)
        .filter(vm -> vmMover.mayMove(vm, pool, nowMillis))
        // Prefers VMs that are not due for maintenance: the others get it while powered off.
        .min(Comparator.comparing(isDueForMaintenance::test));
  }

  /** Logs, at most once a second per pool, how many workers cannot be moved to it, by reason. */
  private void logShortage(String pool, long missing, Backlog backlog, long nowMillis) {
    if (nowMillis < nextShortageLogMillisByPool.getOrDefault(pool, 0L)) {
      return;
    }
    nextShortageLogMillisByPool.put(pool, nowMillis + SHORTAGE_LOG_INTERVAL_MILLIS);
    Map<String, Long> workersByReason =
        workers.all().stream()
            .filter(worker -> !worker.entry.pool().equals(pool))
            .collect(
                Collectors.groupingBy(
                    worker -> reasonNotMoved(worker, pool, backlog, nowMillis),
                    TreeMap::new,
                    Collectors.counting()));
    log.log("pool.short", "pool", pool, "missing", missing, "others", workersByReason);
  }

  /** Returns the first reason for which a worker's VM cannot be moved to a pool. */
  private String reasonNotMoved(Worker worker, String pool, Backlog backlog, long nowMillis) {
    String currentPool = worker.entry.pool();
    if (!worker.cordonReason.isEmpty()) {
      return "cordoned";
    } else if (!worker.isSafeToRemove()) {
      return worker.tasks().stream().allMatch(task -> task.step.longRunning()) ? "lasting" : "busy";
    } else if (emptyMillis(worker, nowMillis) < IDLE_BEFORE_MOVE_MILLIS) {
      return "just_idle";
    } else if (backlog.forPool(currentPool).tasks() > 0) {
      return "own_backlog";
    } else if (!vmMover.mayMove(worker.entry.vm(), pool, nowMillis)) {
      return "paused";
    } else if (!poolDemand.canSpareVm(currentPool, worker.entry.capacity(), backlog, nowMillis)) {
      return "needed";
    }
    return isWorkerMovable(worker, pool, nowMillis) ? "smallest_pool" : "not_movable";
  }

  /** Returns whether a worker is reachable, uncordoned and empty, and its VM may be moved. */
  private boolean isWorkerMovable(Worker worker, String pool, long nowMillis) {
    return worker.listed
        && worker.hasReported
        && worker.isSafeToRemove()
        && !worker.entry.draining()
        && worker.consecutiveCallFailures == 0
        && worker.cordonReason.isEmpty()
        && !worker.entry.vm().isEmpty()
        && vmMover.mayMove(worker.entry.vm(), pool, nowMillis);
  }

  private void powerOffIdleVms(
      String standbyPool, FleetSettings settings, Backlog backlog, long nowMillis) {
    for (Map.Entry<Worker, Long> entry : List.copyOf(emptySinceMillis.entrySet())) {
      Worker worker = entry.getKey();
      String currentPool = worker.entry.pool();
      PoolConfig poolConfig = settings.pools().get(currentPool);
      boolean isIdle = nowMillis - entry.getValue() >= IDLE_BEFORE_POWER_OFF_MILLIS;
      boolean isUnneeded =
          poolConfig != null
              && !poolConfig.standby()
              && backlog.forPool(currentPool).tasks() == 0
              && countUncordoned(currentPool) > MIN_WORKERS;
      boolean mayPowerOff =
          isIdle
              && isUnneeded
              && vmMover.canStartMove(nowMillis)
              && isWorkerMovable(worker, standbyPool, nowMillis)
              && poolDemand.canSpareVm(currentPool, worker.entry.capacity(), backlog, nowMillis);
      if (mayPowerOff) {
        vmMover.move(worker.entry.vm(), standbyPool, "idle", nowMillis);
      }
    }
  }

  private long countUncordoned(String pool) {
    return poolDemand.uncordonedWorkers(pool).size();
  }
}
