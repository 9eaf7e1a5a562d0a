package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;

/**
 * Defines the keys of the rows of jobs and derives a job's state from its rows.
 *
 * <p>The store applies the transactions of one partition one after the other. Rows are therefore
 * distributed over many partitions by the job's id, so that the store accepts all submissions and
 * the scheduler commits all its decisions even if the store's responses are slow for seconds. Entry
 * VMs insert submissions and cancellations; only the holder of the scheduling lease writes the
 * other rows. A job's progress, cancellation and final state are its decision rows. They are in one
 * partition, since a final state and a cancellation exclude each other; {@link DecisionFences}
 * describes how their transactions check the lease.
 *
 * <p>The submission row is kept after the job's final state is written, until an {@link Kind#ENDED}
 * row replaces it in the same partition. A repeated submission of the same id is thus detected
 * until the ended row is deleted.
 */
public final class JobRows {
  /** The table that holds the rows of all jobs. */
  public static final String TABLE = "jobs";

  /**
   * The partition that holds the scheduling lease. It also holds the decision rows of the jobs that
   * were submitted to a previous version, which had no decision partitions.
   */
  public static final String MAIN_PARTITION = "main";

  /**
   * The number of partitions that hold the decision rows of jobs. In bursts of 80 jobs per second
   * with two steps, about 500 changes per second must be committed; while the store takes 340 ms
   * for a transaction, one partition takes 130. Each partition costs one more read and one or two
   * more writes when a scheduler starts.
   */
  private static final int DECISION_PARTITIONS = 8;

  /**
   * The number of partitions that hold the submissions. In bursts of 80 submissions per second,
   * each partition gets about 3 per second. Each partition costs one more read when a scheduler
   * starts.
   */
  private static final int SUBMISSION_PARTITIONS = 32;

  private static final String CANCELLED_ID = "{\"cancelledBeforeSubmission\":true}";

  /** A job's id followed by this character is the exclusive end of the range of the job's keys. */
  private static final char CHAR_AFTER_SEPARATOR = '/' + 1;

  /** What a row of a job holds. */
  public enum Kind {
    /** The job as an entry VM accepted it. */
    SUBMISSION("a"),
    /** The state and the tasks of an unfinished job. */
    PROGRESS("b"),
    /** The submitter's request to cancel the job. */
    CANCELLATION("c"),
    /** The final state of the job. */
    FINAL("d"),
    /**
     * The final state of the job, as a replacement for its submission. Or, if {@link
     * JobRows#isCancelledId}, the mark of an id that was cancelled before a job with it was stored.
     */
    ENDED("e");

    private final String suffix;

    Kind(String suffix) {
      this.suffix = suffix;
    }
  }

  private JobRows() {}

  /** Returns the key of a job's row of the given kind; see {@link #decisionKey} for older jobs. */
  public static RowKey key(String jobId, Kind kind) {
    boolean isInSubmissionPartition = kind == Kind.SUBMISSION || kind == Kind.ENDED;
    return isInSubmissionPartition
        ? keyIn(submissionPartition(jobId), jobId, kind)
        : decisionKey(decisionPartition(jobId), jobId, kind);
  }

  /**
   * Returns the key of a decision row of a job.
   *
   * @param partition {@link #decisionPartition}, or {@link #MAIN_PARTITION} for a job that was
   *     submitted to a previous version
   */
  public static RowKey decisionKey(String partition, String jobId, Kind kind) {
    return keyIn(partition, jobId, kind);
  }

  private static RowKey keyIn(String partition, String jobId, Kind kind) {
    return new RowKey(TABLE, partition, jobId + "/" + kind.suffix);
  }

  /** Returns the range of a job's decision rows in a partition; see {@link #decisionKey}. */
  public static Range decisionRange(String partition, String jobId) {
    return new Range(TABLE, partition, jobId + "/", jobId + CHAR_AFTER_SEPARATOR);
  }

  /** Returns the partition that holds the decision rows of a job. */
  public static String decisionPartition(String jobId) {
    return decisionPartitionName(Math.floorMod(jobId.hashCode(), DECISION_PARTITIONS));
  }

