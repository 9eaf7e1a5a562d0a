package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Pool;

/** Decides to which pool a VM without a pool goes, and which VM of the spare pool moves. */
public final class PoolPlan {
  /** A VM with its pool. */
  public record Placed(String vm, String zone, String pool) {}

  /** A move that should be started. */
  public record Move(String vm, String fromPool, String toPool) {}

  private PoolPlan() {}

  /** The pool that a VM in {@code zone} should join: the one that lacks most, else the spare. */
  public static Optional<String> poolForNewVm(
      FleetConfig config, ImmutableList<Placed> placed, String zone) {
    return neediest(config, placed, zone).or(() -> spare(config));
  }

  /** A move from the spare pool, or from a pool above its size, to one below its size. */
  public static Optional<Move> nextMove(FleetConfig config, ImmutableList<Placed> placed) {
    return placed.stream()
        .filter(vm -> isSurplus(config, placed, vm.pool()))
        .sorted(Comparator.comparing(Placed::vm))
        .flatMap(
            vm ->
                neediest(config, placed, vm.zone()).stream()
                    .map(pool -> new Move(vm.vm(), vm.pool(), pool)))
        .findFirst();
  }

  private static boolean isSurplus(
      FleetConfig config, ImmutableList<Placed> placed, String poolName) {
    Pool pool = config.pools().get(poolName);
    return pool == null || pool.spare() || count(placed, poolName) > pool.size();
  }

  private static Optional<String> neediest(
      FleetConfig config, ImmutableList<Placed> placed, String zone) {
    return config.pools().values().stream()
        .filter(pool -> !pool.spare() && count(placed, pool.name()) < pool.size())
        .min(
            Comparator.<Pool>comparingLong(pool -> countIn(placed, pool.name(), zone))
                .thenComparingLong(pool -> count(placed, pool.name()) - pool.size())
                .thenComparing(Pool::name))
        .map(Pool::name);
  }

  private static Optional<String> spare(FleetConfig config) {
    return config.pools().values().stream().filter(Pool::spare).map(Pool::name).findFirst();
  }

  private static long count(ImmutableList<Placed> placed, String pool) {
    return placed.stream().filter(vm -> vm.pool().equals(pool)).count();
  }

  private static long countIn(ImmutableList<Placed> placed, String pool, String zone) {
    return placed.stream().filter(vm -> vm.pool().equals(pool) && vm.zone().equals(zone)).count();
  }
}
