package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.capacity.DrainChoice;
import org.sassafraslink.scheduler.capacity.PoolShares;

/**
 * Moves empty VMs to pools that are short of them, and powers off VMs that no pool needs by moving
 * them to the standby pool.
 *
 * <p>A pool is short of VMs if more tasks wait in it than will soon fit on its own workers, or if
 * work arrives faster than those can complete it. VMs are taken first from pools that do not need
 * them, then from the standby pool. A VM must have been empty for a while before it is moved, so
 * that VMs do not move back and forth whenever the demand falls briefly.
 *
 * <p>Late and excess jobs are owed too. A pool gets VMs for them while no pool is short of VMs for
 * other jobs, and no VM of a pool is powered off that their waiting tasks could use.
 */
final class PoolAutoscaler {
  /**
   * A surplus VM that has been empty for this long, in ms, without being moved gets tasks of late
   * and excess jobs again, because no task may wait for 3 s while VMs are idle.
   */
  private static final long MAX_SURPLUS_IDLE_MILLIS = 2_700;

  /** Time between two adjustments, in ms, since each one visits all workers. */
  private static final long ADJUSTMENT_INTERVAL_MILLIS = 50;

  private final SchedulerLease lease;
  private final WorkerRegistry workers;
  private final PublishedConfig config;
  private final VmInventory vmInventory;
  private final VmMover vmMover;
  private final LongRunningRelocations relocations;

  private final EmptyWorkers emptyWorkers = new EmptyWorkers();
  private final PoolNeeds poolNeeds;
  private final MovableVms movableVms;
  private final IdleVmPowerOff idleVmPowerOff;
  private final PoolShortageLog shortageLog;

  private final SurplusWorkers surplusWorkers;

  /** How many VMs for jobs in time the last adjustment did not find, by pool. */
  private ImmutableMap<String, Long> missingByPool = ImmutableMap.of();

  /** How many of these are for long-running tasks, by pool. */
  private ImmutableMap<String, Long> missingForLongRunningByPool = ImmutableMap.of();

  private long nextAdjustmentMillis;

  PoolAutoscaler(
      EventLog log,
      SchedulerLease lease,
      WorkerRegistry workers,
      PublishedConfig config,
      PoolDemand poolDemand,
      DurationModel durationModel,
      VmInventory vmInventory,
      VmMover vmMover,
      LongRunningRelocations relocations,
      Predicate<String> isDueForMaintenance) {
    this.lease = lease;
    this.workers = workers;
    this.config = config;
    this.vmInventory = vmInventory;
    this.vmMover = vmMover;
    this.relocations = relocations;
    this.poolNeeds = new PoolNeeds(poolDemand);
    this.surplusWorkers = new SurplusWorkers(durationModel);
    this.movableVms =
        new MovableVms(
            config,
            emptyWorkers,
            poolNeeds,
            vmInventory,
            vmMover,
            isDueForMaintenance,
            surplusWorkers::contains);
    this.idleVmPowerOff =
        new IdleVmPowerOff(config, emptyWorkers, poolNeeds, movableVms, isDueForMaintenance);
    this.shortageLog = new PoolShortageLog(log, movableVms, poolNeeds);
  }

  /** Discards all state, because this process has just acquired the scheduling lease. */
  void reset() {
    vmMover.reset();
    emptyWorkers.reset();
    surplusWorkers.clear();
    clearMissing();
  }

  private void clearMissing() {
    missingByPool = ImmutableMap.of();
    missingForLongRunningByPool = ImmutableMap.of();
  }

