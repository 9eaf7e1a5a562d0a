package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RowStore;
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
  /** Address of a worker known only from a job's row; its port 0 marks it as unreachable. */
  private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);

  private final EventLog log;
  private final RowFormats formats;
  private final WorkerListFeed listFeed;
  private final Consumer<Worker> onEnd;

  /** Workers that are listed, or that were listed and may still run tasks. */
  private final Map<String, Worker> workersById = new HashMap<>();

  /** Workers that the rows of jobs name and that have not been listed. */
  private final List<Worker> jobRowWorkers = new ArrayList<>();

  /** Ids of list entries that could not be read and have been logged. */
  private final Set<String> unreadableWorkerIds = new HashSet<>();

  /** The workers by pool and by VM; null after a change until the next lookup. */
  private WorkerIndex index;

  private long predecessorLeaseEndMillis; // monotonic

  WorkerRegistry(
      RowStore store, FleetClock clock, EventLog log, RowFormats formats, Consumer<Worker> onEnd) {
    this.log = log;
    this.formats = formats;
    this.listFeed =
        new WorkerListFeed(
            store,
            clock,
            log,
            formats.workerTable(),
            new WorkerListFeed.Listener() {
              @Override
              public void onWholeList(ImmutableList<StoredRow> rows) {
                applyWholeList(rows);
              }

              @Override
              public void onChanges(ImmutableList<StoredRow> rows) {
                applyChanges(rows);
              }
            });
    this.onEnd = onEnd;
  }

  /**
   * Removes all workers, so that the whole list is read again.
   *
   * @param leaseEndMillis when all leases of earlier schedulers have expired, monotonic ms
   */
  void reset(long leaseEndMillis) {
    listFeed.reset();
    workersById.clear();
    jobRowWorkers.clear();
    index = null;
    predecessorLeaseEndMillis = leaseEndMillis;
  }

  /** Returns whether the list has been read at least once. */
  boolean isLoaded() {
    return listFeed.isLoaded();
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

  /** Reads the list if that is due; see {@link WorkerListFeed#pollIfDue}. */
  void pollIfDue(long nowMillis, boolean isChangeOverdue) {
    boolean isAnyRemoved =
        jobRowWorkers.removeIf(
            worker -> worker.isEmpty() && (worker.ended || worker.consecutiveCallFailures > 0));
    if (isAnyRemoved) {
      index = null;
    }
    listFeed.pollIfDue(nowMillis, isChangeOverdue);
  }

  private void applyWholeList(ImmutableList<StoredRow> rows) {
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
  }

  private void applyChanges(ImmutableList<StoredRow> rows) {
    for (StoredRow row : rows) {
      if (row.deleted()) {
        markUnlisted(row.key().key());
      } else {
        applyRow(row);
      }
    }
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
