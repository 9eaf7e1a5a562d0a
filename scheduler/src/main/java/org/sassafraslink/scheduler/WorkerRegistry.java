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
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.incarnation.FencingToken;
import org.sassafraslink.scheduler.incarnation.FormerIncarnations;
import org.sassafraslink.scheduler.incarnation.LateCommandBounds;
import org.sassafraslink.scheduler.incarnation.StartDoubt;
import org.sassafraslink.scheduler.incarnation.UnknownLeases;

/**
 * Holds the workers that may run tasks: those in the platform's worker list, and incarnations that
 * are not listed and whose tasks may still run.
 *
 * <p>No entry of the list ends an incarnation, since other software may have written the entry. An
 * incarnation has ended when its worker has responded in a later one, when another worker has
 * responded at its address, or when a command to its VM was accepted. Until one of these is known,
 * it keeps its tasks; they are released when its lease has expired.
 */
final class WorkerRegistry {
  /** Address of a worker known only from a job's row; its port 0 marks it as unreachable. */
  private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);

  private final FleetClock clock;
  private final EventLog log;
  private final RowFormats formats;
  private final WorkerListFeed listFeed;
  private final long longestOwnLeaseMillis;
  private final LateCommandBounds lateCommands;
  private final Predicate<String> leaseWithheld;
  private final Listener listener;

  /** Workers that are listed, or that were listed and may still run tasks. */
  private final Map<String, Worker> workersById = new HashMap<>();

  /**
   * Incarnations that may still run tasks and are not the one registered under their id: those that
   * only the rows of jobs name, and those whose id is listed with another incarnation.
   */
  private final List<Worker> detachedWorkers = new ArrayList<>();

  /** Ids of list entries that could not be read and have been logged. */
  private final Set<String> unreadableWorkerIds = new HashSet<>();

  /** The workers by pool and by VM; null after a change until the next lookup. */
  private WorkerIndex index;

  private final FormerIncarnations formerIncarnations;

  /** When the scheduler before this one sends no more commands, monotonic ms. */
  private long predecessorEndMillis;

  /**
   * From when on the last leases last that earlier schedulers can have granted to workers,
   * monotonic ms.
   */
  private long predecessorGrantMillis;

  /** The number of registrations of incarnations in this epoch. */
  private long registrations;

  /** Receives changes of workers with tasks; called on the scheduler's thread. */
  interface Listener {
    /** Called when an incarnation has ended and no longer runs any of its tasks. */
    void onEnded(Worker worker);

    /**
     * Called when a worker has restarted, before the tasks of the earlier incarnation are moved to
     * the new one. Tasks whose start has not been sent must be released.
     */
    void onRestarted(Worker earlier);
  }

  /**
   * Creates a registry without workers.
   *
   * @param longestOwnLeaseMillis how long after a command to an incarnation a lease that it granted
   *     to this incarnation may last, in true time
   * @param leaseWithheld whether a worker, by its id, gets no lease beyond those it has
   */
  WorkerRegistry(
      RowStore store,
      FleetClock clock,
      EventLog log,
      RowFormats formats,
      long longestOwnLeaseMillis,
      LateCommandBounds lateCommands,
      Predicate<String> leaseWithheld,
      Listener listener) {
    this.longestOwnLeaseMillis = longestOwnLeaseMillis;
    this.lateCommands = lateCommands;
    this.leaseWithheld = leaseWithheld;
    this.formerIncarnations = FormerIncarnations.create(lateCommands);
    this.clock = clock;
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
    this.listener = listener;
  }

  /**
   * Removes all workers, so that the whole list is read again.
   *
   * @param predecessorEndMillis when earlier schedulers send no more commands, monotonic ms
   * @param predecessorGrantMillis from when on the last leases last that they can have granted,
   *     monotonic ms
   */
  void reset(long predecessorEndMillis, long predecessorGrantMillis) {
    listFeed.reset();
    workersById.clear();
    detachedWorkers.clear();
    index = null;
    this.predecessorEndMillis = predecessorEndMillis;
    this.predecessorGrantMillis = predecessorGrantMillis;
    registrations = 0;
    formerIncarnations.clear();
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
      index = WorkerIndex.of(workersById.values(), detachedWorkers);
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
      registered.namedInLaterIncarnation |= incarnation > registered.entry.incarnation();
      return registered;
    }
    for (Worker worker : detachedWorkers) {
      boolean isSame = worker.entry.id().equals(id) && worker.entry.incarnation() == incarnation;
      if (isSame) {
        return worker;
      }
    }
    WorkerEntry entry =
        new WorkerEntry(
            id, incarnation, "", NO_ADDRESS, "", "", "", ImmutableList.of(), Resources.NONE, false);
    Worker worker = createWorkerWithoutEntry(entry);
    worker.listed = false;
    detachedWorkers.add(worker);
    index = null;
    return worker;
  }

  /** Reads the list if that is due; see {@link WorkerListFeed#pollIfDue}. */
  void pollIfDue(long nowMillis, boolean isChangeOverdue) {
    for (Worker worker : List.copyOf(detachedWorkers)) {
      if (worker.isEmpty() && (worker.ended || worker.consecutiveCallFailures > 0)) {
        detachedWorkers.remove(worker);
        formerIncarnations.add(worker.entry.id(), nowMillis);
        index = null;
      }
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
    if (registered != null && registered.entry.incarnation() == entry.get().incarnation()) {
      applyEntry(registered, entry.get(), row.version());
      return;
    }
    boolean isOutdated =
        registered != null
            && registered.confirmed
            && registered.entry.incarnation() > entry.get().incarnation();
    if (!isOutdated) {
      if (registered != null) {
        detach(registered);
      }
      register(entry.get());
    }
  }

  private void applyEntry(Worker worker, WorkerEntry entry, long version) {
    if (entry.draining() && !worker.entry.draining()) {
      log.log("worker.draining", "worker", entry.id(), "version", version);
    }
    if (!worker.listed) {
      log.log("worker.listed_again", "worker", entry.id(), "version", version);
    }
    worker.applyEntry(entry);
    worker.hasOwnEntry = true;
    worker.listed = true;
    index = null;
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

  /**
   * Creates a worker. If it does not report, the leases that earlier schedulers granted it are
   * known only by the last renewal of theirs, and those from commands to earlier incarnations by
   * the time at which these schedulers ended, unless the row of a job says more.
   */
  private Worker createWorker(WorkerEntry entry) {
    long ageMillis = clock.wallMillis() - entry.incarnation();
    long sincePredecessorMillis = clock.monotonicMillis() - predecessorEndMillis;
    long inheritedLeaseMillis =
        lateCommands.inheritedLeaseMillis(ageMillis - sincePredecessorMillis);
    long inheritedEndMillis =
        predecessorEndMillis + LateCommandBounds.longestTrueMillis(inheritedLeaseMillis);
    Worker worker =
        new Worker(
            entry,
            predecessorGrantMillis + longestOwnLeaseMillis,
            inheritedLeaseMillis > 0 ? inheritedEndMillis : 0);
    worker.followsKnownIncarnation = hasKnownIncarnation(entry.id(), clock.monotonicMillis());
    worker.withholdLeaseWhile(() -> leaseWithheld.test(entry.id()));
    return worker;
  }

  /** Returns until when a silent worker may hold leases that earlier schedulers granted. */
  UnknownLeases unknownLeasesOf(Worker worker) {
    WorkerLease lease = worker.lease();
    return new UnknownLeases(
        predecessorGrantMillis, lease.unknownLeasesEndMillis(), lease.unknownInheritedEndMillis());
  }

  /**
   * Returns whether the end of a worker's leases, as known here, bounds each lease that any
   * incarnation with its id may hold. Commands to another incarnation may still grant one unless
   * this one has reported, which closes the matter.
   */
  boolean isLeaseEndCertain(Worker worker) {
    String id = worker.entry.id();
    boolean isOnlyOne =
        findById(id).map(registered -> registered == worker).orElse(true)
            && detachedWorkers.stream()
                .allMatch(other -> other == worker || !other.entry.id().equals(id));
    boolean hasReported = worker.lease().onWorkerClock().isPresent();
    return isOnlyOne
        && !formerIncarnations.contains(id, clock.monotonicMillis())
        && !worker.laterIncarnationSeen
        && !worker.namedInLaterIncarnation
        && (hasReported || !worker.followsKnownIncarnation);
  }

  /** Creates a worker whose kind is unknown until its own entry is read. */
  private Worker createWorkerWithoutEntry(WorkerEntry substitute) {
    Worker worker = createWorker(substitute);
    worker.hasOwnEntry = false;
    return worker;
  }

  /** Returns whether a command to an earlier incarnation may have an effect in a new one. */
  private boolean mayHaveFormerIncarnation(String id, long nowMillis) {
    return hasKnownIncarnation(id, nowMillis)
        || nowMillis <= lateCommands.lateRunEndMillis(predecessorEndMillis);
  }

  private boolean hasKnownIncarnation(String id, long nowMillis) {
    return workersById.containsKey(id)
        || detachedWorkers.stream().anyMatch(worker -> worker.entry.id().equals(id))
        || formerIncarnations.contains(id, nowMillis);
  }

  /** Makes an incarnation the one that is registered under its id. */
  private void putRegistered(Worker worker) {
    if (!worker.hasReported) {
      worker.mayHaveInheritedLease =
          mayHaveFormerIncarnation(worker.entry.id(), clock.monotonicMillis());
    }
    registrations++;
    worker.registration = registrations;
    worker.listed = true;
    worker.registeredMillis = clock.monotonicMillis();
    workersById.put(worker.entry.id(), worker);
    index = null;
  }

  /** Returns the doubt about starts that an earlier scheduler has sent. */
  StartDoubt doubtAboutPredecessor() {
    return StartDoubt.NONE.afterSending(lateCommands, predecessorEndMillis);
  }

  /**
   * Takes into account that all commands with a lease that were sent to an incarnation may prolong
   * a run on a later one that a start of the task has begun there.
   */
  void prolongDoubt(Task task, Worker worker) {
    task.startDoubt = task.startDoubt.prolongedBy(lateCommands, worker.lastLeaseSentMillis);
  }

  /** Returns whether so many incarnations were registered that a new epoch has to begin. */
  boolean isEpochUsedUp() {
    return FencingToken.isEpochUsedUp(registrations);
  }

  /**
   * Returns whether commands with a higher token may have been sent to another incarnation of this
   * worker, so that a rejection of a command with this one does not show that another process
   * schedules. The other one may be registered no longer.
   */
  boolean isSuperseded(Worker worker, long registration) {
    Worker registered = workersById.get(worker.entry.id());
    return registered == null || registered.registration > registration;
  }

  /** Returns whether a later incarnation of a worker is listed or has responded. */
  boolean hasLaterIncarnation(Worker worker) {
    Worker registered = workersById.get(worker.entry.id());
    return worker.laterIncarnationSeen
        || (registered != null && registered.entry.incarnation() > worker.entry.incarnation());
  }

  /** Registers the incarnation that an entry shows, and has the workers asked that it replaces. */
  private void register(WorkerEntry entry) {
    Worker worker =
        takeDetached(entry.id(), entry.incarnation()).orElseGet(() -> createWorker(entry));
    worker.applyEntry(entry);
    worker.hasOwnEntry = true;
    putRegistered(worker);
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
        "address",
        entry.address(),
        "rack",
        entry.rack(),
        "draining",
        entry.draining());
    suspectReplacements(worker);
  }

  /**
   * Has the workers asked whose VM or address a later incarnation has by its entry, among them
   * {@code worker}, which was just registered.
   */
  private void suspectReplacements(Worker worker) {
    WorkerEntry entry = worker.entry;
    // Not through the index, which each registration of a full read would have to build again.
    List<Worker> others = new ArrayList<>(workersById.values());
    others.addAll(detachedWorkers);
    for (Worker other : others) {
      boolean hasSamePlace =
          !other.entry.id().equals(entry.id())
              && ((!entry.vm().isEmpty() && other.entry.vm().equals(entry.vm()))
                  || other.entry.address().equals(entry.address()));
      if (hasSamePlace && other.entry.incarnation() < entry.incarnation()) {
        suspectReplacement(other, worker);
      } else if (hasSamePlace && other.listed) {
        suspectReplacement(worker, other);
      }
    }
  }

  private void suspectReplacement(Worker earlier, Worker later) {
    log.log(
        "worker.replacement_suspected",
        "worker",
        earlier.entry.id(),
        "incarnation",
        earlier.entry.incarnation(),
        "by",
        later.entry.id(),
        "newIncarnation",
        later.entry.incarnation(),
        "sameAddress",
        earlier.entry.address().equals(later.entry.address()),
        "tasks",
        earlier.tasks().size());
    earlier.suspectReplacement(clock.monotonicMillis());
    index = null;
  }

  /**
   * Applies that a worker has responded as an incarnation, and registers this incarnation if the
   * list shows another one. The tasks of its earlier incarnations are moved to it.
   *
   * @param responding the incarnation to which the request was sent
   * @param sentMillis when the request was sent, monotonic ms
   */
  void confirmIncarnation(Worker responding, long incarnation, long sentMillis) {
    Worker registered = workersById.get(responding.entry.id());
    if (registered == null) {
      return;
    }
    Worker confirmed = registered;
    if (registered.entry.incarnation() != incarnation) {
      if (!isNewerThanRegistered(registered, incarnation, sentMillis)) {
        return;
      }
      confirmed = registerConfirmed(responding, incarnation);
      moveTasks(registered, confirmed);
    }
    confirmed.confirmed = true;
    if (confirmed.endDisprovedSuspicion(sentMillis)) {
      index = null;
    }
    for (Worker other : List.copyOf(detachedWorkers)) {
      boolean isEarlier =
          other.entry.id().equals(confirmed.entry.id())
              && other.entry.incarnation() < confirmed.entry.incarnation();
      if (isEarlier) {
        detachedWorkers.remove(other);
        moveTasks(other, confirmed);
      }
    }
  }

  /**
   * Returns whether a response says more about a worker than its registered incarnation. One that
   * only an entry shows is disproved by a response to a later request.
   */
  private static boolean isNewerThanRegistered(
      Worker registered, long incarnation, long sentMillis) {
    return incarnation > registered.entry.incarnation()
        || (!registered.confirmed && sentMillis >= registered.registeredMillis);
  }

  /** Registers an incarnation that has responded to a request to {@code responding}. */
  private Worker registerConfirmed(Worker responding, long incarnation) {
    WorkerEntry entry = responding.entry.withIncarnation(incarnation);
    Worker worker =
        takeDetached(entry.id(), incarnation).orElseGet(() -> createWorkerWithoutEntry(entry));
    if (!worker.confirmed) {
      worker.applyEntry(entry);
    }
    putRegistered(worker);
    return worker;
  }

  /**
   * Moves all tasks to another incarnation with the same id. Commands sent shortly before a restart
   * may have reached the new incarnation, so its reports decide about these tasks.
   */
  private void moveTasks(Worker from, Worker to) {
    boolean isRestart = from.entry.incarnation() < to.entry.incarnation();
    log.log(
        isRestart ? "worker.restarted" : "worker.entry_disproved",
        "worker",
        to.entry.id(),
        "incarnation",
        from.entry.incarnation(),
        "newIncarnation",
        to.entry.incarnation(),
        "tasks",
        from.tasks().size());
    listener.onRestarted(from);
    to.keepTasksUntil(from.lease().latestExpiryMillis());
    for (Task task : from.tasks()) {
      from.remove(task);
      prolongDoubt(task, from);
      task.moveToRestartedWorker(to);
    }
    from.ended = true;
    from.listed = false;
    index = null;
  }

  /** Keeps an incarnation, whose id is listed with another one, until it is known which runs. */
  private void detach(Worker worker) {
    worker.listed = false;
    if (worker.confirmed || !worker.isEmpty()) {
      detachedWorkers.add(worker);
    } else {
      // Responses to its requests are ignored, since another incarnation is asked in its place.
      worker.ended = true;
    }
  }

  /** Removes this incarnation from the detached ones, and returns it. */
  private Optional<Worker> takeDetached(String id, long incarnation) {
    Optional<Worker> found =
        detachedWorkers.stream()
            .filter(worker -> worker.entry.id().equals(id) && !worker.ended)
            .filter(worker -> worker.entry.incarnation() == incarnation)
            .findFirst();
    found.ifPresent(detachedWorkers::remove);
    return found;
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
      formerIncarnations.add(id, clock.monotonicMillis());
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
    formerIncarnations.add(worker.entry.id(), clock.monotonicMillis());
    listener.onEnded(worker);
  }
}
