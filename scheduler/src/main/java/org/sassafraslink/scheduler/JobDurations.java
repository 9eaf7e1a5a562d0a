package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;

/**
 * Predicts how long the steps of one job take, from {@link DurationModel} and from the job's own
 * tasks that have run.
 *
 * <p>The tasks of a job run longer or shorter than those of other jobs by a common factor. A job
 * with long tasks also has more time until its deadline, so without its own durations it would be
 * taken for late, and its later steps would wait behind all other jobs.
 */
final class JobDurations {
  /** The number of tasks that run as expected, which the job's own tasks are averaged with. */
  private static final double PRIOR_TASKS = 1;

  /** Least remaining fraction of the duration of a task that runs longer than predicted. */
  private static final double MIN_REMAINING_FRACTION = 0.2;

  private final Job job;
  private final DurationModel durationModel;
  private final long nowMillis;

  /** The ratio of the durations of the job's tasks to the expected ones. */
  private final double factor;

  private JobDurations(Job job, DurationModel durationModel, long nowMillis) {
    this.job = job;
    this.durationModel = durationModel;
    this.nowMillis = nowMillis;
    this.factor = observedFactor();
  }

  /**
   * Returns the durations of a job.
   *
   * @param nowMillis the present time, monotonic ms
   */
  static JobDurations of(Job job, DurationModel durationModel, long nowMillis) {
    return new JobDurations(job, durationModel, nowMillis);
  }

  private double observedFactor() {
    double actual = 0;
    double expected = 0;
    for (ImmutableList<ImmutableList<Task>> steps : job.occurrences()) {
      for (ImmutableList<Task> tasks : steps) {
        double expectedMillis = expectedMillis(tasks.get(0));
        for (Task task : tasks) {
          boolean isOverdue = elapsedMillis(task) > expectedMillis;
          if (task.ranMillis > 0 || isOverdue) {
            actual += Math.max((double) task.ranMillis, elapsedMillis(task)) / expectedMillis;
            expected++;
          }
        }
      }
    }
    return (actual + PRIOR_TASKS) / (expected + PRIOR_TASKS);
  }

  /** Returns the duration of a step in ms: that of its longest task. */
  double totalMillis(int stepNumber) {
    double longestMillis = 0;
    for (ImmutableList<ImmutableList<Task>> steps : job.occurrences()) {
      for (Task task : steps.get(stepNumber)) {
        double predictedMillis = factor * expectedMillis(task);
        double millis =
            task.ranMillis > 0
                ? (double) task.ranMillis
                : Math.max(predictedMillis, elapsedMillis(task));
        longestMillis = Math.max(longestMillis, millis);
      }
    }
    return longestMillis;
  }

  /** Returns how long a step will still take from its start or from now on, in ms. */
  double remainingMillis(int stepNumber) {
    double longestMillis = 0;
    for (ImmutableList<ImmutableList<Task>> steps : job.occurrences()) {
      for (Task task : steps.get(stepNumber)) {
        if (task.phase != TaskPhase.DONE) {
          double predictedMillis = factor * expectedMillis(task);
          longestMillis =
              Math.max(
                  longestMillis,
                  Math.max(
                      predictedMillis - elapsedMillis(task),
                      MIN_REMAINING_FRACTION * predictedMillis));
        }
      }
    }
    return longestMillis;
  }

  private double expectedMillis(Task task) {
    return durationModel.expectedMillis(job.spec.queue(), task.step);
  }

  /** Returns for how long a task has been running, in ms; 0 if it does not run. */
  private double elapsedMillis(Task task) {
    boolean isRunning = task.phase == TaskPhase.RUNNING && task.confirmedMillis > 0;
    return isRunning ? (double) (nowMillis - task.confirmedMillis) : 0;
  }
}
