package org.sassafraslink.scheduler.queue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * What waits for a pool and what runs there, at one moment.
 *
 * @param jobs the jobs that wait for room and can still be in time, by latest start
 * @param runningMillisByTeam the work that remains of running tasks, as time of the whole pool, in
 *     ms
 * @param weightByTeam the weights of the teams of the jobs and of the running tasks
 * @param serviceLevels how many recent jobs started in time
 */
public record PoolLoad(
    ImmutableList<WaitingJob> jobs,
    ImmutableMap<String, Double> runningMillisByTeam,
    ImmutableMap<String, Double> weightByTeam,
    ServiceLevels serviceLevels) {

  /** Returns the work that remains of all running tasks. */
  double runningMillis() {
    return runningMillisByTeam.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
