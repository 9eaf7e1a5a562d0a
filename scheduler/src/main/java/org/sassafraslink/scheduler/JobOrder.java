package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.function.IntToDoubleFunction;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.StepSpec;

/**
 * Ranks jobs in the order in which they are placed on workers.
 *
 * <p>Long-running jobs are first, since they serve continuously. The next are jobs that can still
 * meet their objective, ordered by the latest time at which they can start; then those of them that
 * {@link OverloadDeferral} defers; then late jobs. Excess jobs are placed after all of these. Jobs
 * that are so late that their results have no value any more are placed last.
 */
final class JobOrder {
  /**
   * A job is late if it will miss its objective, and too late if it will finish after this multiple
   * of the objective.
   */
  private static final double TOO_LATE_FACTOR = 3;

  // The groups of ranks, in the order of placement.
  private static final int LONG_RUNNING = 0;
  private static final int IN_TIME = 1;
  private static final int DEFERRED = 2;
  private static final int LATE = 3;
  private static final int EXCESS = 4;
  private static final int TOO_LATE = 5;

  /**
   * The rank of a job; the lowest is placed first.
   *
   * @param group one of the constants above
   * @param sortKeyMillis the order within the group, a time in wall-clock ms: the latest useful
   *     start of a job that is in time or late; the position of a deferred one; else when the job
   *     was accepted or due
   */
  record Rank(int group, double sortKeyMillis) implements Comparable<Rank> {
    /** Returns whether the job is long-running or, with enough workers, in time. */
    boolean justifiesMoreWorkers() {
      return group <= DEFERRED;
    }

    /** Returns whether the job meets its objective if it starts by {@link #sortKeyMillis}. */
    boolean isInTime() {
      return group == IN_TIME;
    }

    /**
     * Returns the rank of a job that is deferred because of the jobs before it.
     *
     * @param position its position among the deferred jobs of its pool
     */
    Rank deferred(int position) {
      return new Rank(DEFERRED, position);
    }

    @Override
    public int compareTo(Rank other) {
      return group != other.group
          ? Integer.compare(group, other.group)
          : Double.compare(sortKeyMillis, other.sortKeyMillis);
    }
  }

  private final DurationModel durationModel;

  JobOrder(DurationModel durationModel) {
    this.durationModel = durationModel;
  }

  /**
   * Returns the rank of a job.
   *
   * <p>The objective of a job is a duration since its acceptance or due time: the expected duration
   * of its longest chain of steps times the slack factor of its queue, plus the target latency of
   * the queue. Steps that have run count with their actual durations.
   *
   * @param nowMillis the present time, monotonic ms
   * @param wallMillis the present time, wall-clock ms
   */
  Rank rankOf(Job job, QueueConfig queue, long nowMillis, long wallMillis) {
    if (job.isLongRunning) {
      return new Rank(LONG_RUNNING, job.spec.acceptedMillis());
    }
    if (job.isExcess) {
      return new Rank(EXCESS, job.spec.acceptedMillis());
    }
    JobDurations durations = JobDurations.of(job, durationModel, nowMillis);
    double totalMillis = longestChainMillis(job.spec.steps(), durations::totalMillis);
    double remainingMillis = longestChainMillis(job.spec.steps(), durations::remainingMillis);
    double objectiveMillis = queue.slackFactor() * totalMillis + queue.targetLatencyMillis();
    double objectiveStartMillis =
        job.spec.scheduled() ? job.spec.firstDueMillis() : job.spec.acceptedMillis();
    double expectedFinishMillis = wallMillis + remainingMillis;
    if (expectedFinishMillis <= objectiveStartMillis + objectiveMillis) {
      return new Rank(IN_TIME, objectiveStartMillis + objectiveMillis - remainingMillis);
    }
    if (expectedFinishMillis <= objectiveStartMillis + TOO_LATE_FACTOR * objectiveMillis) {
      return new Rank(
          LATE, objectiveStartMillis + TOO_LATE_FACTOR * objectiveMillis - remainingMillis);
    }
    return new Rank(TOO_LATE, objectiveStartMillis);
  }

  /** Returns the duration of the longest chain of dependent steps, in ms. */
  private static double longestChainMillis(
      ImmutableList<StepSpec> steps, IntToDoubleFunction stepMillis) {
    double[] endMillis = new double[steps.size()];
    double longestMillis = 0;
    for (int stepNumber = 0; stepNumber < steps.size(); stepNumber++) {
      double startMillis = 0;
      for (int earlierStep : steps.get(stepNumber).after()) {
        startMillis = Math.max(startMillis, endMillis[earlierStep]);
      }
      endMillis[stepNumber] = startMillis + stepMillis.applyAsDouble(stepNumber);
      longestMillis = Math.max(longestMillis, endMillis[stepNumber]);
    }
    return longestMillis;
  }
}
