package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;

/**
 * The rows of jobs: which there are, who writes them, and what they say together.
 *
 * <p>The rows of a job lie next to each other, so that one read gives all of them as of one moment.
 * Entry VMs insert submissions and cancellations; only the holder of the scheduling lease writes
 * the others.
 */
public final class JobRows {
  /** The table of all jobs. */
  public static final String TABLE = "jobs";

  /** The part that holds the jobs and the lease of one scheduler. */
  public static final String PART = "main";

  private static final char FIRST_AFTER_SEPARATOR = '/' + 1;

  /** What a row of a job holds. */
  public enum Kind {
    SUBMISSION("a"),
    PROGRESS("b"),
    CANCELLATION("c"),
    FINAL("d");

    private final String suffix;

    Kind(String suffix) {
      this.suffix = suffix;
    }
  }

  private JobRows() {}

  /** The key of a row of a job. */
  public static RowKey key(String job, Kind kind) {
    return new RowKey(TABLE, PART, job + "/" + kind.suffix);
  }

  /** All rows of a job. */
  public static Range rangeOf(String job) {
    return new Range(TABLE, PART, job + "/", job + FIRST_AFTER_SEPARATOR);
  }

  /** The job that a row belongs to. */
  static String jobOf(RowKey key) {
    int separator = key.key().lastIndexOf('/');
    return separator < 0 ? key.key() : key.key().substring(0, separator);
  }

  /** What a row holds; empty for a row that is not a job's. */
  static Optional<Kind> kindOf(RowKey key) {
    String suffix = key.key().substring(key.key().lastIndexOf('/') + 1);
    for (Kind kind : Kind.values()) {
      if (kind.suffix.equals(suffix)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }

  /** The row of this kind among the rows of one job. */
  public static Optional<StoredRow> find(ImmutableList<StoredRow> rows, Kind kind) {
    return rows.stream()
        .filter(row -> !row.deleted() && kindOf(row.key()).equals(Optional.of(kind)))
        .findFirst();
  }

  /** The state that the rows of one job tell; empty if there is no such job. */
  public static Optional<JobState> state(ImmutableList<StoredRow> rows) {
    Optional<JobState> done = find(rows, Kind.FINAL).flatMap(row -> ProgressRow.state(row.value()));
    if (done.isPresent()) {
      return done;
    }
    if (find(rows, Kind.SUBMISSION).isEmpty()) {
      return Optional.empty();
    }
    if (find(rows, Kind.CANCELLATION).isPresent()) {
      return Optional.of(JobState.CANCELLED);
    }
    return find(rows, Kind.PROGRESS)
        .flatMap(row -> ProgressRow.state(row.value()))
        .filter(state -> !state.isFinal())
        .or(() -> Optional.of(JobState.QUEUED));
  }
}