  /** Moves VMs to pools that are short of them, and powers off idle VMs that no pool needs. */
  void adjustPools(Backlog backlog, long nowMillis) {
    Optional<FleetSettings> settings = config.settings();
    if (settings.isEmpty() || !lease.isValid()) {
      return;
    }
    // In each pass, so that no worker reports, and then gets tasks, before it is cordoned.
    vmMover.cordonWorkers();
    if (nowMillis < nextAdjustmentMillis) {
      return;
    }
    nextAdjustmentMillis = nowMillis + ADJUSTMENT_INTERVAL_MILLIS;
    List<Worker> allWorkers = workers.all();
    emptyWorkers.update(allWorkers, nowMillis);
    vmMover.removeFinishedMoves(nowMillis);
    poolNeeds.update(allWorkers);
    vmInventory.refreshIfDue(nowMillis);
    if (!vmInventory.isFresh(nowMillis)) {
      // No VM can be moved now, so late and excess jobs need not leave workers free.
      clearMissing();
      surplusWorkers.clear();
      return;
    }
    List<String> pools = activePools(settings.get());
    poolNeeds.updateShares(pools, countVmsInService(), backlog, nowMillis);
    updateSurplusWorkers(pools, backlog, nowMillis);
    addVms(pools, backlog, nowMillis);
    config.standbyPool().ifPresent(standbyPool -> powerOffIdleVms(standbyPool, backlog, nowMillis));
  }

  /** Returns whether a pool waits for VMs, because moves to it are in progress or found no VM. */
  boolean isAnyPoolGrowing() {
    return !missingByPool.isEmpty()
        || config
            .settings()
            .map(
                settings ->
                    activePools(settings).stream().anyMatch(pool -> vmMover.countMovesTo(pool) > 0))
            .orElse(false);
  }

  /** Returns the pools whose VMs are powered on. */
  private static List<String> activePools(FleetSettings settings) {
    return settings.pools().values().stream()
        .filter(pool -> !pool.standby())
        .map(PoolConfig::name)
        .toList();
  }

  private long countVmsInService() {
    return vmInventory.vms().stream().filter(vm -> vm.state() != VmState.IN_MAINTENANCE).count();
  }

  /** Returns whether a worker gets no tasks of late and excess jobs; see {@link SurplusWorkers}. */
  boolean isSurplus(Worker worker) {
    return surplusWorkers.contains(worker);
  }

  /** Returns what a pool needs for long-running jobs and jobs that can be in time. */
  Resources neededInTime(String pool, Backlog backlog, long nowMillis) {
    return poolNeeds.neededInTime(pool, backlog, nowMillis);
  }

  /**
   * Updates the surplus workers. A pool has some only while others are short of VMs for jobs in
   * time, and no more than those lack, since late and excess jobs have to wait for no other reason.
   */
  private void updateSurplusWorkers(List<String> pools, Backlog backlog, long nowMillis) {
    Set<Worker> newSurplus = new HashSet<>();
    for (String pool : pools) {
      List<String> otherShortPools =
          missingByPool.keySet().stream().filter(shortPool -> !shortPool.equals(pool)).toList();
      long missing =
          otherShortPools.stream().mapToLong(missingByPool::get).sum() - newSurplus.size();
      if (missing > 0) {
        List<Worker> movable =
            workers.listedInPool(pool).stream()
                .filter(worker -> mayDrain(worker, otherShortPools, nowMillis))
                .toList();
        DrainChoice.Donor donor = poolNeeds.donorOf(pool, backlog, nowMillis);
        newSurplus.addAll(surplusWorkers.choose(donor, movable, (int) missing, nowMillis));
      }
    }
    Set<Worker> forLongRunning = chooseForLongRunning(pools, nowMillis);
    newSurplus.addAll(forLongRunning);
    surplusWorkers.replace(newSurplus, forLongRunning);
  }

