package org.sassafraslink.scheduler;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import org.sassafraslink.api.fleet.Resources;

/**
 * Remembers, during one placement round, for which tasks a list of workers has no room.
 *
 * <p>In a round, the free capacity of a worker only decreases, so a task that needs at least as
 * much as one that fitted nowhere does not fit either. In a backlog most waiting tasks are of this
 * kind; without this memory, each of them would be compared with each worker of its pool in each
 * round.
 */
final class UnplaceableNeeds {
  private record Need(Resources resources, String requiredLabel) {
    static Need of(Task task) {
      return new Need(task.step.reservedResources(), task.step.requiredLabel());
    }

    /** Returns whether no worker without room for {@code smaller} has room for this. */
    boolean includes(Need smaller) {
      return resources.covers(smaller.resources)
          && (smaller.requiredLabel.isEmpty() || smaller.requiredLabel.equals(requiredLabel));
    }
  }

  private final IdentityHashMap<List<Worker>, List<Need>> needsByWorkers = new IdentityHashMap<>();

  /** Records that a task fits on none of {@code workers}, and not just for the moment. */
  void add(Task task, List<Worker> workers) {
    // Tasks of other steps may fit where a task is excluded only by the tasks of its own step.
    if (task.step.maxPerWorker() == 0 && !contains(task, workers)) {
      needsByWorkers.computeIfAbsent(workers, list -> new ArrayList<>()).add(Need.of(task));
    }
  }

  /** Returns whether it is known that a task fits on none of {@code workers}. */
  boolean contains(Task task, List<Worker> workers) {
    List<Need> needs = needsByWorkers.get(workers);
    return needs != null && needs.stream().anyMatch(Need.of(task)::includes);
  }
}
