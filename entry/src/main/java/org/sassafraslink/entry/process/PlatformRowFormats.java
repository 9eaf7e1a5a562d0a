package org.sassafraslink.entry.process;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.platform.fleet.JobCodec;
import org.sassafraslink.platform.fleet.OperatorRows;
import org.sassafraslink.platform.fleet.WorkerEntryDecoder;
import org.sassafraslink.scheduler.RowFormats;

/**
 * Decodes the rows of workers and jobs, and encodes the status rows of waves, in the platform's
 * formats.
 */
public final class PlatformRowFormats implements RowFormats {
  @Override
  public String workerTable() {
    return WorkerEntryDecoder.TABLE;
  }

  @Override
  public Optional<WorkerEntry> decodeWorker(StoredRow row) {
    return WorkerEntryDecoder.decode(row);
  }

  @Override
  public Either<Failure, JobSpec> decodeJob(String id, String row) {
    return JobCodec.decodeRow(id, row);
  }

  @Override
  public boolean hasDecisionPartition(String row) {
    return JobCodec.hasDecisionPartition(row);
  }

  @Override
  public Put encodeWaveStatus(long wave, boolean completed) {
    return OperatorRows.encodeWaveStatus(wave, completed);
  }
}
