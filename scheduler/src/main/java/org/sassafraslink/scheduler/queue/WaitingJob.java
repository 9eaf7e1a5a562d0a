package org.sassafraslink.scheduler.queue;

/**
 * A job that waits for room in a pool and can still meet its objective.
 *
 * @param priority the priority of its queue; 0 is the highest
 * @param acceptedMillis when it was accepted or due, wall-clock ms
 * @param latestStartMillis the latest start with which it meets its objective, wall-clock ms
 * @param workMillis the work that remains, as time of the whole pool, in ms
 * @param started whether one of its tasks has been assigned to a worker, so that deferring it would
 *     waste work
 */
public record WaitingJob(
    String id,
    String queue,
    String team,
    int priority,
    SizeClass size,
    long acceptedMillis,
    double latestStartMillis,
    double workMillis,
    boolean started) {

  /**
   * Returns the loss per unit of work if the job is deferred. Each job is one caller, so the loss
   * is the same for all, but it doubles as the job ages: a job that has waited goes before an equal
   * one that has just arrived.
   */
  double lossPerWork(long nowWallMillis) {
    double slackMillis = Math.max(1, latestStartMillis - acceptedMillis);
    double age = Math.min(1, Math.max(0, (nowWallMillis - acceptedMillis) / slackMillis));
    return (1 + age) / Math.max(Double.MIN_NORMAL, workMillis);
  }
}
