package org.sassafraslink.scheduler;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;

/**
 * Stores the progress of waves of maintenance, so that the next scheduler continues them. Without
 * it, the next scheduler would drain every VM of a wave once more.
 *
 * <p>A VM whose maintenance was accepted just before a change of scheduler may be missing in the
 * row. It is then drained again, and the platform does nothing on the repeated command.
 */
final class WaveProgressRows {
  /** Shortest time between two writes, in ms, so that VMs that are done together share one. */
  private static final long MIN_WRITE_INTERVAL_MILLIS = 100;

  /** Delay after a failed call to the store, in ms. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private static final String TABLE = "waves";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * The progress of a wave.
   *
   * @param startedMillis when a scheduler first saw the wave, wall-clock ms
   * @param handledVms the VMs whose maintenance was accepted or is not needed
   * @param leftVms the VMs without which the wave was completed, since they had left the fleet
   */
  record Progress(
      long startedMillis, ImmutableSet<String> handledVms, ImmutableSet<String> leftVms) {}

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final Map<Long, Progress> loadedByWave = new HashMap<>();
  private Map<Long, Progress> unwrittenByWave = new LinkedHashMap<>();
  private boolean loaded;
  private boolean callPending;
  private long nextCallMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  WaveProgressRows(RowStore store, FleetClock clock, EventLog log, SchedulerLease lease) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
  }

  /** Discards all state, so that the rows are read again. */
  void reset() {
    generation++;
    loaded = false;
    callPending = false;
    nextCallMillis = 0;
    loadedByWave.clear();
    unwrittenByWave.clear();
  }

  /** Returns whether the rows of earlier schedulers have been read. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns the progress of a wave under earlier schedulers; empty if there is none. */
  Optional<Progress> find(long wave) {
    return Optional.ofNullable(loadedByWave.get(wave));
  }

  /** Stores the progress of a wave with the next write. */
  void record(long wave, Progress progress) {
    unwrittenByWave.put(wave, progress);
  }

  /** Reads or writes the rows if that is due. */
  void readOrWriteIfDue(long nowMillis) {
    if (callPending || nowMillis < nextCallMillis || !lease.isValid()) {
      return;
    }
    if (!loaded) {
      read();
    } else if (!unwrittenByWave.isEmpty()) {
      write(nowMillis);
    }
  }

  private void read() {
    callPending = true;
    long sentGeneration = generation;
    store.read(
        new Range(TABLE, JobRows.MAIN_PARTITION, "", ""),
        response -> {
          if (generation != sentGeneration) {
            return;
          }
          callPending = false;
          if (response.isLeft()) {
            nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
            return;
          }
          loaded = true;
          response.get().rows().forEach(this::load);
        });
  }

  private void load(StoredRow row) {
    try {
      JsonNode value = MAPPER.readTree(row.value());
      loadedByWave.put(
          Long.parseLong(row.key().key()),
          new Progress(
              value.path("started").asLong(),
              decodeVms(value.path("handled")),
              decodeVms(value.path("left"))));
    } catch (JsonProcessingException | NumberFormatException e) {
      log.log("wave.progress_unreadable", "row", row.key().key(), "error", e);
    }
  }

  private static ImmutableSet<String> decodeVms(JsonNode array) {
    ImmutableSet.Builder<String> vms = ImmutableSet.builder();
    array.forEach(vm -> vms.add(vm.asText()));
    return vms.build();
  }

  private void write(long nowMillis) {
    callPending = true;
    nextCallMillis = nowMillis + MIN_WRITE_INTERVAL_MILLIS;
    Map<Long, Progress> batch = unwrittenByWave;
    unwrittenByWave = new LinkedHashMap<>();
    ImmutableList.Builder<Put> puts = ImmutableList.builder();
    batch.forEach(
        (wave, progress) ->
            puts.add(
                new Put(
                    new RowKey(TABLE, JobRows.MAIN_PARTITION, Long.toString(wave)),
                    encode(progress))));
    long sentGeneration = generation;
    store.commit(
        new Transaction(
            ImmutableList.of(lease.holderExpectation()), puts.build(), ImmutableList.of()),
        outcome -> {
          if (generation != sentGeneration) {
            return;
          }
          callPending = false;
          if (!(outcome instanceof Outcome.Committed)) {
            nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
            batch.forEach(unwrittenByWave::putIfAbsent);
          }
        });
  }

  private static String encode(Progress progress) {
    ObjectNode value =
        JsonNodeFactory.instance.objectNode().put("started", progress.startedMillis());
    ArrayNode handledVms = value.putArray("handled");
    progress.handledVms().forEach(handledVms::add);
    ArrayNode leftVms = value.putArray("left");
    progress.leftVms().forEach(leftVms::add);
    return value.toString();
  }
}
