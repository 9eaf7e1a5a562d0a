package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The workers of a {@link WorkerRegistry} by pool and by VM, as of one state of the registry.
 *
 * <p>The registry changes a few times a second, but the scheduler looks workers up several times in
 * each of its passes. With an index, the cost of a lookup does not grow with the fleet.
 */
final class WorkerIndex {
  private final ImmutableList<Worker> all;
  private final ImmutableListMultimap<String, Worker> listedByPool;
  private final Map<String, Worker> listedByVm = new HashMap<>();

  private WorkerIndex(Collection<Worker> registered, Collection<Worker> jobRowWorkers) {
    this.all = ImmutableList.<Worker>builder().addAll(registered).addAll(jobRowWorkers).build();
    ImmutableListMultimap.Builder<String, Worker> byPool = ImmutableListMultimap.builder();
    for (Worker worker : registered) {
      if (worker.listed && !worker.ended) {
        byPool.put(worker.entry.pool(), worker);
      }
      if (worker.listed) {
        listedByVm.putIfAbsent(worker.entry.vm(), worker);
      }
    }
    this.listedByPool = byPool.build();
  }

  /**
   * Creates an index.
   *
   * @param registered the workers that are listed, or that were listed and may still run tasks
   * @param jobRowWorkers workers that only the rows of jobs name, which have no pool and no VM
   */
  static WorkerIndex of(Collection<Worker> registered, Collection<Worker> jobRowWorkers) {
    return new WorkerIndex(registered, jobRowWorkers);
  }

  /** Returns all workers. */
  ImmutableList<Worker> all() {
    return all;
  }

  List<Worker> listedInPool(String pool) {
    return listedByPool.get(pool);
  }

  Optional<Worker> listedOnVm(String vm) {
    return Optional.ofNullable(listedByVm.get(vm));
  }
}
