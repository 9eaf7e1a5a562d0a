package org.sassafraslink.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Measures the processor time that the current thread uses in the actions passed to it. */
final class ProcessorMeter {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private long totalNanos;
  private long longestNanos;
  private long runs;

  /** Runs an action and adds its processor time. */
  void run(Runnable action) {
    long startNanos = THREADS.getCurrentThreadCpuTime();
    action.run();
    long usedNanos = THREADS.getCurrentThreadCpuTime() - startNanos;
    totalNanos += usedNanos;
    longestNanos = Math.max(longestNanos, usedNanos);
    runs++;
  }

  void reset() {
    totalNanos = 0;
    longestNanos = 0;
    runs = 0;
  }

  long totalNanos() {
    return totalNanos;
  }

  long longestNanos() {
    return longestNanos;
  }

  long runs() {
    return runs;
  }
}
