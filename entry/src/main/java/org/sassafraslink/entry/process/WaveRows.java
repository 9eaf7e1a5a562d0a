package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.platform.fleet.OperatorRows;

/** Collects the maintenance waves from the operator's rows. A wave stays known after a deletion. */
final class WaveRows {
  private final EventLog log;
  private final Map<Long, Wave> waveByNumber = new TreeMap<>();

  WaveRows(EventLog log) {
    this.log = log;
  }

  /** Records the wave in a row; returns false if the row contains none or is malformed. */
  boolean apply(StoredRow row) {
    if (!OperatorRows.isWave(row)) {
      return false;
    }
    Optional<Wave> wave = OperatorRows.decodeWave(row);
    if (wave.isEmpty()) {
      log.log("wave.unreadable", "row", row.key().key());
      return false;
    }
    waveByNumber.put(wave.get().number(), wave.get());
    return true;
  }

  /** Returns all waves that have been read, by their number. */
  ImmutableList<Wave> toWaves() {
    return ImmutableList.copyOf(waveByNumber.values());
  }
}
