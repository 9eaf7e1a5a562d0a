package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmReply;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.api.log.EventLog;

/**
 * Drains the VMs of the requested waves and commands the platform to start their maintenance.
 *
 * <p>A VM is drained first: its worker gets no new tasks, its short tasks (those that are not
 * long-running) may end, and its long-running tasks are stopped when {@link Availability} allows it
 * and {@link LongRunningRelocations} holds a place for them elsewhere. Short tasks are stopped too
 * if they run for longer than {@link WavePace#drainMillis} after the drain has begun.
 */
final class MaintenanceController {
  /** Delay before a failed command for the maintenance of a VM is repeated, in ms. */
  private static final long RETRY_DELAY_MILLIS = 400;

  /** How much longer than a move or the maintenance of a VM one that has left is absent, in ms. */
  private static final long ABSENCE_MARGIN_MILLIS = 1_000;

  private static final String CORDON_REASON_PREFIX = "wave ";

  /** The operations of the scheduler that this class and {@link VmMover} call. */
  interface Actions {
    /** Stops the current attempt of a task. */
    void stopTask(Task task, String reason);

    /** Called when a worker has ended because its VM is moved or taken down. */
    void onWorkerEnded(Worker worker);

    /** Called when the platform has rejected a command because of its fencing token. */
    void onFenced();

    /** Writes the status of a wave for the operator, and repeats the write until it succeeds. */
    void writeWaveStatus(long wave, boolean completed);
  }

  private final VmClient vmClient;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final SchedulerSettings settings;
  private final WorkerRegistry workers;
  private final VmInventory vmInventory;
  private final VmCommandLog vmCommandLog;
  private final LongRunningRelocations relocations;
  private final Actions actions;

  private final WaveProgressRows progressRows;
  private final AcceptedMaintenance acceptedMaintenance;

  /** The requested waves, by their number. */
  private final Map<Long, Wave> requestedWaves = new LinkedHashMap<>();

  private final Map<Long, WaveProgress> progressByWave = new LinkedHashMap<>();
  private final Map<String, Long> retryAtMillis = new HashMap<>();
  private boolean commandPending;

  /** The VM of the pending command, which counts as down; empty if no command is pending. */
  private String commandedVm = "";

  /** When long-running tasks may first be stopped, monotonic ms. */
  private long stopsAllowedFromMillis;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  MaintenanceController(
      VmClient vmClient,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      SchedulerSettings settings,
      WorkerRegistry workers,
      VmInventory vmInventory,
      VmCommandLog vmCommandLog,
      LongRunningRelocations relocations,
      WaveProgressRows progressRows,
      Actions actions) {
    this.vmClient = vmClient;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.settings = settings;
    this.workers = workers;
    this.vmInventory = vmInventory;
    this.vmCommandLog = vmCommandLog;
    this.relocations = relocations;
    this.progressRows = progressRows;
    this.actions = actions;
    this.acceptedMaintenance =
        new AcceptedMaintenance(settings.maintenanceMillis(), new AcceptedMaintenanceListener());
  }

  private final class AcceptedMaintenanceListener implements AcceptedMaintenance.Listener {
    @Override
    public void onEnded(Worker worker) {
      actions.onWorkerEnded(worker);
    }

    @Override
    public void onStillUp(Worker worker) {
      // The list may be outdated, so the worker gets tasks only once it has responded.
      worker.suspectReplacement(clock.monotonicMillis());
      worker.cordonReason = "";
    }
  }

  /** Discards all progress, because this process has just acquired the scheduling lease. */
  void reset() {
    generation++;
    commandPending = false;
    commandedVm = "";
    retryAtMillis.clear();
    requestedWaves.clear();
    progressByWave.clear();
    progressRows.reset();
    acceptedMaintenance.reset();
  }

  /** Sets when long-running tasks may first be stopped; see {@link Availability}. */
  void onJobsRestored(long nowMillis) {
    stopsAllowedFromMillis = Availability.earliestStopMillis(nowMillis, settings.maxStopMillis());
  }

  /** Adds the requested waves that have not been added before. */
  void addWaves(Iterable<Wave> requested) {
    requested.forEach(wave -> requestedWaves.putIfAbsent(wave.number(), wave));
  }

  /** Starts or resumes the requested waves, once the progress under earlier schedulers is read. */
  private void startRequestedWaves(long nowMillis) {
    if (progressRows.isLoaded() && progressByWave.size() < requestedWaves.size()) {
      requestedWaves.forEach(
          (number, wave) ->
              progressByWave.computeIfAbsent(number, added -> startOrResume(wave, nowMillis)));
    }
  }

