package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Replaces and deletes the rows of finished jobs.
 *
 * <p>First the submission is replaced by a short {@link Kind#ENDED} row that holds only the final
 * state, so that the next scheduler doesn't read the whole submission. After the retention time the
 * {@link Kind#FINAL} row is deleted, and then the ended row. At no time is the submission a job's
 * only row, because a scheduler would then run the job again.
 */
final class FinishedJobCleaner {
  /**
   * Jobs whose rows are replaced or deleted in one transaction. A job needs up to three entries of
   * the 100 that the platform allows.
   */
  private static final int MAX_JOBS_PER_TRANSACTION = 30;

  /** How long a submission waits for others to share a transaction that replaces them, in ms. */
  private static final long MAX_BATCHING_DELAY_MILLIS = 3_000;

  /** Interval between two checks for rows to replace or delete, in ms. */
  private static final long CHECK_INTERVAL_MILLIS = 250;

  /**
   * The final state is kept longer than the configured minimum by this factor, since clocks differ
   * and a submitter may repeat a submission, which is detected only while a row of the job is
   * stored.
   */
  private static final double RETENTION_FACTOR = 1.5;

  /**
   * The shortest retention, in ms. Entry VMs insert a submission for up to 120 s, as long as its
   * caller waits, and the store may apply an insert seconds after it was sent.
   */
  private static final long MIN_RETENTION_MILLIS = 150_000;

  /** A finished job, and which of its rows are still stored. */
  private static final class FinishedJob {
    private final String jobId;
    private final JobState state;
    private final String decisionPartition;
    private final long addedMillis;

    /** The version of the ended row; {@link RowStore#ABSENT} before it is committed. */
    private long endedRowVersion;

    /** Whether the {@link Kind#FINAL} row may still be stored. */
    private boolean hasFinalRow = true;

    FinishedJob(String jobId, JobState state, String decisionPartition, long addedMillis) {
      this.jobId = jobId;
      this.state = state;
      this.decisionPartition = decisionPartition;
      this.addedMillis = addedMillis;
    }
  }

  private final RowStore store;
  private final FleetClock clock;
  private final SchedulerLease lease;
  private final DecisionFences fences;
  private final long retentionMillis;

  /** The finished jobs by id, in the order in which they were added. */
  private final Map<String, FinishedJob> finishedJobs = new LinkedHashMap<>();

  /** The jobs whose submission is not replaced yet, by the partition of the submission. */
  private final Map<String, List<FinishedJob>> awaitingReplacement = new HashMap<>();

  /** The partitions that a pending transaction changes; each has at most one at a time. */
  private final Set<String> busyPartitions = new HashSet<>();

  private long nextCheckMillis;

  /** Incremented by each reset; outcomes of transactions sent before it are ignored. */
  private long generation;

  FinishedJobCleaner(
      RowStore store,
      FleetClock clock,
      SchedulerLease lease,
      DecisionFences fences,
      long minRetentionMillis) {
    this.store = store;
    this.clock = clock;
    this.lease = lease;
    this.fences = fences;
    this.retentionMillis =
        Math.max(MIN_RETENTION_MILLIS, (long) (minRetentionMillis * RETENTION_FACTOR));
  }

  void reset() {
    generation++;
    finishedJobs.clear();
    awaitingReplacement.clear();
    busyPartitions.clear();
  }

  /**
   * Adds a finished job, unless it was added before.
   *
   * @param decisionPartition the partition that holds its {@link Kind#FINAL} row
   * @param endedRow the row that has replaced its submission; empty if none has yet
   */
  void add(String jobId, JobState state, String decisionPartition, Optional<StoredRow> endedRow) {
    FinishedJob finished =
        new FinishedJob(jobId, state, decisionPartition, clock.monotonicMillis());
    if (finishedJobs.putIfAbsent(jobId, finished) != null) {
      return;
    }
    if (endedRow.isPresent()) {
      finished.endedRowVersion = endedRow.get().version();
    } else {
      awaitingReplacement
          .computeIfAbsent(JobRows.submissionPartition(jobId), partition -> new ArrayList<>())
          .add(finished);
    }
  }

  /**
   * Adds an id that was cancelled before a job with it was stored, unless it was added before. The
   * id replaces that of an earlier job or cancelling whose rows have been deleted.
   *
   * @param cancelledId see {@link JobRows#isCancelledId}
   */
  void addCancelledId(String jobId, StoredRow cancelledId) {
    FinishedJob earlier = finishedJobs.get(jobId);
    if (earlier != null && cancelledId.version() <= earlier.endedRowVersion) {
      return;
    }
    FinishedJob finished =
        new FinishedJob(
            jobId, JobState.CANCELLED, JobRows.decisionPartition(jobId), clock.monotonicMillis());
    finished.endedRowVersion = cancelledId.version();
    finished.hasFinalRow = false;
    // The entries are in the order of their additions.
    finishedJobs.remove(jobId);
    finishedJobs.put(jobId, finished);
  }

  /** Returns whether a job has finished and some of its rows may still be stored. */
  boolean contains(String jobId) {
    return finishedJobs.containsKey(jobId);
  }

  /**
   * Returns whether a submission row is that of a job that has finished. One that was stored after
   * the ended row of its id is that of a new job, since an insert requires that this row is absent.
   */
  boolean isOfFinishedJob(String jobId, StoredRow submission) {
    FinishedJob finished = finishedJobs.get(jobId);
    return finished != null
        && (finished.endedRowVersion == RowStore.ABSENT
            || submission.version() < finished.endedRowVersion);
  }

  /** Forgets a job, because a new job with its id is stored. */
  void remove(String jobId) {
    finishedJobs.remove(jobId);
  }

  /** Replaces submissions and deletes expired rows if the next check is due. */
  void cleanIfDue(long nowMillis) {
    if (nowMillis < nextCheckMillis || !lease.isValid()) {
      return;
    }
    nextCheckMillis = nowMillis + CHECK_INTERVAL_MILLIS;
    awaitingReplacement.forEach(
        (partition, waiting) -> {
          boolean isDue =
              waiting.size() >= MAX_JOBS_PER_TRANSACTION
                  || (!waiting.isEmpty()
                      && nowMillis - waiting.get(0).addedMillis >= MAX_BATCHING_DELAY_MILLIS);
          if (isDue && busyPartitions.add(partition)) {
            replaceSubmissions(
                partition,
                ImmutableList.copyOf(
                    waiting.subList(0, Math.min(MAX_JOBS_PER_TRANSACTION, waiting.size()))));
          }
        });
    deleteExpiredRows(nowMillis);
  }

  private void replaceSubmissions(String partition, ImmutableList<FinishedJob> batch) {
    ImmutableList.Builder<Put> puts = ImmutableList.builder();
    ImmutableList.Builder<RowKey> deletes = ImmutableList.builder();
    for (FinishedJob finished : batch) {
      puts.add(
          new Put(
              JobRows.key(finished.jobId, Kind.ENDED), ProgressRow.encodeFinal(finished.state)));
      deletes.add(JobRows.key(finished.jobId, Kind.SUBMISSION));
    }
    commit(
        partition,
        new Transaction(ImmutableList.of(), puts.build(), deletes.build()),
        outcome -> {
          if (outcome instanceof Outcome.Committed committed) {
            batch.forEach(finished -> finished.endedRowVersion = committed.version());
            awaitingReplacement.get(partition).removeAll(batch);
          }
        });
  }

  private void deleteExpiredRows(long nowMillis) {
    Map<String, List<FinishedJob>> withFinalRow = new HashMap<>();
    Map<String, List<FinishedJob>> withoutFinalRow = new HashMap<>();
    for (FinishedJob finished : finishedJobs.values()) {
      boolean isRetained = nowMillis - finished.addedMillis < retentionMillis;
      if (isRetained) {
        break;
      }
      if (finished.endedRowVersion == RowStore.ABSENT) {
        continue;
      }
      if (finished.hasFinalRow) {
        withFinalRow
            .computeIfAbsent(finished.decisionPartition, partition -> new ArrayList<>())
            .add(finished);
      } else {
        withoutFinalRow
            .computeIfAbsent(
                JobRows.submissionPartition(finished.jobId), partition -> new ArrayList<>())
            .add(finished);
      }
    }
    withFinalRow.forEach(
        (partition, finished) -> {
          if (busyPartitions.add(partition)) {
            deleteFinalRows(partition, finished);
          }
        });
    withoutFinalRow.forEach(
        (partition, finished) -> {
          if (busyPartitions.add(partition)) {
            deleteEndedRows(partition, finished);
          }
        });
  }

  private void deleteFinalRows(String partition, List<FinishedJob> expired) {
    List<FinishedJob> batch =
        expired.subList(0, Math.min(MAX_JOBS_PER_TRANSACTION, expired.size()));
    ImmutableList<RowKey> keys =
        batch.stream()
            .map(finished -> JobRows.decisionKey(partition, finished.jobId, Kind.FINAL))
            .collect(ImmutableList.toImmutableList());
    commit(
        partition,
        new Transaction(
            ImmutableList.of(fences.expectationFor(partition)), ImmutableList.of(), keys),
        outcome -> {
          if (outcome instanceof Outcome.Committed) {
            batch.forEach(finished -> finished.hasFinalRow = false);
          }
        });
  }

  private void deleteEndedRows(String partition, List<FinishedJob> expired) {
    List<FinishedJob> batch =
        expired.subList(0, Math.min(MAX_JOBS_PER_TRANSACTION, expired.size()));
    ImmutableList.Builder<Expectation> expectations = ImmutableList.builder();
    ImmutableList.Builder<RowKey> deletes = ImmutableList.builder();
    for (FinishedJob finished : batch) {
      RowKey key = JobRows.key(finished.jobId, Kind.ENDED);
      // A delete that is applied late must not delete a row that has since been stored for this id.
      expectations.add(new Expectation(key, finished.endedRowVersion));
      deletes.add(key);
    }
    commit(
        partition,
        new Transaction(expectations.build(), ImmutableList.of(), deletes.build()),
        outcome -> {
          if (outcome instanceof Outcome.Committed) {
            batch.forEach(finished -> finishedJobs.remove(finished.jobId, finished));
          } else if (outcome instanceof Outcome.Conflict conflict) {
            // The response to an earlier transaction was lost.
            batch.forEach(finished -> applyConflict(finished, conflict));
          }
        });
  }

  private void applyConflict(FinishedJob finished, Outcome.Conflict conflict) {
    RowKey key = JobRows.key(finished.jobId, Kind.ENDED);
    Optional<StoredRow> stored =
        conflict.current().stream()
            .filter(row -> row.key().equals(key) && !row.deleted())
            .filter(row -> row.version() != RowStore.ABSENT)
            .findFirst();
    boolean isNewerRow = stored.isPresent() && stored.get().version() > finished.endedRowVersion;
    if (isNewerRow && JobRows.isCancelledId(stored.get())) {
      addCancelledId(finished.jobId, stored.get());
    } else if (stored.isPresent()) {
      finished.endedRowVersion = stored.get().version();
    } else {
      finishedJobs.remove(finished.jobId, finished);
    }
  }

  private void commit(String partition, Transaction transaction, Consumer<Outcome> onOutcome) {
    long sentGeneration = generation;
    store.commit(
        transaction,
        outcome -> {
          if (generation == sentGeneration) {
            busyPartitions.remove(partition);
            onOutcome.accept(outcome);
          }
        });
  }
}
