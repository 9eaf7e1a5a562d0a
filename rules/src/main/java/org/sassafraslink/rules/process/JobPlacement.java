package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Optional;
import org.sassafraslink.api.platform.WorkerControl.Resources;
import org.sassafraslink.api.platform.WorkerControl.Worker;

/** Decides on which worker a job starts: the fitting one that is left with the least free cores. */
public final class JobPlacement {
  private JobPlacement() {}

  /** Whether no worker could run the job even if it were idle. */
  public static boolean isNeverRunnable(ImmutableList<Worker> workers, Resources need) {
    return workers.stream().noneMatch(worker -> worker.resources().fits(need));
  }

  /** The worker to use; empty if the job has to wait. */
  public static Optional<Worker> choose(
      ImmutableList<Worker> workers,
      ImmutableMap<String, Resources> used,
      ImmutableSet<String> quarantined,
      Resources need) {
    return workers.stream()
        .filter(worker -> !quarantined.contains(worker.id()))
        .filter(worker -> free(worker, used).fits(need))
        .min(
            Comparator.<Worker>comparingInt(worker -> free(worker, used).cores())
                .thenComparingInt(worker -> free(worker, used).memoryMb())
                .thenComparing(Worker::id));
  }

  /** The order in which waiting jobs are considered: by class, then by time of submission. */
  public static Comparator<Job> order() {
    return Comparator.comparing(Job::workClass)
        .thenComparingLong(Job::submittedMillis)
        .thenComparing(Job::id);
  }

  private static Resources free(Worker worker, ImmutableMap<String, Resources> used) {
    Resources taken = used.getOrDefault(worker.id(), new Resources(0, 0, 0));
    return worker.resources().minus(taken);
  }
}
