package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Optional;
import org.sassafraslink.api.platform.WorkerControl.Resources;
import org.sassafraslink.api.platform.WorkerControl.Worker;

/**
 * Decides on which worker a job starts: on the worker with the fewest free cores among those that
 * are not quarantined and have enough free resources (best fit).
 */
public final class JobPlacement {
  private JobPlacement() {}

  /** Returns whether no worker could provide {@code need} even if it were idle. */
  public static boolean isNeverRunnable(ImmutableList<Worker> workers, Resources need) {
    return workers.stream().noneMatch(worker -> worker.resources().covers(need));
  }

  /**
   * Returns the worker on which to start a job, or empty if the job has to wait.
   *
   * @param usedByWorkerId the resources in use on each worker
   * @param quarantined the ids of the workers that are quarantined and get no jobs
   * @param need the resources that the job requires
   */
  public static Optional<Worker> chooseWorker(
      ImmutableList<Worker> workers,
      ImmutableMap<String, Resources> usedByWorkerId,
      ImmutableSet<String> quarantined,
      Resources need) {
    return workers.stream()
        .filter(worker -> !quarantined.contains(worker.id()))
        .filter(worker -> freeResources(worker, usedByWorkerId).covers(need))
        .min(
            Comparator.<Worker>comparingInt(worker -> freeResources(worker, usedByWorkerId).cores())
                .thenComparingInt(worker -> freeResources(worker, usedByWorkerId).memoryMb())
                .thenComparing(Worker::id));
  }

  /** Returns the order in which waiting jobs are placed: by work class, then by submission time. */
  public static Comparator<Job> waitingOrder() {
    return Comparator.comparing(Job::workClass)
        .thenComparingLong(Job::submittedMillis)
        .thenComparing(Job::id);
  }

  private static Resources freeResources(
      Worker worker, ImmutableMap<String, Resources> usedByWorkerId) {
    Resources usedByWorker = usedByWorkerId.getOrDefault(worker.id(), new Resources(0, 0, 0));
    return worker.resources().minus(usedByWorker);
  }
}
