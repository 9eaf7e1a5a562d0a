package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import org.sassafraslink.api.model.FleetConfig.AvailabilityBudget;

/**
 * Decides whether one more instance of a service may be made unavailable on purpose.
 *
 * <p>Maintenance, moves and failures draw on one budget. An instance whose state is unknown counts
 * as unavailable.
 */
public final class AvailabilityCheck {
  /** An instance as the planner sees it. */
  public record Instance(String vm, String zone, boolean available) {}

  private AvailabilityCheck() {}

  /** Whether {@code vm} may become unavailable without exceeding {@code budget}. */
  public static boolean mayDisrupt(
      AvailabilityBudget budget, ImmutableList<Instance> instances, String vm) {
    ImmutableList<Instance> after =
        instances.stream()
            .map(instance -> instance.vm().equals(vm) ? lost(instance) : instance)
            .collect(ImmutableList.toImmutableList());
    boolean isKnown = instances.stream().anyMatch(instance -> instance.vm().equals(vm));
    return isKnown
        && unavailable(after) <= budget.maxUnavailable()
        && after.stream()
            .map(Instance::zone)
            .distinct()
            .allMatch(zone -> unavailableIn(after, zone) <= budget.maxUnavailablePerZone());
  }

  private static Instance lost(Instance instance) {
    return new Instance(instance.vm(), instance.zone(), false);
  }

  private static long unavailable(ImmutableList<Instance> instances) {
    return instances.stream().filter(instance -> !instance.available()).count();
  }

  private static long unavailableIn(ImmutableList<Instance> instances, String zone) {
    return instances.stream()
        .filter(instance -> instance.zone().equals(zone) && !instance.available())
        .count();
  }
}
