package org.sassafraslink.scheduler;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.Transaction;

/** Writes how many jobs of each queue are pending to one row that all entry VMs read. */
public final class PendingJobCounts {
  /** Interval between two writes, in ms; the counts that callers see may be up to 2 s old. */
  private static final long WRITE_INTERVAL_MILLIS = 1_000;

  /**
   * How long after a takeover the first reports of workers are waited for, in ms. A worker that is
   * reachable responds in a fraction of it.
   */
  private static final long MAX_REPORT_WAIT_MILLIS = 300;

  private static final RowKey KEY = new RowKey("counts", JobRows.MAIN_PARTITION, "pending");

  private final RowStore store;
  private final SchedulerLease lease;
  private String lastCommittedValue = "";
  private long nextWriteMillis;
  private boolean commitPending;

  /** When the first counts after a takeover are written at the latest, monotonic ms. */
  private long latestFirstWriteMillis;

  /** Incremented by each reset; outcomes of transactions sent before it are ignored. */
  private long generation;

  PendingJobCounts(RowStore store, SchedulerLease lease) {
    this.store = store;
    this.lease = lease;
  }

  /** Returns the key of the row that holds the counts. */
  public static RowKey key() {
    return KEY;
  }

  /**
   * Returns the count of a queue from the value of the row with {@link #key}, or 0 if it has none.
   *
   * @throws IllegalStateException if the value is not valid JSON
   */
  public static long count(String value, String queue) {
    try {
      return new ObjectMapper().readTree(value).path(queue).asLong();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the row of pending job counts is not valid JSON", e);
    }
  }

  void reset() {
    generation++;
    lastCommittedValue = "";
    commitPending = false;
  }

  /** Delays the first counts until the workers have reported which of the jobs they run. */
  void onJobsRestored(long nowMillis) {
    latestFirstWriteMillis = nowMillis + MAX_REPORT_WAIT_MILLIS;
  }

  /** Writes the counts of {@code jobs} if a write is due and they have changed. */
  void writeIfDue(Collection<Job> jobs, long nowMillis) {
    if (nowMillis < latestFirstWriteMillis && jobs.stream().anyMatch(Job::hasUncheckedStart)) {
      return;
    }
    latestFirstWriteMillis = Long.MIN_VALUE;
    if (commitPending || nowMillis < nextWriteMillis || !lease.isValid()) {
      return;
    }
    nextWriteMillis = nowMillis + WRITE_INTERVAL_MILLIS;
    String value = encode(jobs);
    if (value.equals(lastCommittedValue)) {
      return;
    }
    commitPending = true;
    long sentGeneration = generation;
    Transaction transaction =
        new Transaction(
            ImmutableList.of(lease.holderExpectation()),
            ImmutableList.of(new Put(KEY, value)),
            ImmutableList.of());
    store.commit(
        transaction,
        outcome -> {
          if (generation == sentGeneration) {
            commitPending = false;
            if (outcome instanceof RowStore.Outcome.Committed) {
              lastCommittedValue = value;
            }
          }
        });
  }

  /**
   * Returns how many jobs of each queue are pending. A job is pending until a worker is known to
   * have accepted the start of one of its tasks: an assignment alone may still be withdrawn, and a
   * start that an earlier scheduler may have sent to a worker that does not respond may have had no
   * effect.
   */
  static Map<String, Long> countByQueue(Collection<Job> jobs) {
    Map<String, Long> counts = new TreeMap<>();
    for (Job job : jobs) {
      if (!job.startAccepted && !job.state.isFinal() && !job.cancelRequested) {
        counts.merge(job.spec.queue(), 1L, Long::sum);
      }
    }
    return counts;
  }

  private static String encode(Collection<Job> jobs) {
    ObjectNode countByQueue = JsonNodeFactory.instance.objectNode();
    countByQueue(jobs).forEach(countByQueue::put);
    return countByQueue.toString();
  }
}
