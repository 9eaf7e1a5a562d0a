package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Transaction;

/**
 * Writes to the operator's status table whether each wave is running or completed.
 *
 * <p>The status table is in another partition than the scheduling lease, so these writes cannot
 * check the lease. A write by an earlier holder does no harm: a wave is reported as completed only
 * after each of its VMs has been taken down, by whichever scheduler.
 */
final class WaveStatusWriter {
  /** Delay between a response and the next write, in ms. */
  private static final long WRITE_INTERVAL_MILLIS = 300;

  private final RowStore store;
  private final FleetClock clock;
  private final SchedulerLease lease;
  private final RowFormats formats;

  /** Whether each wave whose status must be written is completed, by the number of the wave. */
  private final Map<Long, Boolean> completedByUnwrittenWave = new LinkedHashMap<>();

  private boolean writePending;
  private long nextWriteMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  WaveStatusWriter(RowStore store, FleetClock clock, SchedulerLease lease, RowFormats formats) {
    this.store = store;
    this.clock = clock;
    this.lease = lease;
    this.formats = formats;
  }

  void reset() {
    generation++;
    completedByUnwrittenWave.clear();
    writePending = false;
  }

  /** Schedules the write of a wave's status. */
  void requestWrite(long wave, boolean completed) {
    completedByUnwrittenWave.put(wave, completed);
  }

  /**
   * Writes the status of one wave if no write is pending and the delay after the last has passed.
   */
  void writeIfDue(long nowMillis) {
    if (writePending
        || completedByUnwrittenWave.isEmpty()
        || nowMillis < nextWriteMillis
        || !lease.isValid()) {
      return;
    }
    long wave = completedByUnwrittenWave.keySet().iterator().next();
    boolean completed = completedByUnwrittenWave.get(wave);
    writePending = true;
    long sentGeneration = generation;
    Transaction transaction =
        new Transaction(
            ImmutableList.of(),
            ImmutableList.of(formats.encodeWaveStatus(wave, completed)),
            ImmutableList.of());
    store.commit(
        transaction,
        outcome -> {
          if (generation == sentGeneration) {
            writePending = false;
            nextWriteMillis = clock.monotonicMillis() + WRITE_INTERVAL_MILLIS;
            if (outcome instanceof Outcome.Committed) {
              completedByUnwrittenWave.remove(wave, completed);
            }
          }
        });
  }
}
