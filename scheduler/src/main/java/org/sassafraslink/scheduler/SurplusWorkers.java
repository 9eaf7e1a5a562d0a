package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.scheduler.capacity.DrainChoice;

/**
 * The workers that are drained because another pool is short of VMs: they get no tasks of late and
 * excess jobs, and others only if no other worker has room. {@link DrainChoice} chooses them.
 */
final class SurplusWorkers {
  /** Least remaining fraction of the duration of a task that runs longer than predicted. */
  private static final double MIN_REMAINING_FRACTION = 0.2;

  private final DurationModel durationModel;
  private Set<Worker> surplus = new HashSet<>();

  SurplusWorkers(DurationModel durationModel) {
    this.durationModel = durationModel;
  }

  void clear() {
    replace(Set.of(), Set.of());
  }

  boolean contains(Worker worker) {
    return surplus.contains(worker);
  }

  /**
   * Replaces the surplus workers.
   *
   * @param forLongRunning those of them that get no short tasks at all
   */
  void replace(Set<Worker> newSurplus, Set<Worker> forLongRunning) {
    surplus.forEach(
        worker -> {
          worker.isSurplus = false;
          worker.isSurplusForLongRunning = false;
        });
    newSurplus.forEach(worker -> worker.isSurplus = true);
    forLongRunning.forEach(worker -> worker.isSurplusForLongRunning = true);
    surplus = new HashSet<>(newSurplus);
  }

  /**
   * Returns the workers to drain for long-running tasks: of those without such tasks the ones that
   * are empty first, and of each pool no more than it can give.
   */
  List<Worker> firstEmpty(
      Collection<Worker> movable,
      ToIntFunction<String> workersToGive,
      int maxWorkers,
      long nowMillis) {
    List<Worker> chosen = new ArrayList<>();
    Map<String, Integer> givenByPool = new HashMap<>();
    movable.stream()
        .filter(SurplusWorkers::isFreeOfLongRunning)
        .sorted(
            Comparator.<Worker>comparingDouble(
                    worker -> candidateOf(worker, nowMillis).emptyInMillis())
                .thenComparing(worker -> worker.entry.id()))
        .forEach(
            worker -> {
              String pool = worker.entry.pool();
              int given = givenByPool.getOrDefault(pool, 0);
              if (chosen.size() < maxWorkers && given < workersToGive.applyAsInt(pool)) {
                givenByPool.put(pool, given + 1);
                chosen.add(worker);
              }
            });
    return chosen;
  }

  /**
   * Returns the workers of a pool to drain.
   *
   * @param movable the workers of the pool whose VMs may be moved
   */
  List<Worker> choose(
      DrainChoice.Donor donor, Collection<Worker> movable, int maxWorkers, long nowMillis) {
    List<DrainChoice.Candidate> candidates = new ArrayList<>();
    for (Worker worker : movable) {
      if (isFreeOfLongRunning(worker)) {
        candidates.add(candidateOf(worker, nowMillis));
      }
    }
    ImmutableSet<String> chosen = DrainChoice.choose(donor, candidates, maxWorkers);
    return movable.stream().filter(worker -> chosen.contains(worker.entry.id())).toList();
  }

  /** Returns whether a worker has no long-running task and holds no room for one. */
  private static boolean isFreeOfLongRunning(Worker worker) {
    return !worker.hasHolds() && worker.tasks().stream().noneMatch(task -> task.step.longRunning());
  }

  private DrainChoice.Candidate candidateOf(Worker worker, long nowMillis) {
    double emptyInMillis = 0;
    Resources lastSteps = Resources.NONE;
    for (Task task : worker.tasks()) {
      emptyInMillis = Math.max(emptyInMillis, remainingMillis(task, nowMillis));
      if (justifiesVm(task) && isOfLastStep(task)) {
        lastSteps = lastSteps.plus(task.step.reservedResources());
      }
    }
    return new DrainChoice.Candidate(
        worker.entry.id(), worker.entry.capacity(), emptyInMillis, lastSteps);
  }

  private double remainingMillis(Task task, long nowMillis) {
    double expectedMillis = durationModel.expectedMillis(task.job.spec.queue(), task.step);
    double elapsedMillis = task.confirmedMillis > 0 ? (double) nowMillis - task.confirmedMillis : 0;
    return Math.max(expectedMillis - elapsedMillis, MIN_REMAINING_FRACTION * expectedMillis);
  }

  private static boolean isOfLastStep(Task task) {
    int stepNumber = task.id.step();
    return task.job.spec.steps().stream().noneMatch(step -> step.after().contains(stepNumber));
  }

  /** Returns whether a task is long-running or can be in time, so that its pool may need a VM. */
  static boolean justifiesVm(Task task) {
    return task.step.longRunning() || task.job.justifiesMoreWorkers;
  }
}
