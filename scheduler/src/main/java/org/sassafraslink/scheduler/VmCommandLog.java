package org.sassafraslink.scheduler;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Outcome;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.RowStore.Transaction;
import org.sassafraslink.api.log.EventLog;

/**
 * Records in a row which VMs are about to get a command (a move or maintenance), before the command
 * is sent.
 *
 * <p>The platform does not check fencing tokens on commands to VMs, so commands of two schedulers
 * must be separated by a pause. With this row, the next scheduler pauses only for VMs to which its
 * predecessor may have sent a command recently, and can send commands to all others at once: pools
 * need VMs most after a failure.
 */
final class VmCommandLog {
  /**
   * In a table of its own, since all entry VMs wait for changes of the table with the lease, while
   * this row changes with each batch of commands.
   */
  private static final RowKey KEY = new RowKey("vm-commands", JobRows.MAIN_PARTITION, "orders");

  /** Where the previous version recorded its commands. */
  private static final RowKey PREVIOUS_VERSION_KEY =
      new RowKey("control", JobRows.MAIN_PARTITION, "orders");

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Added to the pause that the platform requires, in ms, because clocks differ in rate. */
  private static final long PAUSE_MARGIN_MILLIS = 300;

  /** Delay after a failed call to the store, in ms. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final long pauseMillis;

  /** VMs in the row, each with the time until which it must be kept there, monotonic ms. */
  private final Map<String, Long> recordedUntilMillis = new HashMap<>();

  /**
   * VMs to which an earlier scheduler may have sent a command, each with the end of its pause,
   * monotonic ms.
   */
  private final Map<String, Long> pausedUntilMillis = new HashMap<>();

  /** VMs to be added to the row by the next write, each with the callback for the result. */
  private Map<String, Consumer<Boolean>> callbacksByVm = new LinkedHashMap<>();

  private boolean loaded;
  private boolean callPending;
  private long nextCallMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  VmCommandLog(
      RowStore store, FleetClock clock, EventLog log, SchedulerLease lease, long pauseMillis) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.pauseMillis = pauseMillis + PAUSE_MARGIN_MILLIS;
  }

  /** Discards all state, so that the row is read again before any command is allowed. */
  void reset() {
    generation++;
    loaded = false;
    callPending = false;
    nextCallMillis = 0;
    recordedUntilMillis.clear();
    pausedUntilMillis.clear();
    callbacksByVm.clear();
  }

  /**
   * Returns whether the row has been read and the pause after a command of an earlier scheduler to
   * this VM, if any, is over.
   */
  boolean maySendCommand(String vm, long nowMillis) {
    return loaded && nowMillis >= pausedUntilMillis.getOrDefault(vm, Long.MIN_VALUE);
  }

  /**
   * Adds a VM to the row. {@code onRecorded} receives whether the row was stored; the command may
   * be sent only if it was.
   */
  void recordVm(String vm, Consumer<Boolean> onRecorded) {
    callbacksByVm.put(vm, onRecorded);
    write();
  }

  /** Reads or writes the row if that is due. */
  void readOrWriteIfDue(long nowMillis) {
    if (nowMillis < nextCallMillis) {
      return;
    }
    if (!loaded) {
      read(nowMillis);
    } else {
      write();
    }
  }

  private void read(long nowMillis) {
    if (callPending || !lease.isValid()) {
      return;
    }
    callPending = true;
    long sentGeneration = generation;
    store.read(
        rangeOf(KEY),
        rows ->
            store.read(
                rangeOf(PREVIOUS_VERSION_KEY),
                previousVersionRows -> {
                  if (generation == sentGeneration) {
                    callPending = false;
                    applyRead(rows, previousVersionRows, nowMillis);
                  }
                }));
  }

  private static Range rangeOf(RowKey key) {
    return new Range(key.table(), key.partition(), key.key(), key.key() + '\0');
  }

  private void applyRead(
      Either<CallFailure, Rows> rows,
      Either<CallFailure, Rows> previousVersionRows,
      long nowMillis) {
    if (rows.isLeft() || previousVersionRows.isLeft()) {
      nextCallMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
      return;
    }
    loaded = true;
    for (StoredRow row : Iterables.concat(rows.get().rows(), previousVersionRows.get().rows())) {
      for (String vm : decode(row.value())) {
        pausedUntilMillis.put(vm, nowMillis + pauseMillis);
        recordedUntilMillis.put(vm, nowMillis + pauseMillis);
      }
    }
    if (!pausedUntilMillis.isEmpty()) {
      log.log("orders.paused", "epoch", lease.epoch(), "machines", pausedUntilMillis.keySet());
    }
  }

  private void write() {
    if (callPending || !loaded || callbacksByVm.isEmpty() || !lease.isValid()) {
      return;
    }
    long now = clock.monotonicMillis();
    recordedUntilMillis.values().removeIf(untilMillis -> now >= untilMillis);
    Set<String> recordedVms = new TreeSet<>(recordedUntilMillis.keySet());
    recordedVms.addAll(callbacksByVm.keySet());
    Map<String, Consumer<Boolean>> batch = callbacksByVm;
    callbacksByVm = new LinkedHashMap<>();
    callPending = true;
    long sentGeneration = generation;
    Transaction transaction =
        new Transaction(
            ImmutableList.of(lease.holderExpectation()),
            ImmutableList.of(new Put(KEY, encode(recordedVms))),
            ImmutableList.of());
    store.commit(
        transaction,
        outcome -> {
          if (generation == sentGeneration) {
            callPending = false;
            boolean isStored = outcome instanceof Outcome.Committed;
            // The caller sends the command now, so the VM stays in the row for a whole pause from
            // now on.
            long untilMillis = clock.monotonicMillis() + pauseMillis;
            batch.keySet().forEach(vm -> recordedUntilMillis.put(vm, untilMillis));
            batch.values().forEach(callback -> callback.accept(isStored));
            write();
          }
        });
  }

  private static String encode(Set<String> vms) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    vms.forEach(array::add);
    return array.toString();
  }

  private static ImmutableList<String> decode(String value) {
    try {
      ImmutableList.Builder<String> vms = ImmutableList.builder();
      for (JsonNode vm : MAPPER.readTree(value)) {
        vms.add(vm.asText());
      }
      return vms.build();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("row \"orders\" of table \"control\" is not valid JSON", e);
    }
  }
}
