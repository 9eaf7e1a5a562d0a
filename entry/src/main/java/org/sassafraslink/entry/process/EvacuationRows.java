package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.platform.fleet.OperatorRows;

/**
 * Collects the evacuations of availability zones from the operator's rows. A row is a request for
 * as long as it exists, whatever its value: the name of the zone is in its key.
 */
final class EvacuationRows {
  private final EventLog log;

  /** The requested zones by the keys of their rows. */
  private final TreeMap<String, String> zoneByKey = new TreeMap<>();

  /** Keys of rows that name no zone and have been logged. */
  private final Set<String> unreadableKeys = new HashSet<>();

  EvacuationRows(EventLog log) {
    this.log = log;
  }

  /** Applies the rows of a read of the whole table: a request without a row is withdrawn. */
  void applyWholeTable(Iterable<StoredRow> rows) {
    Set<String> present = new HashSet<>();
    rows.forEach(row -> present.add(row.key().key()));
    for (String key : ImmutableSet.copyOf(zoneByKey.keySet())) {
      if (!present.contains(key)) {
        withdraw(key);
      }
    }
    rows.forEach(this::apply);
  }

  /** Applies a row that was read or has changed; ignores rows that are no evacuation. */
  void apply(StoredRow row) {
    if (!OperatorRows.isEvacuation(row)) {
      return;
    }
    String key = row.key().key();
    if (row.deleted()) {
      withdraw(key);
      return;
    }
    Optional<String> zone = OperatorRows.decodeEvacuatedZone(row);
    if (zone.isEmpty()) {
      if (unreadableKeys.add(key)) {
        log.log("evacuation.unreadable", "row", key);
      }
    } else if (zoneByKey.put(key, zone.get()) == null) {
      log.log("evacuation.requested", "zone", zone.get(), "version", row.version());
    }
  }

  private void withdraw(String key) {
    unreadableKeys.remove(key);
    String zone = zoneByKey.remove(key);
    if (zone != null) {
      log.log("evacuation.withdrawn", "zone", zone);
    }
  }

  /** Returns the requested evacuations, as a read sent at {@code sentMillis} has shown them. */
  Evacuations toEvacuations(long sentMillis) {
    return new Evacuations(ImmutableSet.copyOf(zoneByKey.values()), sentMillis);
  }
}
