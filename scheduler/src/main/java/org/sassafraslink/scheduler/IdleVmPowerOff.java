package org.sassafraslink.scheduler;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;

/** Decides which idle VMs, which no accepted job needs, are powered off. */
final class IdleVmPowerOff {
  /**
   * A VM is powered off after being empty for this long, in ms. An empty VM costs as much in this
   * time as two moves.
   */
  private static final long IDLE_MILLIS = 2_300;

  /**
   * As {@link #IDLE_MILLIS}, for a VM of a pool whose demand falls: it will hardly be needed again
   * soon.
   */
  private static final long IDLE_IF_FALLING_MILLIS = 1_200;

  private final PublishedConfig config;
  private final EmptyWorkers emptyWorkers;
  private final PoolNeeds poolNeeds;
  private final MovableVms movableVms;
  private final Predicate<String> isDueForMaintenance;

  IdleVmPowerOff(
      PublishedConfig config,
      EmptyWorkers emptyWorkers,
      PoolNeeds poolNeeds,
      MovableVms movableVms,
      Predicate<String> isDueForMaintenance) {
    this.config = config;
    this.emptyWorkers = emptyWorkers;
    this.poolNeeds = poolNeeds;
    this.movableVms = movableVms;
    this.isDueForMaintenance = isDueForMaintenance;
  }

  /**
   * Passes the workers whose VMs are powered off to {@code startMove}, those due for maintenance
   * first, as long as {@code canStartMove} allows it.
   */
  void powerOff(
      String standbyPool,
      Backlog backlog,
      long nowMillis,
      BooleanSupplier canStartMove,
      Consumer<Worker> startMove) {
    movableVms.emptyWorkersBy(worker -> !isDueForMaintenance.test(worker.entry.vm())).stream()
        .filter(worker -> canStartMove.getAsBoolean())
        .filter(worker -> mayPowerOff(worker, standbyPool, backlog, nowMillis))
        .forEach(startMove);
  }

  private boolean mayPowerOff(Worker worker, String standbyPool, Backlog backlog, long nowMillis) {
    String currentPool = worker.entry.pool();
    Optional<PoolConfig> poolConfig =
        config.settings().map(settings -> settings.pools().get(currentPool));
    long requiredIdleMillis =
        poolNeeds.isFalling(currentPool, nowMillis) ? IDLE_IF_FALLING_MILLIS : IDLE_MILLIS;
    boolean isIdle = emptyWorkers.emptyMillis(worker, nowMillis) >= requiredIdleMillis;
    boolean isUnneeded =
        poolConfig.isPresent()
            && !poolConfig.get().standby()
            && backlog.forPool(currentPool).tasks() == 0
            && poolNeeds.hasMoreThanMinWorkers(currentPool);
    return isIdle
        && isUnneeded
        && movableVms.isWorkerMovable(worker, standbyPool, nowMillis)
        && poolNeeds.canSpareForAllJobs(worker, backlog, nowMillis);
  }
}
