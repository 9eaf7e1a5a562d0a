package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.log.EventLog;

/**
 * Holds the workers that may run tasks: those in the platform's worker list, and earlier
 * incarnations whose tasks may still run.
 *
 * <p>An incarnation has ended when a later one has its id, its VM or its address. Absence from the
 * list does not prove this: a worker that cannot reach the store keeps running.
 */
final class WorkerRegistry {
  /** How long a long poll waits at the store for a change of the list, in ms. */
  private static final int LONG_POLL_MILLIS = 1_000;

  /** Shortest time between two reads of the list, in ms, so that simultaneous changes share one. */
  private static final long MIN_POLL_INTERVAL_MILLIS = 50;

  /** How long a long poll may stay silent while a change is overdue, in ms. */
  private static final long MAX_SILENCE_MILLIS = 300;

  /** Delay before a failed read is repeated, in ms. */
  private static final long RETRY_DELAY_MILLIS = 200;

  /** Address of a worker known only from a job's row; its port 0 marks it as unreachable. */
  private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);

  private final RowStore store;
  private final FleetClock clock;
  private final EventLog log;
  private final RowFormats formats;
  private final Consumer<Worker> onEnd;

  /** Workers that are listed, or that were listed and may still run tasks. */
  private final Map<String, Worker> workersById = new HashMap<>();

  /** Workers that the rows of jobs name and that have not been listed. */
  private final List<Worker> jobRowWorkers = new ArrayList<>();

  /** Ids of list entries that could not be read and have been logged. */
  private final Set<String> unreadableWorkerIds = new HashSet<>();

  /** The workers by pool and by VM; null after a change until the next lookup. */
  private WorkerIndex index;

  private boolean readPending;

  /** When the pending read was sent, monotonic ms. */
  private long pollSentMillis;

  /** Version of the store up to which the list has been read; -1 before the first read. */
  private long readVersion = -1;

  private long nextPollMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  private long predecessorLeaseEndMillis; // monotonic

  WorkerRegistry(
      RowStore store, FleetClock clock, EventLog log, RowFormats formats, Consumer<Worker> onEnd) {
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.formats = formats;
    this.onEnd = onEnd;
  }

  /**
   * Removes all workers, so that the whole list is read again.
   *
   * @param leaseEndMillis when all leases of earlier schedulers have expired, monotonic ms
   */
  void reset(long leaseEndMillis) {
    generation++;
    readPending = false;
    readVersion = -1;
    nextPollMillis = 0;
    workersById.clear();
    jobRowWorkers.clear();
    index = null;
    predecessorLeaseEndMillis = leaseEndMillis;
  }

  /** Returns whether the list has been read at least once. */
  boolean isLoaded() {
    return readVersion >= 0;
  }

  /** Returns all workers that may run tasks, listed or not, as of the time of the call. */
  List<Worker> all() {
    return index().all();
  }

  List<Worker> listedInPool(String pool) {
    return index().listedInPool(pool);
  }

  Optional<Worker> listedOnVm(String vm) {
    return index().listedOnVm(vm);
  }

  /** Returns whether any worker could run a task of this step if it were empty. */
  boolean hasKindFor(StepSpec step) {
    return index().hasKindFor(step);
  }

  private WorkerIndex index() {
    if (index == null) {
      index = WorkerIndex.of(workersById.values(), jobRowWorkers);
    }
    return index;
  }

  /** Returns the worker with this id that is listed, or that was listed and may still run tasks. */
  Optional<Worker> findById(String id) {
    return Optional.ofNullable(workersById.get(id));
  }

  /**
   * Returns the worker that a job's row names, or a later incarnation, which may have received the
   * start command, so that its reports decide whether the task runs. An unknown worker is added as
   * unreachable; its tasks are released when its lease has expired.
   */
  Worker findOrAddFromJobRow(String id, long incarnation) {
    Worker registered = workersById.get(id);
    if (registered != null) {
      return registered;
    }
    for (Worker worker : jobRowWorkers) {
      boolean isSame = worker.entry.id().equals(id) && worker.entry.incarnation() == incarnation;
      if (isSame) {
        return worker;
      }
    }
    WorkerEntry entry =
        new WorkerEntry(
            id, incarnation, "", NO_ADDRESS, "", "", "", ImmutableList.of(), Resources.NONE, false);
    Worker worker = new Worker(entry, predecessorLeaseEndMillis);
    worker.listed = false;
    jobRowWorkers.add(worker);
    index = null;
    return worker;
  }

  /**
   * Reads the whole list, or waits for the changes since the last read, if a read is due.
   *
   * @param isChangeOverdue whether the list should have changed; a long poll that stays silent is
   *     then replaced by a read of the whole list
   */
  void pollIfDue(long nowMillis, boolean isChangeOverdue) {
    boolean isAnyRemoved =
        jobRowWorkers.removeIf(
            worker -> worker.isEmpty() && (worker.ended || worker.consecutiveCallFailures > 0));
    if (isAnyRemoved) {
      index = null;
    }
    boolean isSilent = readPending && nowMillis - pollSentMillis >= MAX_SILENCE_MILLIS;
    if (isSilent && isChangeOverdue && readVersion >= 0) {
      // The response to the long poll is ignored.
      generation++;
      pollSentMillis = nowMillis;
      readPage("", new ArrayList<>(), generation);
      return;
    }
    if (readPending || nowMillis < nextPollMillis) {
      return;
    }
    readPending = true;
    pollSentMillis = nowMillis;
    long sentGeneration = generation;
    if (readVersion < 0) {
      readPage("", new ArrayList<>(), sentGeneration);
    } else {
      store.readChanges(
          formats.workerTable(),
          readVersion,
          LONG_POLL_MILLIS,
          response -> {
            if (generation == sentGeneration) {
              readPending = false;
              applyChanges(response);
            }
          });
    }
  }

  private void readPage(String fromKey, List<StoredRow> rowsSoFar, long sentGeneration) {
    store.read(
        new Range(formats.workerTable(), "", fromKey, ""),
        response -> {
          if (generation != sentGeneration) {
            return;
          }
          if (response.isLeft()) {
            readPending = false;
            nextPollMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
            return;
          }
          rowsSoFar.addAll(response.get().rows());
          if (response.get().hasMore() && !response.get().rows().isEmpty()) {
            StoredRow last = rowsSoFar.get(rowsSoFar.size() - 1);
            readPage(last.key().key() + '\0', rowsSoFar, sentGeneration);
            return;
          }
          readPending = false;
          applyFullRead(rowsSoFar, response.get().version());
        });
  }

  private void applyFullRead(List<StoredRow> rows, long version) {
    Set<String> listedIds = new HashSet<>();
    for (StoredRow row : rows) {
      listedIds.add(row.key().key());
      applyRow(row);
    }
    for (Worker worker : new ArrayList<>(workersById.values())) {
      if (!listedIds.contains(worker.entry.id())) {
        markUnlisted(worker.entry.id());
      }
    }
    readVersion = version;
    nextPollMillis = clock.monotonicMillis() + MIN_POLL_INTERVAL_MILLIS;
  }

  private void applyChanges(Either<CallFailure, Rows> response) {
    long now = clock.monotonicMillis();
    if (response.isLeft()) {
      nextPollMillis = now + RETRY_DELAY_MILLIS;
      if (response.getLeft() == CallFailure.HISTORY_DISCARDED) {
        restartFullRead();
      }
      return;
    }
    readVersion = response.get().version();
    nextPollMillis = now + MIN_POLL_INTERVAL_MILLIS;
    for (StoredRow row : response.get().rows()) {
      if (row.deleted()) {
        markUnlisted(row.key().key());
      } else {
        applyRow(row);
      }
    }
  }

  private void restartFullRead() {
    log.log("workers.history_discarded", "after", readVersion);
    readPending = true;
    readPage("", new ArrayList<>(), generation);
  }

  private void applyRow(StoredRow row) {
    Optional<WorkerEntry> entry = decodeEntry(row);
    String id = row.key().key();
    if (entry.isEmpty()) {
      if (unreadableWorkerIds.add(id)) {
        log.log("worker.entry_unreadable", "worker", id, "version", row.version());
      }
      markUnlisted(id);
      return;
    }
    unreadableWorkerIds.remove(id);
    Worker registered = workersById.get(id);
    if (registered != null && registered.entry.incarnation() > entry.get().incarnation()) {
      // A response has already shown the restart that this entry does not show yet.
      return;
    }
    if (registered == null || registered.entry.incarnation() != entry.get().incarnation()) {
      registerIncarnation(entry.get(), registered);
    } else {
      if (entry.get().draining() && !registered.entry.draining()) {
        log.log("worker.draining", "worker", id, "version", row.version());
      }
      if (!registered.listed) {
        log.log("worker.listed_again", "worker", id, "version", row.version());
      }
      registered.entry = entry.get();
      registered.listed = true;
      index = null;
    }
  }

  /**
   * Decodes an entry. An entry whose decoding fails unexpectedly counts as unreadable, since it
   * must not hide the entries after it.
   */
  private Optional<WorkerEntry> decodeEntry(StoredRow row) {
    try {
      return formats.decodeWorker(row);
    } catch (RuntimeException e) {
      log.log("worker.entry_failure", "worker", row.key().key(), "error", e);
      return Optional.empty();
    }
  }

  private void registerIncarnation(WorkerEntry entry, Worker previous) {
    // Not through the index, which each registration of a full read would have to build again.
    List<Worker> others = new ArrayList<>(workersById.values());
    others.addAll(jobRowWorkers);
    for (Worker other : others) {
      boolean isReplaced =
          other != previous
              && ((!entry.vm().isEmpty() && other.entry.vm().equals(entry.vm()))
                  || other.entry.address().equals(entry.address()));
      if (isReplaced && other.entry.incarnation() < entry.incarnation()) {
        log.log(
            "worker.replaced",
            "worker",
            other.entry.id(),
            "incarnation",
            other.entry.incarnation(),
            "by",
            entry.id(),
            "newIncarnation",
            entry.incarnation());
        endIncarnation(other);
      }
    }
    Worker worker =
        markJobRowWorkerListed(entry).orElseGet(() -> new Worker(entry, predecessorLeaseEndMillis));
    workersById.put(entry.id(), worker);
    index = null;
    if (previous != null) {
      moveTasks(previous, worker);
    }
    log.log(
        "worker.listed",
        "worker",
        entry.id(),
        "incarnation",
        entry.incarnation(),
        "pool",
        entry.pool(),
        "machine",
        entry.vm(),
        "rack",
        entry.rack(),
        "draining",
        entry.draining());
  }

  /**
   * Moves all tasks to the next incarnation with the same id. Commands sent shortly before the
   * restart may have reached the new incarnation, so its reports decide about these tasks.
   */
  private void moveTasks(Worker from, Worker to) {
    log.log(
        "worker.restarted",
        "worker",
        to.entry.id(),
        "incarnation",
        from.entry.incarnation(),
        "newIncarnation",
        to.entry.incarnation(),
        "tasks",
        from.tasks().size());
    for (Task task : from.tasks()) {
      from.remove(task);
      task.moveToRestartedWorker(to);
    }
    from.ended = true;
    from.listed = false;
    index = null;
  }

  /** Registers an incarnation that responded to a request to an earlier one with the same id. */
  void registerRestart(Worker worker, long incarnation) {
    if (workersById.get(worker.entry.id()) != worker || incarnation <= worker.entry.incarnation()) {
      return;
    }
    WorkerEntry current = worker.entry;
    registerIncarnation(
        new WorkerEntry(
            current.id(),
            incarnation,
            current.pool(),
            current.address(),
            current.zone(),
            current.vm(),
            current.rack(),
            current.labels(),
            current.capacity(),
            current.draining()),
        worker);
  }

  /** Returns this incarnation, now as listed, if it was known only from a job's row. */
  private Optional<Worker> markJobRowWorkerListed(WorkerEntry entry) {
    for (Worker worker : jobRowWorkers) {
      boolean isSame =
          worker.entry.id().equals(entry.id()) && worker.entry.incarnation() == entry.incarnation();
      if (isSame && !worker.ended) {
        jobRowWorkers.remove(worker);
        worker.entry = entry;
        worker.listed = true;
        index = null;
        return Optional.of(worker);
      }
    }
    return Optional.empty();
  }

  private void markUnlisted(String id) {
    Worker worker = workersById.get(id);
    if (worker == null || !worker.listed) {
      return;
    }
    worker.listed = false;
    index = null;
    log.log(
        "worker.unlisted",
        "worker",
        id,
        "draining",
        worker.entry.draining(),
        "tasks",
        worker.tasks().size());
    if (worker.isEmpty()) {
      workersById.remove(id);
    }
  }

  /** Removes a worker whose incarnation has ended, and has its tasks released. */
  void endIncarnation(Worker worker) {
    worker.ended = true;
    worker.listed = false;
    index = null;
    if (workersById.get(worker.entry.id()) == worker) {
      workersById.remove(worker.entry.id());
    }
    onEnd.accept(worker);
  }
}
