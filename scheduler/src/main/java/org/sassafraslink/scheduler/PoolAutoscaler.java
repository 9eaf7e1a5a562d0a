package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.placement.EvacuatedZones;

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
   * A VM is powered off after being empty for this long, in ms. An empty VM costs as much in this
   * time as two moves.
   */
  private static final long IDLE_BEFORE_POWER_OFF_MILLIS = 2_300;

  /**
   * As {@link #IDLE_BEFORE_POWER_OFF_MILLIS}, for a VM of a pool whose demand falls: it will hardly
   * be needed again soon.
   */
  private static final long IDLE_BEFORE_POWER_OFF_IF_FALLING_MILLIS = 1_200;

  /** A VM may be moved to a pool that is short of VMs after being empty for this long, in ms. */
  private static final long IDLE_BEFORE_MOVE_MILLIS = 600;

  /** As {@link #IDLE_BEFORE_MOVE_MILLIS}, for a VM that is surplus in its own pool. */
  private static final long SURPLUS_IDLE_BEFORE_MOVE_MILLIS = 200;

  /**
   * A surplus VM that has been empty for this long, in ms, without being moved gets tasks of late
   * and excess jobs again, because no task may wait for 3 s while VMs are idle.
   */
  private static final long MAX_SURPLUS_IDLE_MILLIS = 2_700;

  /** Time between two adjustments, in ms, since each one visits all workers. */
  private static final long ADJUSTMENT_INTERVAL_MILLIS = 50;

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

  private final EmptyWorkers emptyWorkers = new EmptyWorkers();

  private ImmutableSet<Worker> surplusWorkers = ImmutableSet.of();

  /** The pools for whose jobs in time the last adjustment found no VM that could be moved. */
  private ImmutableSet<String> shortPools = ImmutableSet.of();

  private long nextAdjustmentMillis;

  /** The usage of each pool, kept up to date with the moves that an adjustment starts. */
  private final Map<String, PoolUsage> usageByPool = new HashMap<>();

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
    usageByPool.clear();
    usageByPool.putAll(PoolUsage.byPool(allWorkers));
    updateSurplusWorkers(settings.get(), backlog, nowMillis);
    vmInventory.refreshIfDue(nowMillis);
    if (!vmInventory.isFresh(nowMillis)) {
      // No VM can be moved now, so late and excess jobs need not leave workers free.
      shortPools = ImmutableSet.of();
      return;
    }
    addVms(settings.get(), backlog, nowMillis);
    config
        .standbyPool()
        .ifPresent(standbyPool -> powerOffIdleVms(standbyPool, settings.get(), backlog, nowMillis));
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
            workers.listedInPool(pool.name()).stream().filter(Worker::isOpenForTasks).toList();
        Resources needed = neededInTime(pool.name(), backlog, nowMillis);
        SurplusWorkers.of(poolWorkers, needed, MIN_WORKERS).stream()
            .filter(worker -> emptyWorkers.emptyMillis(worker, nowMillis) < MAX_SURPLUS_IDLE_MILLIS)
            .forEach(newSurplus::add);
      }
    }
    surplusWorkers = newSurplus.build();
  }

  /** Returns what a pool needs for long-running jobs and jobs that can be in time. */
  Resources neededInTime(String pool, Backlog backlog, long nowMillis) {
    return poolDemand.neededInTime(pool, usageOf(pool), backlog, nowMillis);
  }

  private PoolUsage usageOf(String pool) {
    return usageByPool.getOrDefault(pool, PoolUsage.EMPTY);
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
    PoolUsage usage = usageOf(pool);
    Resources neededForArrivals = poolDemand.neededForArrivals(pool, usage, nowMillis);
    if (poolBacklog.tasks() == 0 && neededForArrivals.equals(Resources.NONE)) {
      return true;
    }
    int missing =
        PoolDemand.missingVms(
            poolBacklog,
            neededForArrivals,
            backlog.workersForLongRunning(pool),
            usage,
            vmCapacityOf(usage));
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
    PoolUsage usage = usageOf(pool);
    Resources needed = poolDemand.neededToCatchUp(pool, usage, backlog, nowMillis);
    int missing =
        PoolDemand.missingForSteadyNeed(needed, usage.uncordonedCapacity(), vmCapacityOf(usage));
    moveVmsTo(pool, missing, "late backlog of " + lateTasks + " tasks", backlog, nowMillis);
  }

  private Resources vmCapacityOf(PoolUsage usage) {
    return usage.workers() > 0
        ? usage.vmCapacity()
        : workers.all().stream()
            .map(worker -> worker.entry.capacity())
            .findFirst()
            .orElse(Resources.NONE);
  }

  /**
   * Starts moves of VMs to a pool until {@code missing} are in progress or the platform's rate is
   * used up. Returns false if too few VMs can be moved.
   */
  private boolean moveVmsTo(
      String pool, int missing, String reason, Backlog backlog, long nowMillis) {
    for (long i = vmMover.countMovesTo(pool); i < missing && vmMover.canStartMove(nowMillis); i++) {
      Optional<String> vm = findMovableVm(pool, backlog, nowMillis);
      if (vm.isEmpty()) {
        logShortage(pool, missing - i, backlog, nowMillis);
        return false;
      }
      startMove(vm.get(), pool, reason, nowMillis);
    }
    return true;
  }

  private void startMove(String vm, String pool, String reason, long nowMillis) {
    workers
        .listedOnVm(vm)
        .ifPresent(
            worker ->
                usageByPool.computeIfPresent(
                    worker.entry.pool(),
                    (name, usage) -> usage.afterCordoningVm(worker.entry.capacity())));
    vmMover.move(vm, pool, reason, nowMillis);
  }

  /** Returns whether a worker's pool can spare its VM for a pool that is short of VMs. */
  private boolean canSpareForOther(Worker worker, Backlog backlog, long nowMillis) {
    String pool = worker.entry.pool();
    PoolUsage usage = usageOf(pool);
    // Late and excess jobs have to leave surplus workers to the other pool.
    Resources needed =
        surplusWorkers.contains(worker)
            ? poolDemand.neededInTime(pool, usage, backlog, nowMillis)
            : poolDemand.neededForAllJobs(pool, usage, backlog, nowMillis);
    return PoolDemand.canSpareVm(usage, worker.entry.capacity(), needed);
  }

  /** Returns whether a worker's pool does not need its VM for any accepted job. */
  private boolean canPowerOff(Worker worker, Backlog backlog, long nowMillis) {
    String pool = worker.entry.pool();
    PoolUsage usage = usageOf(pool);
    Resources needed = poolDemand.neededForAllJobs(pool, usage, backlog, nowMillis);
    return PoolDemand.canSpareVm(usage, worker.entry.capacity(), needed);
  }

  /**
   * Finds an empty VM that another pool does not need, or else one in the standby pool. Prefers VMs
   * that are not due for maintenance: the others get it while powered off.
   */
  private Optional<String> findMovableVm(String pool, Backlog backlog, long nowMillis) {
    for (Worker worker : emptyWorkersBy(worker -> isDueForMaintenance.test(worker.entry.vm()))) {
      String currentPool = worker.entry.pool();
      long requiredIdleMillis =
          surplusWorkers.contains(worker)
              ? SURPLUS_IDLE_BEFORE_MOVE_MILLIS
              : IDLE_BEFORE_MOVE_MILLIS;
      boolean isIdle = emptyWorkers.emptyMillis(worker, nowMillis) >= requiredIdleMillis;
      boolean isMovableNow =
          !currentPool.equals(pool)
              && backlog.forPool(currentPool).tasks() == 0
              && usageOf(currentPool).uncordonedWorkers() > MIN_WORKERS
              && isWorkerMovable(worker, pool, nowMillis)
              && canSpareForOther(worker, backlog, nowMillis);
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
    if (worker.zoneEvacuated) {
      return EvacuatedZones.REASON;
    } else if (!worker.cordonReason.isEmpty()) {
      return "cordoned";
    } else if (!worker.isSafeToRemove()) {
      return worker.tasks().stream().allMatch(task -> task.step.longRunning()) ? "lasting" : "busy";
    } else if (emptyWorkers.emptyMillis(worker, nowMillis) < IDLE_BEFORE_MOVE_MILLIS) {
      return "just_idle";
    } else if (backlog.forPool(currentPool).tasks() > 0) {
      return "own_backlog";
    } else if (!vmMover.mayMove(worker.entry.vm(), pool, nowMillis)) {
      return "paused";
    } else if (!canSpareForOther(worker, backlog, nowMillis)) {
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

  /** Returns the empty workers, those for which {@code isLast} is true after the others. */
  private List<Worker> emptyWorkersBy(Predicate<Worker> isLast) {
    List<Worker> first = new ArrayList<>();
    List<Worker> last = new ArrayList<>();
    for (Worker worker : emptyWorkers.all()) {
      (isLast.test(worker) ? last : first).add(worker);
    }
    first.addAll(last);
    return first;
  }

  private void powerOffIdleVms(
      String standbyPool, FleetSettings settings, Backlog backlog, long nowMillis) {
    for (Worker worker : emptyWorkersBy(worker -> !isDueForMaintenance.test(worker.entry.vm()))) {
      String currentPool = worker.entry.pool();
      PoolConfig poolConfig = settings.pools().get(currentPool);
      long requiredIdleMillis =
          poolDemand.isFalling(currentPool, nowMillis)
              ? IDLE_BEFORE_POWER_OFF_IF_FALLING_MILLIS
              : IDLE_BEFORE_POWER_OFF_MILLIS;
      boolean isIdle = emptyWorkers.emptyMillis(worker, nowMillis) >= requiredIdleMillis;
      boolean isUnneeded =
          poolConfig != null
              && !poolConfig.standby()
              && backlog.forPool(currentPool).tasks() == 0
              && usageOf(currentPool).uncordonedWorkers() > MIN_WORKERS;
      boolean mayPowerOff =
          isIdle
              && isUnneeded
              && vmMover.canStartMove(nowMillis)
              && isWorkerMovable(worker, standbyPool, nowMillis)
              && canPowerOff(worker, backlog, nowMillis);
      if (mayPowerOff) {
        startMove(worker.entry.vm(), standbyPool, "idle", nowMillis);
      }
    }
  }
}
