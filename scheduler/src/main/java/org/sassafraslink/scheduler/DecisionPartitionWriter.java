package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Expectation;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.cancellation.ClockTimes;

/**
 * Writes the progress and the final states of the jobs of one partition, one transaction at a time.
 *
 * <p>Changes that are recorded while a transaction is pending share the next one. A row holds the
 * whole progress of a job, so a transaction whose response is lost is followed by a second one with
 * the newest progress. If the first one took effect, the second one conflicts. The conflict
 * contains the row's current version, which the third one expects. This is safe because only the
 * holder of the lease writes these rows.
 */
final class DecisionPartitionWriter {
  /** Maximum number of entries in one transaction, below the platform's limit of 100. */
  private static final int MAX_TRANSACTION_ENTRIES = 90;

  /**
   * No more jobs are added to a transaction whose progress rows exceed this many characters. With
   * base64 encoding and keys the transaction stays below the platform's limit of 1 MB.
   */
  private static final int MAX_TRANSACTION_CHARACTERS = 400_000;

  /** Entries (expectations, puts and deletes) that the progress of a job needs. */
  private static final int PROGRESS_ENTRIES = 3;

  /** Entries that the final state of a job needs at most. */
  private static final int FINAL_ENTRIES = 4;

  /** How long a change that is not urgent waits for others to share its transaction, in ms. */
  private static final long MAX_BATCHING_DELAY_MILLIS = 400;

  /**
   * Shortest time between two transactions of a partition, in ms. Together, all partitions send at
   * most 500 transactions per second, of the 600 that the smallest store accepts.
   */
  private static final long MIN_COMMIT_INTERVAL_MILLIS = 16;

  /** Delay before the next transaction after a failed one, in ms. */
  private static final long RETRY_DELAY_MILLIS = 100;

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final DecisionFences fences;
  private final SchedulerLoad load;
  private final InheritedLeaseEnds inheritedLeaseEnds;
  private final JobProgressWriter.Listener listener;
  private final String partition;

  /** The jobs with uncommitted changes. */
  private final Set<Job> dirtyJobs = new LinkedHashSet<>();

  /** Whether the next transaction is sent without waiting for more changes. */
  private boolean urgent;

  private boolean commitPending;
  private long nextCommitMillis;

  /** Incremented by each reset; outcomes of transactions sent before it are ignored. */
  private long generation;