  private WaveProgress startOrResume(Wave wave, long nowMillis) {
    long wallMillis = clock.wallMillis();
    WaveProgress progress =
        progressRows
            .find(wave.number())
            .map(
                stored ->
                    WaveProgress.resume(wave, stored, nowMillis, wallMillis, minAbsenceMillis()))
            .orElseGet(() -> WaveProgress.start(wave, nowMillis, wallMillis, minAbsenceMillis()));
    progressRows.record(wave.number(), progress.toRow());
    log.log(
        "wave.seen",
        "wave",
        wave.number(),
        "machines",
        wave.vms().size(),
        "remaining",
        progress.remainingVms().size(),
        "maxDown",
        wave.maxDown(),
        "seconds",
        wave.durationSeconds());
    return progress;
  }

  /** Returns for how long a VM must be absent from the list to count as left. */
  private long minAbsenceMillis() {
    return Math.max(settings.maintenanceMillis(), settings.moveMillis()) + ABSENCE_MARGIN_MILLIS;
  }

  private boolean isListed(String vm) {
    return vmInventory.findVm(vm).isPresent();
  }

  private void recordHandled(WaveProgress progress, String vm) {
    progress.handledVms.add(vm);
    progressRows.record(progress.wave.number(), progress.toRow());
  }

  /** Returns whether a requested wave contains a VM and may still have to take it down. */
  boolean isDueForMaintenance(String vm) {
    return progressByWave.values().stream()
        .anyMatch(progress -> progress.vms.contains(vm) && !progress.handledVms.contains(vm));
  }

  /**
   * Drains VMs of all uncompleted waves and sends the commands for their maintenance. While a wave
   * has time to spare, it does not begin to drain a VM with tasks if its pool has a backlog.
   *
   * @param isCapacityScarce whether a pool waits for VMs; see {@link WavePace#downAtOnce}
   */
  void advanceWaves(Backlog backlog, boolean isCapacityScarce, long nowMillis) {
    progressRows.readOrWriteIfDue(nowMillis);
    acceptedMaintenance.applyList(vmInventory);
    startRequestedWaves(nowMillis);
    progressByWave.values().forEach(progress -> progress.reopenIfListed(this::isListed));
    boolean hasUncompletedWave =
        progressByWave.values().stream().anyMatch(progress -> !progress.completedReported);
    if (!hasUncompletedWave || !lease.isValid()) {
      return;
    }
    vmInventory.refreshIfDue(nowMillis);
    if (vmInventory.isFresh(nowMillis)) {
      progressByWave.values().stream()
          .filter(progress -> !progress.completedReported)
          .forEach(progress -> advanceWave(progress, backlog, isCapacityScarce, nowMillis));
    }
  }

  private void advanceWave(
      WaveProgress progress, Backlog backlog, boolean isCapacityScarce, long nowMillis) {
    if (!progress.runningReported) {
      progress.runningReported = true;
      actions.writeWaveStatus(progress.wave.number(), false);
    }
    progress
        .downSinceMillis
        .keySet()
        .removeIf(vm -> !vm.equals(commandedVm) && isUpOrUnlisted(progress, vm));
    List<String> remaining = progress.remainingVms();
    progress.departures.applyList(remaining, this::isListed, vmInventory.listRequestedMillis());
    if (remaining.stream().allMatch(progress.departures::hasLeft)) {
      complete(progress, nowMillis);
      return;
    }
    remaining.removeIf(vm -> !isListed(vm));
    if (remaining.isEmpty()) {
      return;
    }
    WavePace pace = paceOf(progress, remaining.size(), nowMillis);
    if (pace.canWait()) {
      remaining.removeIf(vm -> isNeededByBacklog(vm, backlog));
    }
    drainAndMaintainVms(progress, remaining, pace, pace.downAtOnce(isCapacityScarce), nowMillis);
  }

  private void complete(WaveProgress progress, long nowMillis) {
    progress.complete();
    progressRows.record(progress.wave.number(), progress.toRow());
    log.log(
        "wave.completed",
        "wave",
        progress.wave.number(),
        "after",
        nowMillis - progress.firstSeenMillis,
        "left",
        progress.leftVms);
    actions.writeWaveStatus(progress.wave.number(), true);
  }

