package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.WorkerEntry;

/** Decodes and encodes rows whose formats the platform or the entry VMs define. */
public interface RowFormats {
  /** Returns the table in which workers register themselves. */
  String workerTable();

  /** Decodes a row of the worker table; empty if it does not describe a worker. */
  Optional<WorkerEntry> decodeWorker(StoredRow row);

  /** Decodes the value of a submission row; {@code id} is the id of its job. */
  Either<Failure, JobSpec> decodeJob(String id, String rowValue);

  /**
   * Returns whether the job of a submission row has its decision rows in a decision partition;
   * false if it was submitted to a previous version, which stored them in the main partition.
   */
  boolean hasDecisionPartition(String rowValue);

  /** Encodes the row that shows the operator whether a maintenance wave is completed. */
  Put encodeWaveStatus(long wave, boolean completed);
}
