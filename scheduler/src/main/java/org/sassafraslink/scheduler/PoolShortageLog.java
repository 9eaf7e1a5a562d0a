package org.sassafraslink.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sassafraslink.api.log.EventLog;

/** Logs, at most once a second per pool, how many workers cannot be moved to it, by reason. */
final class PoolShortageLog {
  private static final long INTERVAL_MILLIS = 1_000;

  private final EventLog log;
  private final MovableVms movableVms;
  private final Map<String, Long> nextLogMillisByPool = new HashMap<>();

  PoolShortageLog(EventLog log, MovableVms movableVms) {
    this.log = log;
    this.movableVms = movableVms;
  }

  /** Logs that a pool lacks {@code missing} VMs, unless that was logged a short time ago. */
  void logShortage(
      String pool, long missing, Collection<Worker> workers, Backlog backlog, long nowMillis) {
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
    log.log("pool.short", "pool", pool, "missing", missing, "others", workersByReason);
  }
}
