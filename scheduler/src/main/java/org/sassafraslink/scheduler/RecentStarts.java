package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.scheduler.queue.ServiceLevels;
import org.sassafraslink.scheduler.queue.ServiceLevels.Counts;
import org.sassafraslink.scheduler.queue.ServiceLevels.SizeKey;
import org.sassafraslink.scheduler.queue.SizeClass;

/**
 * Counts, by pool, the recent jobs that arrived and those that started in time. The counts are in
 * memory only: a new scheduler begins without any.
 */
final class RecentStarts {
  /** The time in which the weight of a job falls to 1/e, in ms. */
  private static final double TIME_CONSTANT_MILLIS = 2_000;

  private static final Counts ARRIVAL = new Counts(1, 0);
  private static final Counts START = new Counts(0, 1);

  /** The counts of a pool, as of one moment. */
  private static final class PoolCounts {
    private final Map<SizeKey, Counts> bySize = new HashMap<>();
    private final Map<Integer, Counts> byPriority = new HashMap<>();
    private long asOfMillis;

    void advanceTo(long nowMillis) {
      double factor = Math.exp((asOfMillis - nowMillis) / TIME_CONSTANT_MILLIS);
      bySize.replaceAll((key, counts) -> counts.times(factor));
      byPriority.replaceAll((priority, counts) -> counts.times(factor));
      asOfMillis = nowMillis;
    }
  }

  private final Map<String, PoolCounts> countsByPool = new HashMap<>();

  void recordArrival(QueueConfig queue, SizeClass size, long nowMillis) {
    add(queue, size, ARRIVAL, nowMillis);
  }

  void recordStart(QueueConfig queue, SizeClass size, long nowMillis) {
    add(queue, size, START, nowMillis);
  }

  /** Returns the counts of a pool. */
  ServiceLevels levels(String pool, long nowMillis) {
    PoolCounts counts = countsAt(pool, nowMillis);
    return new ServiceLevels(
        ImmutableMap.copyOf(counts.bySize), ImmutableMap.copyOf(counts.byPriority));
  }

  private void add(QueueConfig queue, SizeClass size, Counts added, long nowMillis) {
    PoolCounts counts = countsAt(queue.pool(), nowMillis);
    counts.bySize.merge(new SizeKey(queue.name(), size), added, Counts::plus);
    counts.byPriority.merge(queue.priority(), added, Counts::plus);
  }

  private PoolCounts countsAt(String pool, long nowMillis) {
    PoolCounts counts = countsByPool.computeIfAbsent(pool, name -> new PoolCounts());
    if (nowMillis > counts.asOfMillis) {
      counts.advanceTo(nowMillis);
    }
    return counts;
  }
}
