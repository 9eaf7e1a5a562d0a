package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.sassafraslink.scheduler.queue.SizeClass;

/** Classifies jobs by their work among the recent jobs of their queue. */
final class JobSizes {
  private static final int RECENT_JOBS = 200;

  /** The number of jobs of a queue from which on they are classified. */
  private static final int MIN_JOBS = 20;

  private static final double LARGE_QUANTILE = 0.7;
  private static final double LARGEST_QUANTILE = 0.9;

  /** The works of the recent jobs of a queue. */
  private static final class RecentWork {
    private final double[] works = new double[RECENT_JOBS];
    private int count;

    void add(double work) {
      works[count % RECENT_JOBS] = work;
      count++;
    }

    /** Returns the fraction of the recent jobs that need less work. */
    double fractionBelow(double work) {
      int size = Math.min(count, RECENT_JOBS);
      int below = 0;
      for (int i = 0; i < size; i++) {
        below += works[i] < work ? 1 : 0;
      }
      return (double) below / size;
    }
  }

  private final Map<String, RecentWork> recentByQueue = new HashMap<>();

  /** Returns the size of a new job, and counts it among the recent jobs of its queue. */
  SizeClass classify(String queue, double work) {
    RecentWork recent = recentByQueue.computeIfAbsent(queue, name -> new RecentWork());
    recent.add(work);
    if (recent.count < MIN_JOBS) {
      return SizeClass.ORDINARY;
    }
    double fractionBelow = recent.fractionBelow(work);
    if (fractionBelow >= LARGEST_QUANTILE) {
      return SizeClass.LARGEST;
    }
    return fractionBelow >= LARGE_QUANTILE ? SizeClass.LARGE : SizeClass.ORDINARY;
  }
}
