package org.sassafraslink.scheduler.capacity;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.sassafraslink.api.fleet.Resources;

/**
 * Decides which workers of a pool are drained, so that their VMs can be moved to a pool that is
 * short of VMs for jobs in time.
 *
 * <p>Load pattern: the peak of a pool has passed and left many late tasks behind, while the peak of
 * another begins. Free capacity would be filled with late tasks again and again, so that hardly any
 * worker would ever be empty. The workers that will be empty first are drained; no task is stopped.
 */
public final class DrainChoice {
  /**
   * A worker that may be drained: its VM may be moved and none of its tasks is long-running.
   *
   * @param emptyInMillis when its last task is expected to end, in ms from now
   * @param lastSteps what the tasks of jobs in time reserve on it of which no later step depends,
   *     so that nothing is needed elsewhere when they have ended
   */
  public record Candidate(
      String id, Resources capacity, double emptyInMillis, Resources lastSteps) {}

  /**
   * A pool that can give up VMs.
   *
   * @param capacity the capacity of all its workers that may get tasks
   * @param workers the number of these workers
   * @param neededForArrivals what it needs for work arriving at the current rate
   * @param neededNow what its running and waiting tasks that are long-running or of jobs in time
   *     need
   * @param minWorkers the number of workers that it keeps in any case
   */
  public record Donor(
      Resources capacity,
      int workers,
      Resources neededForArrivals,
      Resources neededNow,
      int minWorkers) {}

  private DrainChoice() {}

  /** Returns the ids of the workers to drain, at most {@code maxWorkers}. */
  public static ImmutableSet<String> choose(
      Donor donor, Collection<Candidate> candidates, int maxWorkers) {
    List<Candidate> firstEmptyFirst =
        candidates.stream()
            .sorted(
                Comparator.comparingDouble(Candidate::emptyInMillis).thenComparing(Candidate::id))
            .toList();
    ImmutableSet.Builder<String> drained = ImmutableSet.builder();
    Resources remainingCapacity = donor.capacity();
    Resources neededNow = donor.neededNow();
    int remainingWorkers = donor.workers();
    int limit = Math.min(maxWorkers, firstEmptyFirst.size());
    for (Candidate candidate : firstEmptyFirst.subList(0, limit)) {
      remainingCapacity = remainingCapacity.minus(candidate.capacity());
      neededNow = neededNow.minus(candidate.lastSteps());
      remainingWorkers--;
      if (!remainingCapacity.covers(donor.neededForArrivals().max(neededNow))
          || remainingWorkers < donor.minWorkers()) {
        break;
      }
      drained.add(candidate.id());
    }
    return drained.build();
  }
}
