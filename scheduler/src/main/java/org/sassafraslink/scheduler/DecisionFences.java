package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;

/**
 * Writes the fences of the decision partitions: rows that name the only scheduler whose
 * transactions may change the partition.
 *
 * <p>A transaction spans one partition, so those on a decision partition cannot check the holder
 * row of the lease. Instead, each partition has a fence row with the epoch of the lease and the
 * process that holds it, and the scheduler's transactions expect this row's version. A new holder
 * replaces all fences before it reads the rows of jobs. From then on, no transaction of an earlier
 * holder takes effect, also if the store applies it late; all that took effect before are read.
 *
 * <p>A fence is replaced only if it has the version that was seen with a lower epoch. So a late
 * write of an earlier holder fails, and of two processes that both believe that they hold the
 * lease, the one with the higher epoch replaces the fences of the other one.
 */
final class DecisionFences {
  /** Delay before a failed write is repeated, in ms. */
  private static final long RETRY_DELAY_MILLIS = 100;

  /** The content of a fence row. */
  private record FenceValue(long epoch, String process) {
    String encode() {
      return epoch + " " + process;
    }

    /** Decodes a row; epoch 0, which is lower than any other, if it does not have the format. */
    static FenceValue decode(String value) {
      int separator = value.indexOf(' ');
      try {
        return new FenceValue(
            Long.parseLong(value.substring(0, Math.max(0, separator))),
            value.substring(separator + 1));
      } catch (NumberFormatException e) {
        return new FenceValue(0, "");
      }
    }
  }

  /** What this process knows about the fence of one partition. */
  private static final class Fence {
    private final RowKey key;

    /** The newest version of the row that this process has read or written. */
    private long version = RowStore.ABSENT;

    /** Whether the row with this version was written under the current lease. */
    private boolean written;

    private boolean commitPending;
    private long nextWriteMillis;

    Fence(RowKey key) {
      this.key = key;
    }
  }

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final String process;
  private final ImmutableMap<String, Fence> fenceByPartition;

  /** When the lease was acquired for which the fences are being written, monotonic ms. */
  private long startMillis;

  /** Incremented by each reset; outcomes of writes sent before it are ignored. */
  private long generation;

  DecisionFences(
      RowStore store, FleetClock clock, EventLog log, SchedulerLease lease, String process) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.process = process;
    this.fenceByPartition =
        JobRows.decisionPartitions().stream()
            .collect(
                ImmutableMap.toImmutableMap(
                    partition -> partition, partition -> new Fence(key(partition))));
  }

  /** Returns the key of the fence row of a partition. */
  static RowKey key(String partition) {
    return new RowKey("control", partition, "fence");
  }

  /**
   * Forgets which fences are written, since this process has acquired or lost the lease. The
   * versions are kept: a write that expects an outdated one fails and shows the current one.
   */
  void reset() {
    generation++;
    startMillis = clock.monotonicMillis();
    for (Fence fence : fenceByPartition.values()) {
      fence.written = false;
      fence.commitPending = false;
      fence.nextWriteMillis = 0;
    }
  }

  /** Returns whether all fences are written under the current lease. */
  boolean areWritten() {
    return fenceByPartition.values().stream().allMatch(fence -> fence.written);
  }

  /**
   * Returns the expectation that fails a transaction on a partition if another process has acquired
   * the lease and has begun to read the rows of jobs.
   */
  Expectation expectationFor(String partition) {
    if (partition.equals(JobRows.MAIN_PARTITION)) {
      return lease.holderExpectation();
    }
    Fence fence = fenceByPartition.get(partition);
    return new Expectation(fence.key, fence.version);
  }

  /** Writes the fences that are not written yet. */
  void writeIfDue(long nowMillis) {
    for (Fence fence : fenceByPartition.values()) {
      // Checked for each fence, since the outcome of a write may end the lease.
      if (!fence.written
          && !fence.commitPending
          && nowMillis >= fence.nextWriteMillis
          && lease.isValid()) {
        write(fence);
      }
    }
  }

  private void write(Fence fence) {
    FenceValue ours = new FenceValue(lease.epoch(), process);
    fence.commitPending = true;
    long sentGeneration = generation;
    store.commit(
        new Transaction(
            ImmutableList.of(new Expectation(fence.key, fence.version)),
            ImmutableList.of(new Put(fence.key, ours.encode())),
            ImmutableList.of()),
        outcome -> {
          if (generation == sentGeneration) {
            fence.commitPending = false;
            applyOutcome(fence, ours, outcome);
          }
        });
  }

  private void applyOutcome(Fence fence, FenceValue ours, Outcome outcome) {
    if (outcome instanceof Outcome.Committed committed) {
      setWritten(fence, committed.version());
    } else if (outcome instanceof Outcome.Conflict conflict) {
      applyConflict(fence, ours, conflict);
    } else {
      fence.nextWriteMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      log.log("fence.write_failed", "partition", fence.key.partition(), "outcome", outcome);
    }
  }

  private void applyConflict(Fence fence, FenceValue ours, Outcome.Conflict conflict) {
    Optional<StoredRow> stored =
        conflict.current().stream()
            .filter(row -> row.key().equals(fence.key) && !row.deleted())
            .filter(row -> row.version() != RowStore.ABSENT)
            .findFirst();
    if (stored.isEmpty()) {
      fence.version = RowStore.ABSENT;
      return;
    }
    FenceValue storedValue = FenceValue.decode(stored.get().value());
    if (storedValue.equals(ours)) {
      // The response to an earlier write was lost.
      setWritten(fence, stored.get().version());
    } else if (storedValue.epoch() < ours.epoch()) {
      fence.version = stored.get().version();
    } else {
      log.log(
          "fence.superseded",
          "partition",
          fence.key.partition(),
          "epoch",
          ours.epoch(),
          "stored",
          storedValue.epoch());
      lease.onFenced();
    }
  }

  private void setWritten(Fence fence, long version) {
    fence.version = version;
    fence.written = true;
    if (areWritten()) {
      log.log(
          "fences.written",
          "epoch",
          lease.epoch(),
          "millis",
          clock.monotonicMillis() - startMillis);
    }
  }
}
