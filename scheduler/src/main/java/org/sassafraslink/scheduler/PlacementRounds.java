package org.sassafraslink.scheduler;

import java.util.Set;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.JobState;

/** Decides when to run a placement round, and queues the changed jobs to be committed. */
final class PlacementRounds {
  /** Shortest time between two rounds, in ms, so that simultaneous events share one round. */
  private static final long MIN_INTERVAL_MILLIS = 5;

  /** Longest time between two rounds, in ms. */
  private static final long MAX_INTERVAL_MILLIS = 100;

  private final FleetClock clock;
  private final JobRegistry jobs;
  private final Placement placement;
  private final JobProgressWriter progressWriter;
  private final SchedulerLoad load;
  private long lastRoundMillis;

  PlacementRounds(
      FleetClock clock,
      JobRegistry jobs,
      Placement placement,
      JobProgressWriter progressWriter,
      SchedulerLoad load) {
    this.clock = clock;
    this.jobs = jobs;
    this.placement = placement;
    this.progressWriter = progressWriter;
    this.load = load;
  }

  /** Runs a placement round if one is due. */
  void placeIfDue(long nowMillis) {
    long sinceLastRoundMillis = nowMillis - lastRoundMillis;
    boolean isDue = sinceLastRoundMillis >= MIN_INTERVAL_MILLIS && jobs.consumePlacementRequest();
    if (isDue || sinceLastRoundMillis >= MAX_INTERVAL_MILLIS) {
      lastRoundMillis = nowMillis;
      long startMillis = clock.monotonicMillis();
      Set<Job> changedJobs = placement.placeWaitingTasks(jobs.all(), nowMillis, clock.wallMillis());
      long endMillis = clock.monotonicMillis();
      load.recordRound(endMillis - startMillis);
      changedJobs.forEach(job -> queueCommit(job, endMillis));
    }
  }

  /** Queues the assignments of a job for the next commit, after which the starts are sent. */
  private void queueCommit(Job job, long assignedMillis) {
    if (job.state == JobState.QUEUED) {
      job.state = JobState.RUNNING;
    }
    progressWriter.recordChange(job, true);
    job.forEachTask(
        task -> {
          if (task.phase == TaskPhase.ASSIGNED && task.startAfterChange <= 0) {
            task.startAfterChange = job.lastChange;
            task.assignedMillis = assignedMillis;
          }
        });
  }
}
