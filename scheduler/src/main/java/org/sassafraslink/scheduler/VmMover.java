package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.VmClient.Authority;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmReply;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.api.log.EventLog;

/**
 * Moves VMs between pools and tracks the moves until they are finished.
 *
 * <p>A move whose outcome is unknown counts as in progress until the VM appears in the target pool
 * or {@link #MOVE_TIMEOUT_MILLIS} have passed.
 */
final class VmMover {
  /** A move is no longer tracked after this time, in ms, even if its VM did not appear. */
  private static final long MOVE_TIMEOUT_MILLIS = 6_000;

  /** Delay before moving a VM again after a failed move, in ms. */
  private static final long RETRY_DELAY_MILLIS = 2_000;

  /** Added to the duration of a move, in ms, before its VM counts as overdue. */
  private static final long ARRIVAL_MARGIN_MILLIS = 150;

  /** As {@link #ARRIVAL_MARGIN_MILLIS}, before the VM is no longer counted on, in ms. */
  private static final long LATE_ARRIVAL_MARGIN_MILLIS = 1_000;

  private static final String CORDON_REASON = "move";

  /** A move to {@code pool}, requested at {@code commandMillis}, monotonic ms. */
  private record Move(String pool, long commandMillis) {}

  private final VmClient vmClient;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerSettings settings;
  private final WorkerRegistry workers;
  private final PublishedConfig config;
  private final VmInventory vmInventory;
  private final VmCommandLog vmCommandLog;
  private final MaintenanceController.Actions actions;
  private final Predicate<String> isZoneEvacuated;
  private final VmMoveRate moveRate;

  private final Map<String, Move> moves = new HashMap<>();
  private final Map<String, Long> retryAtMillis = new HashMap<>();

  /** VM and target pool, separated by a space, of each move that the platform has rejected. */
  private final Set<String> rejectedMoves = new HashSet<>();

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  VmMover(
      VmClient vmClient,
      FleetClock clock,
      EventLog log,
      SchedulerSettings settings,
      WorkerRegistry workers,
      PublishedConfig config,
      VmInventory vmInventory,
      VmCommandLog vmCommandLog,
      MaintenanceController.Actions actions,
      Predicate<String> isZoneEvacuated) {
    this.vmClient = vmClient;
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.workers = workers;
    this.config = config;
    this.vmInventory = vmInventory;
    this.vmCommandLog = vmCommandLog;
    this.actions = actions;
    this.isZoneEvacuated = isZoneEvacuated;
    this.moveRate = VmMoveRate.of(settings.vmCommandsPerSecond());
  }

  /** Discards all moves, because this process has just acquired the scheduling lease. */
  void reset() {
    generation++;
    moves.clear();
    retryAtMillis.clear();
  }

  /** Returns whether the platform's rate of commands allows a move now. */
  boolean canStartMove(long nowMillis) {
    return moveRate.allowsMove(nowMillis);
  }

  /** Returns whether a VM should have arrived in its pool, but has not been seen there. */
  boolean hasOverdueMove(long nowMillis) {
    long overdueMillis = settings.moveMillis() + ARRIVAL_MARGIN_MILLIS;
    return moves.values().stream()
        .anyMatch(move -> nowMillis - move.commandMillis() > overdueMillis);
  }

  /** Returns the number of moves in progress to a pool. */
  long countMovesTo(String pool) {
    return moves.values().stream().filter(move -> move.pool().equals(pool)).count();
  }

  /** As {@link #countMovesTo}, without VMs that should have arrived some time ago. */
  long countTimelyMovesTo(String pool, long nowMillis) {
    long arrivalMillis = settings.moveMillis() + LATE_ARRIVAL_MARGIN_MILLIS;
    return moves.values().stream()
        .filter(move -> move.pool().equals(pool))
        .filter(move -> nowMillis - move.commandMillis() <= arrivalMillis)
        .count();
  }

