package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.sassafraslink.api.model.FleetConfig.AvailabilityBudget;
import org.sassafraslink.rules.process.AvailabilityCheck.Instance;

/**
 * Decides which VMs a maintenance plan drains next.
 *
 * <p>It chooses as many VMs as the availability budgets of all services on the pool allow, first in
 * the zones that have the most VMs left to reboot. Otherwise the last VMs could all be in one zone,
 * and the budget per zone would limit how many of them may be drained at the same time.
 */
public final class WavePlan {
  /**
   * The progress of a maintenance plan, as stored in the plan's row of the table service.
   *
   * @param generation the generation of the plan, which the operator increases in a service file to
   *     run the plan once more
   * @param done the ids of the VMs that were rebooted in this generation
   */
  public record Progress(String plan, int generation, ImmutableSet<String> done) {
    /** Prefix of the keys of all progress rows. */
    public static final String KEY_PREFIX = "wave/";

    /** Returns the key of the progress row of {@code plan}. */
    public static String key(String plan) {
      return KEY_PREFIX + plan;
    }

    /** Returns the progress of a generation in which no VM has been rebooted yet. */
    public static Progress start(String plan, int generation) {
      return new Progress(plan, generation, ImmutableSet.of());
    }

    /** Returns this progress with {@code vm} added to the rebooted VMs. */
    public Progress withDone(String vm) {
      return new Progress(
          plan, generation, ImmutableSet.<String>builder().addAll(done).add(vm).build());
    }
  }

  private WavePlan() {}

  /**
   * Returns the ids of the VMs of one pool to drain now.
   *
   * @param instances the instances on the VMs of the pool, one for each VM
   * @param budgets the availability budgets of the services on the pool
   * @param done the ids of the VMs that were already rebooted
   */
  public static ImmutableList<String> nextVmsToDrain(
      ImmutableList<Instance> instances,
      ImmutableList<AvailabilityBudget> budgets,
      ImmutableSet<String> done) {
    List<Instance> afterDrains = new ArrayList<>(instances);
    ImmutableList.Builder<String> chosen = ImmutableList.builder();
    List<Instance> candidates =
        instances.stream()
            .filter(instance -> instance.available() && !done.contains(instance.vm()))
            .sorted(
                Comparator.<Instance>comparingLong(
                        instance -> -countRemainingInZone(instances, done, instance.zone()))
                    .thenComparing(Instance::zone)
                    .thenComparing(Instance::vm))
            .toList();
    for (Instance candidate : candidates) {
      ImmutableList<Instance> current = ImmutableList.copyOf(afterDrains);
      boolean isAllowed =
          budgets.stream()
              .allMatch(budget -> AvailabilityCheck.mayDisrupt(budget, current, candidate.vm()));
      if (isAllowed) {
        chosen.add(candidate.vm());
        afterDrains.remove(candidate);
        afterDrains.add(new Instance(candidate.vm(), candidate.zone(), false));
      }
    }
    return chosen.build();
  }

  private static long countRemainingInZone(
      ImmutableList<Instance> instances, ImmutableSet<String> done, String zone) {
    return instances.stream()
        .filter(instance -> instance.zone().equals(zone) && !done.contains(instance.vm()))
        .count();
  }
}
