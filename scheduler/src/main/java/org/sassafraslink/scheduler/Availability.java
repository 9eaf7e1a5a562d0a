package org.sassafraslink.scheduler;

/**
 * Decides whether planned work, such as maintenance of its VM, may stop a long-running task.
 *
 * <p>A step may have {@code StepSpec.maxUnavailable} of its tasks unavailable at a time; one if the
 * submitter has not set this bound. Here a task counts as unavailable as soon as it runs below full
 * speed or its worker has not responded recently, although the submitter's bound allows short
 * interruptions.
 */
final class Availability {
  /**
   * Time from the start of an attempt within which it usually reaches full speed, in ms. It may
   * have done so since the last report.
   */
  private static final long START_UP_MILLIS = 5_000;

  private Availability() {}

  /**
   * Returns the time from which a new scheduler may stop long-running tasks, monotonic ms.
   *
   * <p>A task that the previous scheduler has just stopped is reported as running until it has
   * ended, and a worker report is relied on for {@link Worker#REPORT_VALIDITY_MILLIS}.
   *
   * @param jobsRestoredMillis when this scheduler restored the jobs and began to schedule,
   *     monotonic ms
   * @param maxStopMillis how long a worker takes at most to stop a task
   */
  static long earliestStopMillis(long jobsRestoredMillis, long maxStopMillis) {
    return jobsRestoredMillis + maxStopMillis + Worker.REPORT_VALIDITY_MILLIS;
  }

  /** Returns whether {@code task}, which is running, may be stopped now. */
  static boolean allowsStop(Task task, long nowMillis) {
    if (!task.worker.hasRecentReport(nowMillis)) {
      // The last report on the task is too old for a decision.
      return false;
    }
    boolean isStartingUp = nowMillis - task.confirmedMillis < START_UP_MILLIS;
    if (!task.isAtFullSpeed(nowMillis) && !isStartingUp) {
      // The task is unavailable already, so stopping it makes no further one unavailable.
      return true;
    }
    int maxUnavailable = Math.max(1, task.step.maxUnavailable());
    int unavailable = 0;
    for (Task other : task.job.occurrences().get(task.id.occurrence()).get(task.id.step())) {
      if (other != task && !other.isAtFullSpeed(nowMillis)) {
        unavailable++;
      }
    }
    return unavailable < maxUnavailable;
  }
}