  /**
   * Returns the workers whose VMs go to pools that lack them for long-running tasks: those that are
   * empty first, whatever their own pools need, as all work of these tasks is at a standstill.
   */
  private Set<Worker> chooseForLongRunning(List<String> pools, long nowMillis) {
    Set<Worker> chosen = new HashSet<>();
    missingForLongRunningByPool.forEach(
        (shortPool, missing) -> {
          List<Worker> movable =
              pools.stream()
                  .filter(pool -> !pool.equals(shortPool))
                  .filter(pool -> !missingForLongRunningByPool.containsKey(pool))
                  .flatMap(pool -> workers.listedInPool(pool).stream())
                  .filter(worker -> !chosen.contains(worker))
                  .filter(worker -> movableVms.isMovableOnceEmpty(worker, shortPool, nowMillis))
                  .toList();
          chosen.addAll(
              surplusWorkers.firstEmpty(
                  movable,
                  pool -> poolNeeds.workersToGive(pool) - countInPool(chosen, pool),
                  missing.intValue(),
                  nowMillis));
        });
    return chosen;
  }

  private static int countInPool(Set<Worker> workers, String pool) {
    return (int) workers.stream().filter(worker -> worker.entry.pool().equals(pool)).count();
  }

  private boolean mayDrain(Worker worker, List<String> targetPools, long nowMillis) {
    return emptyWorkers.emptyMillis(worker, nowMillis) < MAX_SURPLUS_IDLE_MILLIS
        && targetPools.stream()
            .anyMatch(pool -> movableVms.isMovableOnceEmpty(worker, pool, nowMillis));
  }

  /**
   * Starts moves to the pools that are short of VMs: first for jobs in time, then, if no pool is
   * short of VMs for those, for late and excess jobs.
   */
  private void addVms(List<String> pools, Backlog backlog, long nowMillis) {
    addVmsForJobsInTime(pools, backlog, nowMillis);
    if (missingByPool.isEmpty()) {
      pools.forEach(pool -> addVmsForLateJobs(pool, backlog, nowMillis));
    }
  }

  /** Starts moves for jobs in time, and updates the numbers of VMs that could not be found. */
  private void addVmsForJobsInTime(List<String> pools, Backlog backlog, long nowMillis) {
    Map<String, PoolShares.Shortage> shortages = new LinkedHashMap<>();
    for (String pool : pools) {
      PoolShares.Shortage shortage = shortageOf(pool, backlog, nowMillis);
      if (shortage.missing() > 0) {
        shortages.put(pool, shortage);
      }
    }
    Map<String, Long> notFound = new LinkedHashMap<>();
    Map<String, Long> notFoundForLongRunning = new LinkedHashMap<>();
    while (!shortages.isEmpty() && vmMover.canStartMove(nowMillis)) {
      PoolShares.Shortage shortage = poolNeeds.shares().next(shortages.values()).orElseThrow();
      String pool = shortage.pool();
      Optional<String> vm = movableVms.findVmFor(pool, backlog, nowMillis);
      if (vm.isEmpty()) {
        shortageLog.logShortage(shortage, workers.all(), backlog, nowMillis);
        notFound.put(pool, shortage.missing());
        notFoundForLongRunning.put(pool, missingWithinEqualPart(shortage, pools.size()));
        shortages.remove(pool);
      } else {
        startMove(vm.get(), pool, reasonForMove(pool, backlog, nowMillis), nowMillis);
        shortages.replace(pool, shortage.afterMove());
        shortages.values().removeIf(remaining -> remaining.missing() == 0);
      }
    }
    // The rate of moves is used up.
    shortages.forEach(
        (pool, shortage) -> {
          long missing = shortage.missing() - movableVms.countStandbyVmsFor(pool, nowMillis);
          if (missing > 0) {
            notFound.put(pool, missing);
            notFoundForLongRunning.put(pool, missingWithinEqualPart(shortage, pools.size()));
          }
        });
    missingByPool = ImmutableMap.copyOf(notFound);
    notFoundForLongRunning.values().removeIf(missing -> missing == 0);
    missingForLongRunningByPool = ImmutableMap.copyOf(notFoundForLongRunning);
  }

