package org.sassafraslink.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.capacity.PoolShares;

/** Logs, at most once a second per pool, how many workers cannot be moved to it, by reason. */
final class PoolShortageLog {
  private static final long INTERVAL_MILLIS = 1_000;

  private final EventLog log;
  private final MovableVms movableVms;
  private final PoolNeeds poolNeeds;
  private final Map<String, Long> nextLogMillisByPool = new HashMap<>();

  PoolShortageLog(EventLog log, MovableVms movableVms, PoolNeeds poolNeeds) {
    this.log = log;
    this.movableVms = movableVms;
    this.poolNeeds = poolNeeds;
  }

  /** Logs that a pool lacks VMs, unless that was logged a short time ago. */
  void logShortage(
      PoolShares.Shortage shortage, Collection<Worker> workers, Backlog backlog, long nowMillis) {
    String pool = shortage.pool();
    if (nowMillis < nextLogMillisByPool.getOrDefault(pool, 0L)) {
      return;
    }
    nextLogMillisByPool.put(pool, nowMillis + INTERVAL_MILLIS);
    Map<String, Long> workersByReason =
        workers.stream()
            .filter(worker -> !worker.entry.pool().equals(pool))
            .collect(
                Collectors.groupingBy(
                    worker -> movableVms.reasonNotMoved(worker, pool, backlog, nowMillis),
                    TreeMap::new,
                    Collectors.counting()));
    log.log(
        "pool.short",
        "pool",
        pool,
        "missing",
        shortage.missing(),
        "share",
        Math.round(poolNeeds.shares().vmsOf(pool)),
        "others",
        workersByReason);
  }
}
