package org.sassafraslink.scheduler;

import java.util.List;
import org.sassafraslink.scheduler.incarnation.SilentWorkers;
import org.sassafraslink.scheduler.incarnation.SilentWorkers.SilentWorker;

/**
 * Counts, once a second, the workers with tasks that are waited for because they are silent.
 *
 * <p>All methods must be called on the scheduler's thread, except {@link #lastSecond}.
 */
final class SilentWorkerWatch {
  private static final long INTERVAL_MILLIS = 1_000;

  private final WorkerRegistry workers;

  private volatile SilentWorkers lastSecond = SilentWorkers.NONE;

  private long nextCountMillis;

  SilentWorkerWatch(WorkerRegistry workers) {
    this.workers = workers;
  }

  /** Discards all state, because this process has acquired or lost the scheduling lease. */
  void reset() {
    lastSecond = SilentWorkers.NONE;
    nextCountMillis = 0;
  }

  /** Returns the result of the last count. May be called on any thread. */
  SilentWorkers lastSecond() {
    return lastSecond;
  }

  /** Counts if a second has passed since the last count. */
  void countIfDue(long nowMillis) {
    if (nowMillis >= nextCountMillis) {
      nextCountMillis = nowMillis + INTERVAL_MILLIS;
      lastSecond = count(nowMillis);
    }
  }

  /** Returns the workers that are waited for now. */
  SilentWorkers count(long nowMillis) {
    List<SilentWorker> silent =
        workers.all().stream()
            .filter(worker -> !worker.isEmpty() && worker.isSilentOrUnreported())
            .map(
                worker ->
                    new SilentWorker(
                        workers.unknownLeasesOf(worker), worker.lease().latestExpiryMillis()))
            .toList();
    return SilentWorkers.of(silent, nowMillis);
  }
}
