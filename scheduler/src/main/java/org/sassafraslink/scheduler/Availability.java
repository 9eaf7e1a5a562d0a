package org.sassafraslink.scheduler;

/**
 * Decides whether planned work may take a lasting task from its worker.
 *
 * <p>A task counts as away from the moment it is not at work or its worker is silent, which is
 * stricter than the bound that submitters state; a step that states none may miss one task at a
 * time.
 */
final class Availability {
  private Availability() {}

  /**
   * From when on a new scheduler may stop lasting tasks, monotonic ms.
   *
   * <p>A task that its predecessor has just told to stop is still listed as at work until it has
   * stopped, and what a worker has told is relied on for a while.
   */
  static long stopsFromMillis(long activeMillis, long stopMillis) {
    return activeMillis + stopMillis + Worker.HEARD_MILLIS;
  }

  /** Whether {@code task}, which runs, may be stopped now. */
  static boolean allowsStop(Task task, long nowMillis) {
    if (!task.worker.isHeardOf(nowMillis)) {
      // What is known of the task is too old to decide on.
      return false;
    }
    if (!task.isAtWork(nowMillis)) {
      // It is away already, so that stopping it takes nothing from its step.
      return true;
    }
    int allowed = Math.max(1, task.step.maxUnavailable());
    int away = 0;
    for (Task other : task.job.occurrences().get(task.id.occurrence()).get(task.id.step())) {
      if (other != task && !other.isAtWork(nowMillis)) {
        away++;
      }
    }
    return away < allowed;
  }
}
