package org.sassafraslink.scheduler.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;

/**
 * Checks that each long-running task runs again in time while there is room for it twice over.
 *
 * <p>Room is what a worker of the task's pool that is up really has free, whatever a scheduler
 * knows or has decided about the worker.
 */
final class LongRunningTaskChecker {
  /** Longest time for which a task may be away while there is room for it, in ms. */
  private static final long MAX_AWAY_WITH_ROOM_MILLIS = 3_000;

  /** Time after its last run from which a task is owed, in ms. */
  private static final long OWED_AFTER_RUN_MILLIS = 6_000;

  /** How long before that time there must have been no fault, in ms. */
  private static final long CALM_BEFORE_MILLIS = 4_000;

  /** How often a task must fit into its pool to count as having room. */
  private static final int ROOM_FACTOR = 2;

  /** Since when a task has been away, and since when with room for it all the time, in ms. */
  private static final class Absence {
    private final long sinceMillis;
    private long roomSinceMillis;
    private boolean reported;

    Absence(long nowMillis) {
      sinceMillis = nowMillis;
      roomSinceMillis = nowMillis;
    }
  }

  private final GuaranteeChecker guaranteeChecker;
  private final Predicate<TaskId> isRunning;
  private final Function<String, List<FakeWorker>> openWorkersInPool;
  private final Map<TaskId, Absence> absences = new HashMap<>();
  private final Set<TaskId> tasksThatHaveRun = new HashSet<>();
  private long longestMillis;

  /**
   * Creates a checker.
   *
   * @param isRunning whether a task runs on any worker
   * @param openWorkersInPool the workers of a pool that are up and may get tasks
   */
  LongRunningTaskChecker(
      GuaranteeChecker guaranteeChecker,
      Predicate<TaskId> isRunning,
      Function<String, List<FakeWorker>> openWorkersInPool) {
    this.guaranteeChecker = guaranteeChecker;
    this.isRunning = isRunning;
    this.openWorkersInPool = openWorkersInPool;
  }

  /** Returns the longest time between two runs of a task, or since its last one, in ms. */
  long longestMillis() {
    return longestMillis;
  }

  /** Checks the tasks of the jobs that are owed, given the time of the last fault. */
  void check(Iterable<JobSpec> jobs, Predicate<TaskId> isOwed, long lastFaultMillis, long now) {
    for (JobSpec job : jobs) {
      for (int step = 0; step < job.steps().size(); step++) {
        StepSpec spec = job.steps().get(step);
        if (spec.longRunning()) {
          for (int index = 0; index < spec.count(); index++) {
            checkTask(
                new TaskId(job.id(), 0, step, index), job, spec, isOwed, lastFaultMillis, now);
          }
        }
      }
    }
  }

  private void checkTask(
      TaskId task,
      JobSpec job,
      StepSpec step,
      Predicate<TaskId> isOwed,
      long lastFaultMillis,
      long now) {
    boolean runs = isRunning.test(task);
    if (runs) {
      tasksThatHaveRun.add(task);
    }
    if (runs || !isOwed.test(task)) {
      absences.remove(task);
      return;
    }
    Absence absence = absences.computeIfAbsent(task, added -> new Absence(now));
    if (countPlaces(task, step, openWorkersInPool.apply(job.pool())) < ROOM_FACTOR) {
      absence.roomSinceMillis = now;
    }
    if (tasksThatHaveRun.contains(task)) {
      longestMillis = Math.max(longestMillis, now - absence.sinceMillis);
    }
    long windowMillis = now - MAX_AWAY_WITH_ROOM_MILLIS;
    if (!absence.reported
        && absence.roomSinceMillis <= windowMillis
        && absence.sinceMillis + OWED_AFTER_RUN_MILLIS <= windowMillis
        && lastFaultMillis + CALM_BEFORE_MILLIS <= windowMillis) {
      absence.reported = true;
      guaranteeChecker.addViolation(
          "LONG_RUNNING_TASK_AWAY",
          task,
          "is away for " + (now - absence.sinceMillis) + " ms with room for it");
    }
  }

  /** Returns how often a task fits into what is free on the workers on which it may run. */
  private static int countPlaces(TaskId task, StepSpec step, List<FakeWorker> workers) {
    return workers.stream()
        .filter(
            worker ->
                step.maxPerWorker() == 0 || worker.countOfSameStep(task) < step.maxPerWorker())
        .mapToInt(worker -> worker.countRoomFor(step.need(), ROOM_FACTOR))
        .sum();
  }
}
