package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.WorkerEntry;

/** The formats of rows that the platform or callers define. */
public interface RowFormats {
  /** The table in which workers list themselves. */
  String workerTable();

  /** The worker that a row names; empty if it names none. */
  Optional<WorkerEntry> worker(StoredRow row);

  /** The job that a submission row holds. */
  Either<Failure, JobSpec> job(String id, String row);

  /** The row that tells the operator whether a wave of maintenance is completed. */
  Put waveStatus(long wave, boolean completed);
}