  private WavePace paceOf(WaveProgress progress, int remaining, long nowMillis) {
    return new WavePace(
        (long) (progress.wave.durationSeconds() * 1_000),
        nowMillis - progress.firstSeenMillis,
        remaining,
        progress.wave.maxDown(),
        settings.maintenanceMillis());
  }

  /** Returns whether a VM has tasks and is not being drained, while its pool has a backlog. */
  private boolean isNeededByBacklog(String vm, Backlog backlog) {
    return workers
        .listedOnVm(vm)
        .filter(worker -> !worker.isSafeToRemove() && worker.isOpenForTasks())
        .map(worker -> backlog.forPool(worker.entry.pool()).tasks() > 0)
        .orElse(false);
  }

  /**
   * Returns whether the list shows the VM as up or no longer contains it. A list requested soon
   * after the command is not relied on, since it may still show the VM as up.
   */
  private boolean isUpOrUnlisted(WaveProgress progress, String vm) {
    long commandMillis = progress.downSinceMillis.get(vm);
    boolean isListNewer =
        vmInventory.listRequestedMillis() > commandMillis + settings.maintenanceMillis() / 2;
    return isListNewer
        && vmInventory.findVm(vm).map(found -> found.state() == VmState.UP).orElse(true);
  }

  private int countDownVms(WaveProgress progress) {
    Set<String> down = new HashSet<>(progress.downSinceMillis.keySet());
    for (Vm vm : vmInventory.vms()) {
      if (vm.state() == VmState.IN_MAINTENANCE && progress.vms.contains(vm.id())) {
        down.add(vm.id());
      }
    }
    return down.size();
  }

  private void drainAndMaintainVms(
      WaveProgress progress, List<String> remaining, WavePace pace, int maxDown, long nowMillis) {
    remaining.sort(Comparator.comparingDouble(this::drainCost));
    int down = countDownVms(progress);
    // Other VMs are drained while some are down, so that their maintenance can start at once when
    // those are up again.
    int slots = maxDown;
    for (String vm : remaining) {
      Optional<Worker> worker = workers.listedOnVm(vm);
      if (slots == 0) {
        break;
      }
      if (worker.filter(found -> isKeptOpen(found, nowMillis)).isPresent()) {
        continue;
      }
      if (worker.filter(MaintenanceController::isStuck).isEmpty()) {
        slots--;
      }
      worker.ifPresent(found -> cordonWorker(found, progress, nowMillis));
      boolean isEmpty = worker.map(Worker::isSafeToRemove).orElse(true);
      boolean isUp = vmInventory.findVm(vm).map(found -> found.state() == VmState.UP).orElse(false);
      if (isEmpty && isUp && down < maxDown) {
        if (requestMaintenance(progress, vm, nowMillis)) {
          down++;
        }
      } else if (!isEmpty) {
        drainWorker(worker.get(), nowMillis, pace.drainMillis());
      }
    }
  }

  private boolean isKeptOpen(Worker worker, long nowMillis) {
    return worker.cordonReason.isEmpty()
        && !mayGoDown(worker.entry.vm())
        && !relocations.mayDrain(worker, nowMillis);
  }

  /** Returns whether a command that has or may have been sent may still take a VM down. */
  private boolean mayGoDown(String vm) {
    return vm.equals(commandedVm)
        || acceptedMaintenance.contains(vm)
        || progressByWave.values().stream()
            .anyMatch(progress -> progress.downSinceMillis.containsKey(vm));
  }

  /** Returns whether a long-running task on a drained worker has lost its destination. */
  private static boolean isStuck(Worker worker) {
    return worker.tasks().stream()
        .anyMatch(
            task ->
                task.step.longRunning()
                    && task.phase == TaskPhase.RUNNING
                    && task.destination == null);
  }

  /** Returns whether a worker is drained for a wave and no command may take its VM down. */
  boolean mayReopen(Worker worker) {
    return worker.cordonReason.startsWith(CORDON_REASON_PREFIX) && !mayGoDown(worker.entry.vm());
  }

  /** Opens a worker for tasks again that is drained for a wave. */
  void reopen(Worker worker) {
    log.log("worker.reopened", "worker", worker.entry.id(), "machine", worker.entry.vm());
    worker.cordonReason = "";
  }

  private void cordonWorker(Worker worker, WaveProgress progress, long nowMillis) {
    if (worker.cordonReason.isEmpty()) {
      worker.cordonReason = CORDON_REASON_PREFIX + progress.wave.number();
      worker.cordonedMillis = nowMillis;
      log.log(
          "worker.cordoned",
          "worker",
          worker.entry.id(),
          "machine",
          worker.entry.vm(),
          "wave",
          progress.wave.number(),
          "tasks",
          worker.tasks().size());
    }
  }

