package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Pool;

/**
 * Decides which pool a new VM joins, and which VM moves to a pool that has fewer VMs than its
 * configured size.
 */
public final class PoolPlan {
  /**
   * A VM.
   *
   * @param vm the id of the VM
   * @param pool the pool of the VM after the move that is in progress, if any
   */
  public record PooledVm(String vm, String zone, String pool) {}

  /** A move of a VM from one pool to another. */
  public record Move(String vm, String fromPool, String toPool) {}

  private PoolPlan() {}

  /**
   * Returns the pool that a new VM in {@code zone} should join, or the spare pool if no pool is
   * below its size. Returns empty if there is no spare pool either.
   */
  public static Optional<String> poolForNewVm(
      FleetConfig config, ImmutableList<PooledVm> vms, String zone) {
    return choosePoolBelowSize(config, vms, zone).or(() -> sparePool(config));
  }

  /**
   * Returns the next move to start, or empty if none is needed. It moves a VM of the spare pool, of
   * a pool above its size or of a pool that is no longer configured to a pool below its size.
   */
  public static Optional<Move> nextMove(FleetConfig config, ImmutableList<PooledVm> vms) {
    return vms.stream()
        .filter(vm -> mayReleaseVm(config, vms, vm.pool()))
        .sorted(Comparator.comparing(PooledVm::vm))
        .flatMap(
            vm ->
                choosePoolBelowSize(config, vms, vm.zone()).stream()
                    .map(pool -> new Move(vm.vm(), vm.pool(), pool)))
        .findFirst();
  }

  private static boolean mayReleaseVm(
      FleetConfig config, ImmutableList<PooledVm> vms, String poolName) {
    Pool pool = config.pools().get(poolName);
    return pool == null || pool.spare() || countVms(vms, poolName) > pool.size();
  }

  /**
   * Returns the pool below its size with the fewest VMs in {@code zone}, so that each pool is
   * spread over the zones; among equals, the one that is furthest below its size.
   */
  private static Optional<String> choosePoolBelowSize(
      FleetConfig config, ImmutableList<PooledVm> vms, String zone) {
    return config.pools().values().stream()
        .filter(pool -> !pool.spare() && countVms(vms, pool.name()) < pool.size())
        .min(
            Comparator.<Pool>comparingLong(pool -> countVmsInZone(vms, pool.name(), zone))
                .thenComparingLong(pool -> countVms(vms, pool.name()) - pool.size())
                .thenComparing(Pool::name))
        .map(Pool::name);
  }

  private static Optional<String> sparePool(FleetConfig config) {
    return config.pools().values().stream().filter(Pool::spare).map(Pool::name).findFirst();
  }

  private static long countVms(ImmutableList<PooledVm> vms, String pool) {
    return vms.stream().filter(vm -> vm.pool().equals(pool)).count();
  }

  private static long countVmsInZone(ImmutableList<PooledVm> vms, String pool, String zone) {
    return vms.stream().filter(vm -> vm.pool().equals(pool) && vm.zone().equals(zone)).count();
  }
}
