package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.log.EventLog;

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

  private final EmptyWorkers emptyWorkers = new EmptyWorkers();
  private final PoolNeeds poolNeeds;
  private final MovableVms movableVms;
  private final IdleVmPowerOff idleVmPowerOff;
  private final PoolShortageLog shortageLog;

  private ImmutableSet<Worker> surplusWorkers = ImmutableSet.of();

  /** The pools for whose jobs in time the last adjustment found no VM that could be moved. */
  private ImmutableSet<String> shortPools = ImmutableSet.of();

  private long nextAdjustmentMillis;

  PoolAutoscaler(
      EventLog log,
      SchedulerLease lease,
      WorkerRegistry workers,
      PublishedConfig config,
      PoolDemand poolDemand,
      VmInventory vmInventory,
      VmMover vmMover,
      Predicate<String> isDueForMaintenance) {
    this.lease = lease;
    this.workers = workers;
    this.config = config;
    this.vmInventory = vmInventory;
    this.vmMover = vmMover;
    this.poolNeeds = new PoolNeeds(poolDemand);
    this.movableVms =
        new MovableVms(
            config,
            emptyWorkers,
            poolNeeds,
            vmInventory,
            vmMover,
            isDueForMaintenance,
            this::isSurplus);
    this.idleVmPowerOff =
        new IdleVmPowerOff(config, emptyWorkers, poolNeeds, movableVms, isDueForMaintenance);
    this.shortageLog = new PoolShortageLog(log, movableVms);
  }

  /** Discards all state, because this process has just acquired the scheduling lease. */
  void reset() {
    vmMover.reset();
    emptyWorkers.reset();
    surplusWorkers = ImmutableSet.of();
    shortPools = ImmutableSet.of();
  }

  /** Moves VMs to pools that are short of them, and powers off idle VMs that no pool needs. */
  void adjustPools(Backlog backlog, long nowMillis) {
    Optional<FleetSettings> settings = config.settings();
    if (settings.isEmpty() || !lease.isValid() || nowMillis < nextAdjustmentMillis) {
      return;
    }
    nextAdjustmentMillis = nowMillis + ADJUSTMENT_INTERVAL_MILLIS;
    List<Worker> allWorkers = workers.all();
    emptyWorkers.update(allWorkers, nowMillis);
    vmMover.removeFinishedMoves(nowMillis);
    poolNeeds.update(allWorkers);
    updateSurplusWorkers(settings.get(), backlog, nowMillis);
    vmInventory.refreshIfDue(nowMillis);
    if (!vmInventory.isFresh(nowMillis)) {
      // No VM can be moved now, so late and excess jobs need not leave workers free.
      shortPools = ImmutableSet.of();
      return;
    }
    addVms(settings.get(), backlog, nowMillis);
    config.standbyPool().ifPresent(standbyPool -> powerOffIdleVms(standbyPool, backlog, nowMillis));
  }

  /** Returns whether a pool waits for VMs, because moves to it are in progress or found no VM. */
  boolean isAnyPoolGrowing() {
    return !shortPools.isEmpty()
        || config
            .settings()
            .map(
                settings ->
                    settings.pools().values().stream()
                        .anyMatch(pool -> !pool.standby() && vmMover.countMovesTo(pool.name()) > 0))
            .orElse(false);
  }

  /** Returns whether a worker gets no tasks of late and excess jobs; see {@link SurplusWorkers}. */
  boolean isSurplus(Worker worker) {
    return surplusWorkers.contains(worker);
  }

  /**
   * Updates the surplus workers. A pool has some only while another pool is short of VMs for jobs
   * in time, since late and excess jobs have to wait for no other reason.
   */
  private void updateSurplusWorkers(FleetSettings settings, Backlog backlog, long nowMillis) {
    ImmutableSet.Builder<Worker> newSurplus = ImmutableSet.builder();
    for (PoolConfig pool : settings.pools().values()) {
      boolean isUsableElsewhere =
          shortPools.stream().anyMatch(shortPool -> !shortPool.equals(pool.name()));
      if (!pool.standby() && isUsableElsewhere) {
        List<Worker> poolWorkers =
            workers.listedInPool(pool.name()).stream()
                .filter(worker -> worker.cordonReason.isEmpty())
                .toList();
        Resources needed = neededInTime(pool.name(), backlog, nowMillis);
        SurplusWorkers.of(poolWorkers, needed, PoolNeeds.MIN_WORKERS).stream()
            .filter(worker -> emptyWorkers.emptyMillis(worker, nowMillis) < MAX_SURPLUS_IDLE_MILLIS)
            .forEach(newSurplus::add);
      }
    }
    surplusWorkers = newSurplus.build();
  }

  /** Returns what a pool needs for long-running jobs and jobs that can be in time. */
  Resources neededInTime(String pool, Backlog backlog, long nowMillis) {
    return poolNeeds.neededInTime(pool, backlog, nowMillis);
  }

  /**
   * Starts moves to the pools that are short of VMs: first for jobs in time, then, if no pool is
   * short of VMs for those, for late and excess jobs.
   */
  private void addVms(FleetSettings settings, Backlog backlog, long nowMillis) {
    ImmutableSet.Builder<String> newShortPools = ImmutableSet.builder();
    for (PoolConfig pool : settings.pools().values()) {
      if (!pool.standby() && !addVmsForJobsInTime(pool.name(), backlog, nowMillis)) {
        newShortPools.add(pool.name());
      }
    }
    shortPools = newShortPools.build();
    if (shortPools.isEmpty()) {
      for (PoolConfig pool : settings.pools().values()) {
        if (!pool.standby()) {
          addVmsForLateJobs(pool.name(), backlog, nowMillis);
        }
      }
    }
  }

  /** Starts moves for jobs in time; returns false if some of the VMs could not be found. */
  private boolean addVmsForJobsInTime(String pool, Backlog backlog, long nowMillis) {
    Backlog.PoolBacklog poolBacklog = backlog.forPool(pool);
    Resources neededForArrivals = poolNeeds.neededForArrivals(pool, nowMillis);
    if (poolBacklog.tasks() == 0 && neededForArrivals.equals(Resources.NONE)) {
      return true;
    }
    int missing =
        PoolDemand.missingVms(
            poolBacklog,
            neededForArrivals,
            backlog.workersForLongRunning(pool),
            poolNeeds.usageOf(pool),
            poolNeeds.vmCapacityOf(pool));
    String reason =
        "backlog of "
            + poolBacklog.tasks()
            + " tasks, "
            + neededForArrivals
            + " needed at the current arrival rate";
    return moveVmsTo(pool, missing, reason, backlog, nowMillis);
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
    moveVmsTo(pool, missing, "late backlog of " + lateTasks + " tasks", backlog, nowMillis);
  }

  /**
   * Starts moves of VMs to a pool until {@code missing} are in progress or the platform's rate is
   * used up. Returns false if too few VMs can be moved.
   */
  private boolean moveVmsTo(
      String pool, int missing, String reason, Backlog backlog, long nowMillis) {
    for (long i = vmMover.countMovesTo(pool); i < missing && vmMover.canStartMove(nowMillis); i++) {
      Optional<String> vm = movableVms.findVmFor(pool, backlog, nowMillis);
      if (vm.isEmpty()) {
        shortageLog.logShortage(pool, missing - i, workers.all(), backlog, nowMillis);
        return false;
      }
      startMove(vm.get(), pool, reason, nowMillis);
    }
    return true;
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