  /** Stops running tasks: long-running ones when allowed, short ones after {@code drainMillis}. */
  private void drainWorker(Worker worker, long nowMillis, long drainMillis) {
    boolean isOverdue = nowMillis - worker.cordonedMillis > drainMillis;
    for (Task task : worker.tasks()) {
      if (task.phase != TaskPhase.RUNNING) {
        continue;
      }
      if (task.step.longRunning()) {
        if (nowMillis >= stopsAllowedFromMillis
            && relocations.hasPlace(task, nowMillis)
            && Availability.allowsStop(task, nowMillis)) {
          actions.stopTask(task, "wave");
        }
      } else if (isOverdue) {
        actions.stopTask(task, "wave_overdue");
      }
    }
  }

  /**
   * Returns the sort key of a VM, lowest first: VMs without a worker, VMs already being drained,
   * then the others by the tasks on them, of which a long-running one counts ten times.
   */
  private double drainCost(String vm) {
    Optional<Worker> worker = workers.listedOnVm(vm);
    if (worker.isEmpty()) {
      return -2;
    }
    if (!worker.get().cordonReason.isEmpty()) {
      // A drain that has begun is completed before another begins.
      return -1;
    }
    double cost = 0;
    for (Task task : worker.get().tasks()) {
      cost += task.step.longRunning() ? 10 : 1;
    }
    return cost;
  }

  /** Commands the maintenance of an empty VM, or returns false if the command must wait. */
  private boolean requestMaintenance(WaveProgress progress, String vm, long nowMillis) {
    boolean isDue =
        nowMillis >= retryAtMillis.getOrDefault(vm, Long.MIN_VALUE)
            && vmCommandLog.maySendCommand(vm, nowMillis);
    if (commandPending || !isDue || !lease.isValid()) {
      return false;
    }
    commandPending = true;
    commandedVm = vm;
    progress.downSinceMillis.put(vm, nowMillis);
    vmInventory.recordCommand(vm);
    long sentGeneration = generation;
    Consumer<Either<CallFailure, VmReply>> onResponse =
        response -> {
          if (generation == sentGeneration) {
            commandPending = false;
            commandedVm = "";
            // The record of the command, which comes first, may have taken long.
            progress.downSinceMillis.put(vm, clock.monotonicMillis());
            vmInventory.recordAnswer(vm, clock.monotonicMillis());
            applyResponse(progress, vm, response);
          }
        };
    vmCommandLog.recordVm(
        vm,
        authority ->
            authority.ifPresentOrElse(
                granted ->
                    vmClient.startMaintenance(vm, progress.wave.number(), granted, onResponse),
                () -> onResponse.accept(Either.left(CallFailure.NOT_PERFORMED))));
    return true;
  }

  private void applyResponse(
      WaveProgress progress, String vm, Either<CallFailure, VmReply> response) {
    // It may have restarted since the command was sent.
    Optional<Worker> worker = workers.listedOnVm(vm);
    log.log(
        "wave.order_answered",
        "wave",
        progress.wave.number(),
        "machine",
        vm,
        "answer",
        response,
        "listAge",
        clock.monotonicMillis() - vmInventory.listRequestedMillis());
    boolean isOutcomeUnknown =
        response.isLeft() && response.getLeft() == CallFailure.OUTCOME_UNKNOWN;
    boolean isAccepted = response.isRight() && response.get() == VmReply.ACCEPTED;
    if (isAccepted) {
      recordHandled(progress, vm);
      worker.ifPresent(
          found -> {
            cordonWorker(found, progress, clock.monotonicMillis());
            acceptedMaintenance.add(vm, found, clock.monotonicMillis());
          });
      return;
    }
    retryAtMillis.put(vm, clock.monotonicMillis() + RETRY_DELAY_MILLIS);
    if (isOutcomeUnknown) {
      // The VM may be going down, so it counts as down until the list shows it as up.
      return;
    }
    progress.downSinceMillis.remove(vm);
    if (response.isRight() && response.get() == VmReply.FENCED) {
      actions.onFenced();
    } else if (response.isRight() && response.get() == VmReply.NOT_IN_WAVE) {
      recordHandled(progress, vm);
      worker.ifPresent(found -> found.cordonReason = "");
    }
  }
}
