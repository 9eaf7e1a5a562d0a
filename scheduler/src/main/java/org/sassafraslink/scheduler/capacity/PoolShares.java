package org.sassafraslink.scheduler.capacity;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Divides the VMs among the pools when their jobs in time need more than there are.
 *
 * <p>Load pattern: several pools have a peak at once, or the peak of one begins before that of
 * another has ended. The shares are max-min fair, weighted by how much of a pool's need is urgent:
 * a pool with a small need gets all of it, and pools with a large one get equal parts of the rest,
 * however much more they ask for.
 */
public final class PoolShares {
  /** Weight of a pool whose need is all urgent, relative to one with no urgent need. */
  private static final double URGENT_WEIGHT = 2;

  /**
   * What a pool needs for long-running jobs and jobs that can be in time.
   *
   * @param vms the number of VMs
   * @param urgentFraction the fraction of it that is for urgent jobs
   */
  public record Need(String pool, double vms, double urgentFraction) {
    private double weight() {
      return 1 + (URGENT_WEIGHT - 1) * urgentFraction;
    }

    private double vmsPerWeight() {
      return vms / weight();
    }
  }

  /**
   * A pool that lacks VMs for long-running jobs and jobs that can be in time.
   *
   * @param vms the VMs that it has and that are on their way to it
   * @param missing how many more VMs it needs
   * @param missingForLongRunning how many of these its waiting long-running tasks need
   */
  public record Shortage(String pool, long vms, long missing, long missingForLongRunning) {
    /** Returns the shortage after one more VM was sent to the pool. */
    public Shortage afterMove() {
      return new Shortage(pool, vms + 1, missing - 1, Math.max(0, missingForLongRunning - 1));
    }
  }

  private final ImmutableMap<String, Double> vmsByPool;

  private PoolShares(ImmutableMap<String, Double> vmsByPool) {
    this.vmsByPool = vmsByPool;
  }

  /** Returns the shares of {@code totalVms} VMs. */
  public static PoolShares of(Collection<Need> needs, double totalVms) {
    ImmutableMap.Builder<String, Double> vmsByPool = ImmutableMap.builder();
    double remainingVms = totalVms;
    double remainingWeight = needs.stream().mapToDouble(Need::weight).sum();
    List<Need> smallestFirst =
        needs.stream().sorted(Comparator.comparingDouble(Need::vmsPerWeight)).toList();
    for (Need need : smallestFirst) {
      double fairVms = remainingVms * need.weight() / remainingWeight;
      double vms = Math.min(need.vms(), fairVms);
      vmsByPool.put(need.pool(), vms);
      remainingVms -= vms;
      remainingWeight -= need.weight();
    }
    return new PoolShares(vmsByPool.buildOrThrow());
  }

  /** Returns how many VMs a pool may have; 0 if it needs none. */
  public double vmsOf(String pool) {
    return vmsByPool.getOrDefault(pool, 0.0);
  }

  /**
   * Returns the shortage of the pool that gets the next VM: one whose long-running tasks wait,
   * since none of their work is done meanwhile, else the one that has the smallest fraction of its
   * share.
   */
  public Optional<Shortage> next(Collection<Shortage> shortages) {
    return shortages.stream()
        .min(
            Comparator.<Shortage, Boolean>comparing(
                    shortage -> shortage.missingForLongRunning() == 0)
                .thenComparingDouble(this::fractionOfShare)
                .thenComparing(Shortage::pool));
  }

  private double fractionOfShare(Shortage shortage) {
    return shortage.vms() / Math.max(1, vmsOf(shortage.pool()));
  }
}
