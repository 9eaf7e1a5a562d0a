package org.sassafraslink.scheduler.queue;

import com.google.common.collect.ImmutableMap;

/**
 * How many of the recent jobs of a pool have started in time, by queue and size and by priority.
 *
 * <p>Guarantees that large jobs and jobs of low priority are not the only ones deferred: a size
 * class of a queue starts at least {@link #MIN_SIZE_RATIO} as often as its queue, and a priority at
 * least {@link #MIN_PRIORITY_RATIO} as often as the pool's jobs.
 *
 * @param bySize the counts by queue and size class
 * @param byPriority the counts by priority
 */
public record ServiceLevels(
    ImmutableMap<SizeKey, Counts> bySize, ImmutableMap<Integer, Counts> byPriority) {
  public static final ServiceLevels NONE = new ServiceLevels(ImmutableMap.of(), ImmutableMap.of());

  /**
   * Callers are promised that large jobs are served half as often as all jobs of their queue. Some
   * jobs that start in time end late, mostly large ones, so more of them are started.
   */
  private static final double MIN_SIZE_RATIO = 0.75;

  private static final double MIN_PRIORITY_RATIO = 0.1;

  /** The jobs of a size in a queue. */
  public record SizeKey(String queue, SizeClass size) {}

  /**
   * Counts of jobs, in which older ones weigh less.
   *
   * @param arrived the jobs that have arrived and could be in time
   * @param started those of them that have started in time
   */
  public record Counts(double arrived, double started) {
    public static final Counts NONE = new Counts(0, 0);

    /** Returns the sum of this and {@code other}. */
    public Counts plus(Counts other) {
      return new Counts(arrived + other.arrived, started + other.started);
    }

    /** Returns the counts multiplied by {@code factor}. */
    public Counts times(double factor) {
      return new Counts(arrived * factor, started * factor);
    }

    /** Returns how many more starts this needs for {@code ratio} of the rate of {@code all}. */
    private int missingStarts(double ratio, Counts all) {
      double rate = all.arrived == 0 ? 0 : all.started / all.arrived;
      return (int) Math.max(0, Math.ceil(ratio * rate * arrived - started));
    }
  }

  /** Returns how many jobs of a size class must not be deferred for their size or team. */
  int guaranteedStartsOfSize(SizeKey key) {
    Counts queue = Counts.NONE;
    for (SizeClass size : SizeClass.values()) {
      queue = queue.plus(bySize.getOrDefault(new SizeKey(key.queue(), size), Counts.NONE));
    }
    return bySize.getOrDefault(key, Counts.NONE).missingStarts(MIN_SIZE_RATIO, queue);
  }

  /** Returns how many jobs of a priority must not be deferred for their priority. */
  int guaranteedStartsOfPriority(int priority) {
    Counts all = byPriority.values().stream().reduce(Counts.NONE, Counts::plus);
    return byPriority.getOrDefault(priority, Counts.NONE).missingStarts(MIN_PRIORITY_RATIO, all);
  }
}
