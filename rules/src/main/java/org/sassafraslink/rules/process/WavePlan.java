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
 * <p>It takes as many as the budgets of all services on the pool allow, first from the zones with
 * the most VMs left. Otherwise one zone would be left at the end, whose VMs could only go one after
 * the other.
 */
public final class WavePlan {
  /** The progress of a plan, kept in one row. */
  public record Progress(String plan, int generation, ImmutableSet<String> done) {
    /** The prefix of the keys of progress rows. */
    public static final String PREFIX = "wave/";

    /** The key of the progress row of {@code plan}. */
    public static String key(String plan) {
      return PREFIX + plan;
    }

    /** The progress of a generation in which no VM is done. */
    public static Progress start(String plan, int generation) {
      return new Progress(plan, generation, ImmutableSet.of());
    }

    /** This progress with {@code vm} done. */
    public Progress finish(String vm) {
      return new Progress(
          plan, generation, ImmutableSet.<String>builder().addAll(done).add(vm).build());
    }
  }

  private WavePlan() {}

  /** The VMs of one pool to drain now. */
  public static ImmutableList<String> next(
      ImmutableList<Instance> instances,
      ImmutableList<AvailabilityBudget> budgets,
      ImmutableSet<String> done) {
    List<Instance> state = new ArrayList<>(instances);
    ImmutableList.Builder<String> chosen = ImmutableList.builder();
    List<Instance> candidates =
        instances.stream()
            .filter(instance -> instance.available() && !done.contains(instance.vm()))
            .sorted(
                Comparator.<Instance>comparingLong(i -> -left(instances, done, i.zone()))
                    .thenComparing(Instance::zone)
                    .thenComparing(Instance::vm))
            .toList();
    for (Instance candidate : candidates) {
      ImmutableList<Instance> now = ImmutableList.copyOf(state);
      boolean allowed =
          budgets.stream()
              .allMatch(budget -> AvailabilityCheck.mayDisrupt(budget, now, candidate.vm()));
      if (allowed) {
        chosen.add(candidate.vm());
        state.remove(candidate);
        state.add(new Instance(candidate.vm(), candidate.zone(), false));
      }
    }
    return chosen.build();
  }

  private static long left(
      ImmutableList<Instance> instances, ImmutableSet<String> done, String zone) {
    return instances.stream()
        .filter(instance -> instance.zone().equals(zone) && !done.contains(instance.vm()))
        .count();
  }
}