  /**
   * Cordons the workers on VMs with a move in progress that have not arrived in the target pool. A
   * worker may have restarted since the move began, and its new incarnation would get tasks, which
   * the move ends.
   */
  void cordonWorkers() {
    moves.forEach(
        (vm, move) ->
            workers
                .listedOnVm(vm)
                .filter(worker -> worker.cordonReason.isEmpty())
                .filter(worker -> !worker.entry.pool().equals(move.pool()))
                .ifPresent(worker -> worker.cordonReason = CORDON_REASON));
  }

  private void uncordonWorker(String vm) {
    workers
        .listedOnVm(vm)
        .filter(worker -> worker.cordonReason.equals(CORDON_REASON))
        .ifPresent(worker -> worker.cordonReason = "");
  }

  /** Removes finished moves, and uncordons the workers on their VMs. */
  void removeFinishedMoves(long nowMillis) {
    for (Map.Entry<String, Move> entry : List.copyOf(moves.entrySet())) {
      if (isFinished(entry.getKey(), entry.getValue(), nowMillis)) {
        moves.remove(entry.getKey());
        uncordonWorker(entry.getKey());
      }
    }
  }

  private boolean isFinished(String vm, Move move, long nowMillis) {
    if (!vmInventory.isLastCommandAnswered(vm)) {
      // The command may not even have been sent, and would end tasks that start meanwhile.
      return false;
    }
    // A worker that was in the pool before an earlier move has not reported since.
    boolean hasArrived =
        workers
            .listedOnVm(vm)
            .filter(worker -> worker.entry.pool().equals(move.pool()))
            .map(worker -> worker.lastAnsweredRequestMillis >= move.commandMillis())
            .orElse(false);
    // A powered-off VM has no worker that could report its arrival, so the platform's list decides.
    boolean isPoweredOff =
        vmInventory.showsLastCommand(vm)
            && vmInventory.listRequestedMillis() > move.commandMillis() + settings.moveMillis()
            && vmInventory
                .findVm(vm)
                .map(found -> found.pool().equals(move.pool()) && found.state() == VmState.UP)
                .orElse(true)
            && config.standbyPool().equals(Optional.of(move.pool()));
    return hasArrived || isPoweredOff || nowMillis - move.commandMillis() > MOVE_TIMEOUT_MILLIS;
  }

  /**
   * Returns whether a VM may be moved to a pool now, given the earlier commands to it: none is in
   * progress or too recent, and the platform has not rejected this move. The VMs of an evacuated
   * zone stay where they are: they are no capacity for another pool, and their own pool gets work
   * there again as soon as the evacuation ends.
   */
  boolean mayMove(String vm, String pool, long nowMillis) {
    boolean isEvacuated =
        vmInventory.findVm(vm).map(found -> isZoneEvacuated.test(found.zone())).orElse(false);
    return !isEvacuated
        && !moves.containsKey(vm)
        && vmCommandLog.maySendCommand(vm, nowMillis)
        && !rejectedMoves.contains(vm + " " + pool)
        && nowMillis >= retryAtMillis.getOrDefault(vm, Long.MIN_VALUE);
  }

  /**
   * Returns whether the list shows the effect of all commands to a VM, those of earlier schedulers
   * included, so that a decision may rest on the pool that it shows.
   */
  boolean isListedAfterCommands(String vm) {
    return vmInventory.showsLastCommand(vm)
        && vmCommandLog.arePredecessorCommandsShownBy(vm, vmInventory.listRequestedMillis());
  }