  /**
   * Returns how many VMs a pool may have drained in other pools for its long-running tasks: no more
   * than give it an equal part of all VMs, since a step can be wider than the fleet.
   */
  private long missingWithinEqualPart(PoolShares.Shortage shortage, int pools) {
    long missing =
        Math.min(
            shortage.missingForLongRunning(),
            relocations.workersToAdd(shortage.pool(), poolNeeds.vmCapacityOf(shortage.pool())));
    long equalPart = countVmsInService() / pools;
    return Math.max(0, Math.min(missing, equalPart - shortage.vms()));
  }

  /** Returns how many VMs a pool lacks for jobs in time, besides those on their way. */
  private PoolShares.Shortage shortageOf(String pool, Backlog backlog, long nowMillis) {
    Backlog.PoolBacklog poolBacklog = backlog.forPool(pool);
    PoolUsage usage = poolNeeds.usageOf(pool);
    Resources neededForArrivals = poolNeeds.neededForArrivals(pool, nowMillis);
    boolean needsNone = poolBacklog.tasks() == 0 && neededForArrivals.equals(Resources.NONE);
    Resources vmCapacity = poolNeeds.vmCapacityOf(pool);
    int forLongRunning =
        Math.max(backlog.workersForLongRunning(pool), relocations.workersToAdd(pool, vmCapacity));
    int missing =
        needsNone
            ? 0
            : PoolDemand.missingVms(
                poolBacklog, neededForArrivals, forLongRunning, usage, vmCapacity);
    long onTheirWay = vmMover.countMovesTo(pool);
    // A VM that is late may never arrive, and nothing else is done for these tasks meanwhile.
    long missingForLongRunning =
        Math.max(0, forLongRunning - vmMover.countTimelyMovesTo(pool, nowMillis));
    return new PoolShares.Shortage(
        pool,
        usage.uncordonedWorkers() + onTheirWay,
        Math.max(missingForLongRunning, missing - onTheirWay),
        missingForLongRunning);
  }

  private String reasonForMove(String pool, Backlog backlog, long nowMillis) {
    return "backlog of "
        + backlog.forPool(pool).tasks()
        + " tasks, "
        + poolNeeds.neededForArrivals(pool, nowMillis)
        + " needed at the current arrival rate";
  }

  private void addVmsForLateJobs(String pool, Backlog backlog, long nowMillis) {
    int lateTasks = backlog.lateForPool(pool).tasks();
    if (lateTasks == 0) {
      return;
    }
    Resources needed = poolNeeds.neededToCatchUp(pool, backlog, nowMillis);
    int missing =
        PoolDemand.missingForSteadyNeed(
            needed, poolNeeds.usageOf(pool).uncordonedCapacity(), poolNeeds.vmCapacityOf(pool));
    String reason = "late backlog of " + lateTasks + " tasks";
    for (long i = vmMover.countMovesTo(pool); i < missing && vmMover.canStartMove(nowMillis); i++) {
      Optional<String> vm = movableVms.findVmFor(pool, backlog, nowMillis);
      if (vm.isEmpty()) {
        PoolShares.Shortage shortage =
            new PoolShares.Shortage(
                pool, poolNeeds.usageOf(pool).uncordonedWorkers(), missing - i, 0);
        shortageLog.logShortage(shortage, workers.all(), backlog, nowMillis);
        return;
      }
      startMove(vm.get(), pool, reason, nowMillis);
    }
  }

  private void startMove(String vm, String pool, String reason, long nowMillis) {
    workers.listedOnVm(vm).ifPresent(poolNeeds::removeCapacityOf);
    vmMover.move(vm, pool, reason, nowMillis);
  }

  private void powerOffIdleVms(String standbyPool, Backlog backlog, long nowMillis) {
    idleVmPowerOff.powerOff(
        standbyPool,
        backlog,
        nowMillis,
        () -> vmMover.canStartMove(nowMillis),
        worker -> startMove(worker.entry.vm(), standbyPool, "idle", nowMillis));
  }
}
