package org.sassafraslink.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.log.EventLog;

/**
 * Writes one log line a second for each pool, with its workers and the work that waits for them.
 *
 * <p>The line tells a pool that lacks VMs from one whose waiting tasks get no worker for another
 * reason: their jobs are late or excess, or their team is at its limit.
 */
final class PoolStateLog {
  private static final long INTERVAL_MILLIS = 1_000;

  private static final double MILLIS_PER_CORE = 1_000;

  /** Calculates what a pool needs, as {@link PoolDemand#neededInTime} does. */
  @FunctionalInterface
  interface PoolNeed {
    Resources neededInTime(String pool, Backlog backlog, long nowMillis);
  }

  private final EventLog log;
  private final PublishedConfig config;
  private final Function<String, List<Worker>> listedInPool;
  private final PoolNeed poolNeed;
  private final ToLongFunction<String> countMovesTo;
  private long nextLogMillis;

  PoolStateLog(
      EventLog log,
      PublishedConfig config,
      Function<String, List<Worker>> listedInPool,
      PoolNeed poolNeed,
      ToLongFunction<String> countMovesTo) {
    this.log = log;
    this.config = config;
    this.listedInPool = listedInPool;
    this.poolNeed = poolNeed;
    this.countMovesTo = countMovesTo;
  }

  /** The jobs of a pool that have not begun, and its tasks that could start, by why they wait. */
  private static final class WaitingWork {
    private static final WaitingWork NONE = new WaitingWork();

    private int jobsNotBegun;
    private int tasks;
    private int lateTasks;
    private int tasksAtTeamLimit;

    void add(Task task, Resources teamLimit) {
      if (!task.job.teamUsage.admits(task.teamResources(), teamLimit)) {
        tasksAtTeamLimit++;
      } else if (SurplusWorkers.justifiesVm(task)) {
        tasks++;
      } else {
        lateTasks++;
      }
    }
  }

  /** Writes the lines if a second has passed since the last ones. */
  void writeIfDue(Collection<Job> jobs, Backlog backlog, long nowMillis, long wallMillis) {
    if (nowMillis < nextLogMillis || !config.hasSettings()) {
      return;
    }
    nextLogMillis = nowMillis + INTERVAL_MILLIS;
    Map<String, WaitingWork> waitingByPool = countWaitingWork(jobs, nowMillis, wallMillis);
    for (String pool : config.settings().map(FleetSettings::pools).orElseThrow().keySet()) {
      WaitingWork waiting = waitingByPool.getOrDefault(pool, WaitingWork.NONE);
      writeLine(pool, waiting, poolNeed.neededInTime(pool, backlog, nowMillis));
    }
  }

  private Map<String, WaitingWork> countWaitingWork(
      Collection<Job> jobs, long nowMillis, long wallMillis) {
    Map<String, WaitingWork> waitingByPool = new HashMap<>();
    for (Job job : jobs) {
      if (job.state.isFinal() || job.cancelRequested) {
        continue;
      }
      QueueConfig queue = config.queueOf(job.spec);
      WaitingWork waiting = waitingByPool.computeIfAbsent(queue.pool(), pool -> new WaitingWork());
      if (!job.hasStarted()) {
        waiting.jobsNotBegun++;
      }
      Resources teamLimit = config.upperLimitOf(job.spec.team());
      job.startableTasks(nowMillis, wallMillis).forEach(task -> waiting.add(task, teamLimit));
    }
    return waitingByPool;
  }

  private void writeLine(String pool, WaitingWork waiting, Resources needed) {
    List<Worker> poolWorkers = listedInPool.apply(pool);
    long uncordoned = 0;
    long evacuated = 0;
    long empty = 0;
    long surplus = 0;
    Resources capacity = Resources.NONE;
    Resources free = Resources.NONE;
    for (Worker worker : poolWorkers) {
      uncordoned += worker.isOpenForTasks() ? 1 : 0;
      evacuated += worker.zoneEvacuated ? 1 : 0;
      empty += worker.isEmpty() ? 1 : 0;
      surplus += worker.isSurplus ? 1 : 0;
      capacity = capacity.plus(worker.entry.capacity());
      free = free.plus(worker.freeResources());
    }
    log.log(
        "pool.state",
        "pool",
        pool,
        "workers",
        poolWorkers.size(),
        "uncordoned",
        uncordoned,
        "empty",
        empty,
        "movesTo",
        countMovesTo.applyAsLong(pool),
        "capacityCores",
        cores(capacity),
        "reservedCores",
        cores(capacity.minus(free)),
        "neededCores",
        cores(needed),
        "waiting",
        waiting.tasks,
        "waitingLate",
        waiting.lateTasks,
        "waitingAtLimit",
        waiting.tasksAtTeamLimit,
        "jobsNotBegun",
        waiting.jobsNotBegun,
        "evacuated",
        evacuated,
        "surplus",
        surplus);
  }

  private static double cores(Resources resources) {
    return resources.cpuMillis() / MILLIS_PER_CORE;
  }
}
