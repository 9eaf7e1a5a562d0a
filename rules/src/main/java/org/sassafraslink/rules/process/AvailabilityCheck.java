package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import org.sassafraslink.api.model.FleetConfig.AvailabilityBudget;

/**
 * Decides whether one more instance of a service may be made unavailable deliberately, for
 * maintenance or a move to another pool.
 *
 * <p>Instances that are unavailable because of maintenance, moves or failures count against the
 * same availability budget. The caller must mark an instance whose state is unknown as unavailable.
 */
public final class AvailabilityCheck {
  /**
   * An instance of a service.
   *
   * @param vm the id of the VM on which the instance runs
   * @param available whether the instance is known to serve requests
   */
  public record Instance(String vm, String zone, boolean available) {}

  private AvailabilityCheck() {}

  /**
   * Returns whether the instance on {@code vm} may become unavailable without exceeding {@code
   * budget}, in total and in each zone. Returns false if {@code vm} has no instance.
   */
  public static boolean mayDisrupt(
      AvailabilityBudget budget, ImmutableList<Instance> instances, String vm) {
    ImmutableList<Instance> afterDisruption =
        instances.stream()
            .map(instance -> instance.vm().equals(vm) ? asUnavailable(instance) : instance)
            .collect(ImmutableList.toImmutableList());
    boolean hasInstance = instances.stream().anyMatch(instance -> instance.vm().equals(vm));
    return hasInstance
        && countUnavailable(afterDisruption) <= budget.maxUnavailable()
        && afterDisruption.stream()
            .map(Instance::zone)
            .distinct()
            .allMatch(
                zone ->
                    countUnavailableInZone(afterDisruption, zone)
                        <= budget.maxUnavailablePerZone());
  }

  private static Instance asUnavailable(Instance instance) {
    return new Instance(instance.vm(), instance.zone(), false);
  }

  private static long countUnavailable(ImmutableList<Instance> instances) {
    return instances.stream().filter(instance -> !instance.available()).count();
  }

  private static long countUnavailableInZone(ImmutableList<Instance> instances, String zone) {
    return instances.stream()
        .filter(instance -> instance.zone().equals(zone) && !instance.available())
        .count();
  }
}