  DecisionPartitionWriter(
      RowStore store,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      DecisionFences fences,
      SchedulerLoad load,
      InheritedLeaseEnds inheritedLeaseEnds,
      JobProgressWriter.Listener listener,
      String partition) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.fences = fences;
    this.load = load;
    this.inheritedLeaseEnds = inheritedLeaseEnds;
    this.listener = listener;
    this.partition = partition;
  }

  /** Discards all uncommitted changes, since this process no longer holds the lease. */
  void reset() {
    generation++;
    dirtyJobs.clear();
    commitPending = false;
    urgent = false;
  }

  int dirtyJobCount() {
    return dirtyJobs.size();
  }

  /** Adds a job with uncommitted changes, as {@link JobProgressWriter#recordChange}. */
  void add(Job job, boolean isUrgent) {
    dirtyJobs.add(job);
    urgent |= isUrgent;
  }

  /** Sends the next transaction if a change is urgent or has waited long enough. */
  void commitIfDue(long nowMillis) {
    if (commitPending || dirtyJobs.isEmpty() || nowMillis < nextCommitMillis || !lease.isValid()) {
      return;
    }
    boolean isDue =
        urgent
            || dirtyJobs.stream()
                .anyMatch(
                    job -> nowMillis - job.uncommittedSinceMillis >= MAX_BATCHING_DELAY_MILLIS);
    if (isDue) {
      sendTransaction();
    }
  }

  private void sendTransaction() {
    ImmutableList.Builder<Expectation> expectations = ImmutableList.builder();
    ImmutableList.Builder<Put> puts = ImmutableList.builder();
    ImmutableList.Builder<RowKey> deletes = ImmutableList.builder();
    expectations.add(fences.expectationFor(partition));
    Map<Job, Long> sentChangeByJob = new LinkedHashMap<>();
    int characters = 0;
    int entries = 0;
    for (Job job : dirtyJobs) {
      entries += job.state.isFinal() ? FINAL_ENTRIES : PROGRESS_ENTRIES;
      if (entries > MAX_TRANSACTION_ENTRIES || characters > MAX_TRANSACTION_CHARACTERS) {
        break;
      }
      sentChangeByJob.put(job, job.lastChange);
      characters += addEntries(job, expectations, puts, deletes);
    }
    Transaction transaction = new Transaction(expectations.build(), puts.build(), deletes.build());
    load.recordTransaction();
    commitPending = true;
    urgent = dirtyJobs.size() > sentChangeByJob.size() && urgent;
    long sentGeneration = generation;
    ClockTimes sent = ClockTimes.read(clock);
    nextCommitMillis = sent.monotonicMillis() + MIN_COMMIT_INTERVAL_MILLIS;
    store.commit(
        transaction,
        outcome -> {
          if (generation == sentGeneration) {
            commitPending = false;
            applyOutcome(outcome, sentChangeByJob, sent);
          }
        });
  }

  /** Adds the entries of a job to a transaction, and returns the length of its progress row. */
  private int addEntries(
      Job job,
      ImmutableList.Builder<Expectation> expectations,
      ImmutableList.Builder<Put> puts,
      ImmutableList.Builder<RowKey> deletes) {
    String jobId = job.spec.id();
    RowKey progressKey = JobRows.decisionKey(partition, jobId, Kind.PROGRESS);
    expectations.add(new Expectation(progressKey, job.progressRowVersion));
    RowKey cancellationKey = JobRows.decisionKey(partition, jobId, Kind.CANCELLATION);
    if (job.state != JobState.CANCELLED) {
      expectations.add(new Expectation(cancellationKey, RowStore.ABSENT));
    } else {
      deletes.add(cancellationKey);
    }
    if (!job.state.isFinal()) {
      ClockTimes now = ClockTimes.read(clock);
      String value = ProgressRow.encode(job, worker -> inheritedLeaseEnds.toStore(worker, now));
      puts.add(new Put(progressKey, value));
      return value.length();
    }
    puts.add(
        new Put(
            JobRows.decisionKey(partition, jobId, Kind.FINAL), ProgressRow.encodeFinal(job.state)));
    if (job.progressRowVersion != RowStore.ABSENT) {
      deletes.add(progressKey);
    }
    return 0;
  }

  private void applyOutcome(Outcome outcome, Map<Job, Long> sentChangeByJob, ClockTimes sent) {
    if (outcome instanceof Outcome.Committed committed) {
      applyCommit(committed.version(), sentChangeByJob, sent);
    } else if (outcome instanceof Outcome.Conflict conflict) {
      applyConflict(conflict, sentChangeByJob);
    } else {
      urgent = true;
      nextCommitMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      log.log(
          "commit.failed",
          "partition",
          partition,
          "jobs",
          sentChangeByJob.size(),
          "waited",
          clock.monotonicMillis() - sent.monotonicMillis(),
          "outcome",
          outcome);
    }
  }

  private void applyCommit(long version, Map<Job, Long> sentChangeByJob, ClockTimes sent) {
    List<Job> committed = new ArrayList<>();
    sentChangeByJob.forEach(
        (job, sentChange) -> {
          job.lastCommittedChange = sentChange;
          job.notCancelledAt = sent;
          job.progressRowVersion = version;
          boolean isFinalCommitted = job.state.isFinal() && !job.hasUncommittedChange();
          job.finalCommitted |= isFinalCommitted;
          if (!job.hasUncommittedChange() || job.finalCommitted) {
            dirtyJobs.remove(job);
            job.uncommittedSinceMillis = 0;
          } else {
            job.uncommittedSinceMillis = clock.monotonicMillis();
          }
          load.recordCommit(job, clock.monotonicMillis());
          committed.add(job);
        });
    committed.forEach(listener::onCommitted);
  }

  private void applyConflict(Outcome.Conflict conflict, Map<Job, Long> sentChangeByJob) {
    Expectation fence = fences.expectationFor(partition);
    Optional<StoredRow> fenceRow = findCurrentRow(conflict, fence.key());
    if (fenceRow.isEmpty() || fenceRow.get().version() != fence.version()) {
      listener.onLeaseCheckFailed();
      return;
    }
    urgent = true;
    for (Job job : sentChangeByJob.keySet()) {
      String jobId = job.spec.id();
      if (findCurrentRow(conflict, JobRows.decisionKey(partition, jobId, Kind.CANCELLATION))
          .isPresent()) {
        listener.onCancellationFound(job);
      }
      Optional<StoredRow> progress =
          findCurrentRow(conflict, JobRows.decisionKey(partition, jobId, Kind.PROGRESS));
      long actualVersion = progress.map(StoredRow::version).orElse(RowStore.ABSENT);
      if (actualVersion != job.progressRowVersion) {
        log.log(
            "commit.version_adopted",
            "job",
            jobId,
            "expected",
            job.progressRowVersion,
            "actual",
            actualVersion);
        job.progressRowVersion = actualVersion;
      }
    }
  }

  private static Optional<StoredRow> findCurrentRow(Outcome.Conflict conflict, RowKey key) {
    return conflict.current().stream()
        .filter(row -> row.key().equals(key) && !row.deleted() && row.version() != 0)
        .findFirst();
  }
}