  private static String decisionPartitionName(int number) {
    return "runs-" + number;
  }

  /** Returns all partitions of decision rows except {@link #MAIN_PARTITION}. */
  static ImmutableList<String> decisionPartitions() {
    return IntStream.range(0, DECISION_PARTITIONS)
        .mapToObj(JobRows::decisionPartitionName)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the range of a job's submission row or of the ended row that has replaced it. */
  public static Range submissionRange(String jobId) {
    return new Range(TABLE, submissionPartition(jobId), jobId + "/", jobId + CHAR_AFTER_SEPARATOR);
  }

  /** Returns the partition that holds the submission of a job. */
  public static String submissionPartition(String jobId) {
    return submissionPartitionName(Math.floorMod(jobId.hashCode(), SUBMISSION_PARTITIONS));
  }

  /** Returns all partitions that hold rows of jobs. */
  static ImmutableList<String> partitions() {
    ImmutableList.Builder<String> partitions = ImmutableList.builder();
    partitions.add(MAIN_PARTITION);
    partitions.addAll(decisionPartitions());
    for (int number = 0; number < SUBMISSION_PARTITIONS; number++) {
      partitions.add(submissionPartitionName(number));
    }
    return partitions.build();
  }

  private static String submissionPartitionName(int number) {
    return "jobs-" + number;
  }

  /** Returns the id of the job that a row belongs to. */
  static String jobIdOf(RowKey key) {
    int separator = key.key().lastIndexOf('/');
    return separator < 0 ? key.key() : key.key().substring(0, separator);
  }

  /** Returns the kind of a row, or empty if it is not a row of a job. */
  static Optional<Kind> kindOf(RowKey key) {
    String suffix = key.key().substring(key.key().lastIndexOf('/') + 1);
    for (Kind kind : Kind.values()) {
      if (kind.suffix.equals(suffix)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns rows with all submissions before the other rows, otherwise in the same order. A full
   * read returns the partitions in any order, so that the cancellation of a job may come before the
   * submission that creates it.
   */
  static ImmutableList<StoredRow> submissionsFirst(ImmutableList<StoredRow> rows) {
    return rows.stream()
        .sorted(
            Comparator.comparing(row -> !kindOf(row.key()).equals(Optional.of(Kind.SUBMISSION))))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the row of the given kind among the rows of one job. */
  public static Optional<StoredRow> findRow(ImmutableList<StoredRow> rows, Kind kind) {
    return rows.stream()
        .filter(row -> !row.deleted() && kindOf(row.key()).equals(Optional.of(kind)))
        .findFirst();
  }

  /**
   * Returns the row that keeps a job with a cancelled id from being stored. It is of the kind whose
   * absence each insert of a submission requires, those of earlier versions included, and has no
   * state, so that callers are told that there is no such job.
   */
  public static Put cancelledId(String jobId) {
    return new Put(key(jobId, Kind.ENDED), CANCELLED_ID);
  }

  /** Returns whether an {@link Kind#ENDED} row is that of a cancelled id without a job. */
  public static boolean isCancelledId(StoredRow endedRow) {
    return endedRow.value().equals(CANCELLED_ID);
  }

  /** Returns the state of a job according to its rows, or empty if there is no such job. */
  public static Optional<JobState> jobState(ImmutableList<StoredRow> rows) {
    Optional<JobState> finalState =
        findRow(rows, Kind.FINAL)
            .or(() -> findRow(rows, Kind.ENDED))
            .flatMap(row -> ProgressRow.decodeState(row.value()));
    if (finalState.isPresent()) {
      return finalState;
    }
    if (findRow(rows, Kind.CANCELLATION).isPresent()) {
      return Optional.of(JobState.CANCELLED);
    }
    return findRow(rows, Kind.PROGRESS)
        .flatMap(row -> ProgressRow.decodeState(row.value()))
        .filter(state -> !state.isFinal())
        .or(() -> findRow(rows, Kind.SUBMISSION).map(row -> JobState.QUEUED));
  }
}
