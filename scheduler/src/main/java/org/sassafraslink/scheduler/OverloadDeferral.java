package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.queue.DeferralReason;
import org.sassafraslink.scheduler.queue.OverloadAdmission;
import org.sassafraslink.scheduler.queue.PoolLoad;
import org.sassafraslink.scheduler.queue.SizeClass;
import org.sassafraslink.scheduler.queue.WaitingJob;

/**
 * Defers jobs of pools that have too little room, as {@link OverloadAdmission} decides, and keeps
 * what that decision needs to know of earlier jobs. Nothing is deferred in the other pools.
 */
final class OverloadDeferral {
  /** A job that can be in time, and the latest start with which it is, in wall-clock ms. */
  record InTimeJob(Job job, QueueConfig queue, double latestStartMillis) {}

  private final PublishedConfig config;
  private final DurationModel durationModel;
  private final JobSizes sizes = new JobSizes();
  private final RecentStarts recentStarts = new RecentStarts();
  private final DeferralLog deferralLog;

  OverloadDeferral(PublishedConfig config, DurationModel durationModel, EventLog log) {
    this.config = config;
    this.durationModel = durationModel;
    this.deferralLog = new DeferralLog(log);
  }

  /**
   * Returns the ids of the jobs of a pool that are deferred, in the order in which they are placed.
   *
   * @param jobs the jobs of the pool that can be in time, by latest start
   * @param usableWorkers the workers of the pool that may get tasks
   * @param nowMillis the present time, monotonic ms
   * @param wallMillis the present time, wall-clock ms
   */
  ImmutableSet<String> deferredJobs(
      String pool,
      List<InTimeJob> jobs,
      Collection<Worker> usableWorkers,
      long nowMillis,
      long wallMillis) {
    DeadlineAdmission admission = DeadlineAdmission.forWorkers(durationModel, usableWorkers);
    boolean isAnyLate = false;
    for (InTimeJob job : jobs) {
      recordArrival(job.job(), job.queue(), nowMillis);
      isAnyLate |= !admission.admits(job.job(), job.latestStartMillis(), wallMillis);
    }
    if (!isAnyLate) {
      return ImmutableSet.of();
    }
    PoolLoad load = load(pool, jobs, admission, nowMillis, wallMillis);
    ImmutableMap<String, DeferralReason> reasons = OverloadAdmission.deferredJobs(load, wallMillis);
    deferralLog.writeIfDue(pool, load.jobs(), reasons, nowMillis);
    return reasons.keySet();
  }

  private PoolLoad load(
      String pool,
      List<InTimeJob> jobs,
      DeadlineAdmission admission,
      long nowMillis,
      long wallMillis) {
    ImmutableList.Builder<WaitingJob> waiting = ImmutableList.builder();
    ImmutableMap.Builder<String, Double> weights = ImmutableMap.builder();
    ImmutableMap<String, Double> runningMillisByTeam = admission.runningMillisByTeam();
    runningMillisByTeam.keySet().forEach(team -> weights.put(team, config.weightOf(team)));
    for (InTimeJob inTimeJob : jobs) {
      Job job = inTimeJob.job();
      String team = job.spec.team();
      weights.put(team, config.weightOf(team));
      waiting.add(
          new WaitingJob(
              job.spec.id(),
              inTimeJob.queue().name(),
              team,
              inTimeJob.queue().priority(),
              job.sizeClass.orElse(SizeClass.ORDINARY),
              job.spec.scheduled() ? job.spec.firstDueMillis() : job.spec.acceptedMillis(),
              inTimeJob.latestStartMillis(),
              admission.waitingWorkMillis(job, wallMillis),
              job.hasStarted()));
    }
    return new PoolLoad(
        waiting.build(),
        runningMillisByTeam,
        weights.buildKeepingLast(),
        recentStarts.levels(pool, nowMillis));
  }

  private void recordArrival(Job job, QueueConfig queue, long nowMillis) {
    if (job.sizeClass.isEmpty() && !job.hasStarted()) {
      SizeClass size = sizes.classify(queue.name(), coreMillis(job, queue.name()));
      job.sizeClass = Optional.of(size);
      recentStarts.recordArrival(queue, size, nowMillis);
    }
  }

  /** Records that a task of a job was assigned to a worker. */
  void recordStart(Job job, QueueConfig queue, long nowMillis) {
    if (!job.hasStarted() && job.justifiesMoreWorkers) {
      job.sizeClass.ifPresent(size -> recentStarts.recordStart(queue, size, nowMillis));
    }
  }

  /** Returns the processors of a job's tasks times their durations, in thousandths times ms. */
  private double coreMillis(Job job, String queue) {
    double sum = 0;
    for (StepSpec step : job.spec.steps()) {
      sum +=
          (double) step.count()
              * step.need().cpuMillis()
              * durationModel.expectedMillis(queue, step);
    }
    return sum;
  }
}