  /** Starts the move of a VM to a pool, and cordons its worker, which must be safe to remove. */
  void move(String vm, String pool, String reason, long nowMillis) {
    Optional<Worker> worker = workers.listedOnVm(vm);
    worker.ifPresent(found -> found.cordonReason = CORDON_REASON);
    moves.put(vm, new Move(pool, nowMillis));
    vmInventory.recordCommand(vm);
    moveRate.countMove();
    log.log(
        "machine.move",
        "machine",
        vm,
        "pool",
        pool,
        "reason",
        reason,
        "listedPool",
        vmInventory.findVm(vm).map(Vm::pool).orElse(""),
        "listAge",
        nowMillis - vmInventory.listRequestedMillis(),
        "worker",
        worker.map(found -> found.entry.id()).orElse(""),
        "workerPool",
        worker.map(found -> found.entry.pool()).orElse(""));
    long sentGeneration = generation;
    vmCommandLog.recordVm(
        vm,
        authority ->
            authority.ifPresentOrElse(
                granted -> sendMove(vm, pool, worker, granted, sentGeneration),
                () -> applyResponse(vm, pool, worker, Either.left(CallFailure.NOT_PERFORMED))));
  }

  private void sendMove(
      String vm, String pool, Optional<Worker> worker, Authority authority, long sentGeneration) {
    vmClient.move(
        vm,
        pool,
        authority,
        response -> {
          if (generation == sentGeneration) {
            applyResponse(vm, pool, worker, response);
          }
        });
  }

  private void applyResponse(
      String vm, String pool, Optional<Worker> worker, Either<CallFailure, VmReply> response) {
    vmInventory.recordAnswer(vm, clock.monotonicMillis());
    boolean isAccepted = response.isRight() && response.get() == VmReply.ACCEPTED;
    if (isAccepted) {
      logMoved(vm, pool, worker);
      worker.ifPresent(found -> applyAcceptedMove(found, vm, pool));
      return;
    }
    log.log("machine.not_moved", "machine", vm, "pool", pool, "answer", response);
    boolean isOutcomeUnknown =
        response.isLeft() && response.getLeft() == CallFailure.OUTCOME_UNKNOWN;
    if (isOutcomeUnknown) {
      // The VM may be moving, so its worker stays cordoned until the move is finished.
      return;
    }
    moves.remove(vm);
    retryAtMillis.put(vm, clock.monotonicMillis() + RETRY_DELAY_MILLIS);
    worker.ifPresent(found -> found.cordonReason = "");
    uncordonWorker(vm);
    if (response.isLeft() && response.getLeft() == CallFailure.REJECTED) {
      rejectedMoves.add(vm + " " + pool);
    } else if (response.isRight() && response.get() == VmReply.FENCED) {
      actions.onFenced();
    }
  }

  private void logMoved(String vm, String pool, Optional<Worker> worker) {
    Move move = moves.get(vm);
    log.log(
        "machine.moved",
        "machine",
        vm,
        "pool",
        pool,
        "sinceDecision",
        move == null ? -1 : clock.monotonicMillis() - move.commandMillis(),
        "worker",
        worker.map(found -> found.entry.id()).orElse(""),
        "workerPool",
        worker.map(found -> found.entry.pool()).orElse(""),
        "tasks",
        worker.map(found -> found.tasks().size()).orElse(0));
  }

  /**
   * Ends the worker that was on a VM when its move to {@code pool} began, and the incarnation that
   * has replaced it there since, if any. One in the target pool has started after the move, or the
   * move was done already, which the platform accepts too.
   */
  private void applyAcceptedMove(Worker worker, String vm, String pool) {
    Optional<Worker> restarted =
        workers
            .listedOnVm(vm)
            .filter(found -> found != worker && found.entry.id().equals(worker.entry.id()));
    endUnlessInPool(worker, pool);
    restarted.ifPresent(found -> endUnlessInPool(found, pool));
  }

  private void endUnlessInPool(Worker worker, String pool) {
    if (worker.hasOwnEntry && !worker.entry.pool().equals(pool)) {
      actions.onWorkerEnded(worker);
      return;
    }
    // It gets tasks only once it has responded, and keeps its own until its lease has expired.
    worker.suspectReplacement(clock.monotonicMillis());
    worker.cordonReason = "";
  }
}
