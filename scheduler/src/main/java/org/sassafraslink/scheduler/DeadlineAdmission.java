package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * Decides, in an overload, which jobs of a pool are admitted because they can still meet their
 * deadline.
 *
 * <p>In an overload, placing the job with the earliest deadline first makes nearly every job late,
 * since each starts only when its slack is used up. A job that would start too late behind the
 * admitted jobs before it is therefore not admitted, and is placed after all admitted jobs. A job
 * that has already started is always admitted, so that the work done for it is not wasted. When
 * some job is not admitted, {@link OverloadDeferral} chooses which jobs wait instead.
 */
final class DeadlineAdmission {
  /**
   * The fraction of a pool's capacity that tasks use in practice. The remainder is too small for
   * the next task.
   */
  private static final double USABLE_FRACTION = 0.85;

  /** The fraction of a running task's duration that remains on average. */
  private static final double RUNNING_REMAINING_FRACTION = 0.5;

  private final DurationModel durationModel;
  private final Resources capacity;

  /**
   * How long the whole pool will need for its running tasks and the jobs admitted so far, in ms.
   */
  private double queuedWorkMillis;

  /** The part of {@link #queuedWorkMillis} that is for running tasks, by team. */
  private final Map<String, Double> runningMillisByTeam = new HashMap<>();

  private DeadlineAdmission(DurationModel durationModel, Resources capacity) {
    this.durationModel = durationModel;
    this.capacity = capacity;
  }

  /**
   * Creates an instance for a pool whose usable workers are {@code workers}. The capacity reserved
   * by long-running tasks is left out.
   */
  static DeadlineAdmission forWorkers(DurationModel durationModel, Collection<Worker> workers) {
    Resources capacity = Resources.NONE;
    for (Worker worker : workers) {
      capacity = capacity.plus(worker.entry.capacity());
      for (Task task : worker.tasks()) {
        if (task.step.longRunning()) {
          capacity = capacity.minus(task.step.reservedResources());
        }
      }
    }
    DeadlineAdmission admission = new DeadlineAdmission(durationModel, capacity);
    for (Worker worker : workers) {
      for (Task task : worker.tasks()) {
        if (!task.step.longRunning()) {
          double remainingMillis = RUNNING_REMAINING_FRACTION * admission.wholePoolMillis(task);
          admission.queuedWorkMillis += remainingMillis;
          admission.runningMillisByTeam.merge(task.job.spec.team(), remainingMillis, Double::sum);
        }
      }
    }
    return admission;
  }

  /**
   * Returns whether a job has started or can start in time behind the jobs admitted before, and
   * adds the work of an admitted job to the work of the pool.
   *
   * @param latestStartMillis the latest start with which it meets its deadline, wall-clock ms
   */
  boolean admits(Job job, double latestStartMillis, long wallMillis) {
    boolean isAdmitted = job.hasStarted() || wallMillis + queuedWorkMillis <= latestStartMillis;
    if (isAdmitted) {
      queuedWorkMillis += waitingWorkMillis(job, wallMillis);
    }
    return isAdmitted;
  }

  /** Returns how long the whole pool will work on the running tasks of each team, in ms. */
  ImmutableMap<String, Double> runningMillisByTeam() {
    return ImmutableMap.copyOf(runningMillisByTeam);
  }

  /** Returns how long the whole pool would work on the waiting tasks of due occurrences, in ms. */
  double waitingWorkMillis(Job job, long wallMillis) {
    double totalMillis = 0;
    for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
      if (job.spec.dueMillis(occurrence) <= wallMillis) {
        for (ImmutableList<Task> tasks : job.occurrences().get(occurrence)) {
          int waiting = 0;
          for (Task task : tasks) {
            waiting += task.phase == TaskPhase.WAITING ? 1 : 0;
          }
          totalMillis += waiting == 0 ? 0 : waiting * wholePoolMillis(tasks.get(0));
        }
      }
    }
    return totalMillis;
  }

  /** Returns how long the whole pool would work on a task, in ms. */
  private double wholePoolMillis(Task task) {
    StepSpec step = task.step;
    Resources need = step.reservedResources();
    double fraction =
        Math.max(
            fractionOf(need.cpuMillis(), capacity.cpuMillis()),
            Math.max(
                fractionOf(need.memoryMb(), capacity.memoryMb()),
                fractionOf(need.accelerators(), capacity.accelerators())));
    return fraction * durationModel.expectedMillis(task.job.spec.queue(), step);
  }

  private static double fractionOf(long amount, long total) {
    return amount == 0 ? 0 : amount / Math.max(1, total * USABLE_FRACTION);
  }
}
