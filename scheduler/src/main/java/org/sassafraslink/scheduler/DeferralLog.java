package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.queue.DeferralReason;
import org.sassafraslink.scheduler.queue.WaitingJob;

/** Writes at most one line a second for each pool that defers jobs, with their number by cause. */
final class DeferralLog {
  private static final long INTERVAL_MILLIS = 1_000;

  private final EventLog log;
  private final Map<String, Long> nextLogMillisByPool = new HashMap<>();

  DeferralLog(EventLog log) {
    this.log = log;
  }

  /**
   * Writes the line of a pool if a second has passed since the last one.
   *
   * @param jobs the jobs of the pool that could be in time
   * @param reasons why jobs are deferred, by id
   */
  void writeIfDue(
      String pool,
      List<WaitingJob> jobs,
      ImmutableMap<String, DeferralReason> reasons,
      long nowMillis) {
    if (nowMillis < nextLogMillisByPool.getOrDefault(pool, 0L)) {
      return;
    }
    nextLogMillisByPool.put(pool, nowMillis + INTERVAL_MILLIS);
    Map<String, Integer> counts = new TreeMap<>();
    for (WaitingJob job : jobs) {
      DeferralReason reason = reasons.get(job.id());
      if (reason != null) {
        counts.merge(job.queue() + "/" + job.priority() + "/" + reason, 1, Integer::sum);
      }
    }
    StringJoiner byCause = new StringJoiner(" ");
    counts.forEach((cause, count) -> byCause.add(cause + ":" + count));
    log.log(
        "jobs.deferred",
        "pool",
        pool,
        "inTime",
        jobs.size() - reasons.size(),
        "deferred",
        reasons.size(),
        "byQueuePriorityReason",
        byCause);
  }
}
