package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * The workers of a {@link WorkerRegistry} by pool and by VM, as of one state of the registry.
 *
 * <p>The registry changes a few times a second, but the scheduler looks workers up several times in
 * each of its passes. With an index, the cost of a lookup does not grow with the fleet.
 */
final class WorkerIndex {
  /** What decides which tasks an empty worker could run. */
  private record Kind(Resources capacity, ImmutableList<String> labels) {
    boolean canRun(StepSpec step) {
      return capacity.covers(step.reservedResources())
          && (step.requiredLabel().isEmpty() || labels.contains(step.requiredLabel()));
    }
  }

  private final ImmutableList<Worker> all;
  private final ImmutableSet<Kind> kinds;
  private final ImmutableListMultimap<String, Worker> listedByPool;
  private final ImmutableListMultimap<String, Worker> listedByVm;

  private WorkerIndex(Collection<Worker> registered, Collection<Worker> detached) {
    this.all = ImmutableList.<Worker>builder().addAll(registered).addAll(detached).build();
    ImmutableListMultimap.Builder<String, Worker> byPool = ImmutableListMultimap.builder();
    ImmutableListMultimap.Builder<String, Worker> byVm = ImmutableListMultimap.builder();
    for (Worker worker : registered) {
      if (worker.isInPool()) {
        byPool.put(worker.entry.pool(), worker);
      }
      if (worker.listed) {
        byVm.put(worker.entry.vm(), worker);
      }
    }
    this.listedByPool = byPool.build();
    this.listedByVm = byVm.build();
    this.kinds =
        registered.stream()
            .map(worker -> new Kind(worker.entry.capacity(), worker.entry.labels()))
            .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Creates an index.
   *
   * @param registered the workers that are listed, or that were listed and may still run tasks
   * @param detached incarnations that may still run tasks, whose id is listed with another one or
   *     not at all
   */
  static WorkerIndex of(Collection<Worker> registered, Collection<Worker> detached) {
    return new WorkerIndex(registered, detached);
  }

  /** Returns all workers. */
  ImmutableList<Worker> all() {
    return all;
  }

  /** Returns whether any worker could run a task of this step if it were empty. */
  boolean hasKindFor(StepSpec step) {
    return kinds.stream().anyMatch(kind -> kind.canRun(step));
  }

  List<Worker> listedInPool(String pool) {
    return listedByPool.get(pool);
  }

  /**
   * Returns the listed worker on a VM. If several entries name the VM, this is the latest of those
   * that have responded, since any entry may be that of another writer.
   */
  Optional<Worker> listedOnVm(String vm) {
    return listedByVm.get(vm).stream()
        .max(
            Comparator.comparing((Worker worker) -> worker.confirmed)
                .thenComparingLong(worker -> worker.entry.incarnation()));
  }
}
