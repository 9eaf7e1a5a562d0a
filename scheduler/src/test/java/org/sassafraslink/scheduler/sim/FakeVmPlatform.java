package org.sassafraslink.scheduler.sim;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.Wave;

/**
 * A simulated platform that lists, moves and maintains VMs. A command ends the worker on the VM;
 * afterwards a new worker starts there, unless the VM is in the standby pool.
 */
final class FakeVmPlatform implements VmClient {
  /** Duration of a move, in ms. */
  static final long MOVE_MILLIS = 1_500;

  /** Duration of the maintenance of a VM, in ms. */
  static final long MAINTENANCE_MILLIS = 2_000;

  /** The time that must pass between the commands of two holders to one VM, in ms. */
  static final long HANDOVER_PAUSE_MILLIS = 3_000;

  private static final long CALL_LATENCY_MILLIS = 4;
  private static final long CALL_TIMEOUT_MILLIS = 900;
  private static final long RATE_WINDOW_MILLIS = 1_000;

  private static final class FakeVm {
    private String pool;
    private VmState state = VmState.UP;
    private String workerId = "";
    private int workersStarted;

    /** Until when the lists lack this VM, ms. */
    private long hiddenUntilMillis;

    FakeVm(String pool) {
      this.pool = pool;
    }
  }

  /** A command of a holder of the scheduling lease that arrived at {@code millis}. */
  private record Command(String holder, long millis) {}

  private final SimFleet fleet;
  private final int movesPerSecond;
  private final Map<String, FakeVm> vms = new LinkedHashMap<>();
  private final Deque<Long> recentMoveMillis = new ArrayDeque<>();
  private final Map<String, Command> lastCommandByVm = new LinkedHashMap<>();
  private final Map<String, Integer> maintenanceCountByVm = new LinkedHashMap<>();
  private final Set<String> finishedMaintenance = new HashSet<>();
  private long highestFencingToken;
  private boolean responsesLost;
  private int attemptsEndedByCommands;
  private int movesDoneAlready;
  private long moveDelayMillis;
  private boolean nextMoveIsLost;

  /** Until when calls are neither executed nor answered, ms. */
  private long silentUntilMillis;

  /** Until when requests for lists are rejected, ms. */
  private long listsRejectedUntilMillis;

  /** How old the state is that lists show, in ms. */
  private long listLagMillis;

  /** The lists that were requested, by the time of the request. */
  private final TreeMap<Long, ImmutableList<Vm>> requestedLists = new TreeMap<>();

  /**
   * Creates a platform without VMs.
   *
   * @param movesPerSecond the number of moves that it accepts in a second
   */
  FakeVmPlatform(SimFleet fleet, int movesPerSecond) {
    this.fleet = fleet;
    this.movesPerSecond = movesPerSecond;
  }

  /** Adds a VM that is up, and starts a worker on it unless it is in the standby pool. */
  void addVm(String id, String pool) {
    vms.put(id, new FakeVm(pool));
    startWorkerIfPoweredOn(id);
  }

  /** Returns whether calls are not answered as usual. */
  boolean hasFault() {
    long now = fleet.clock.nowMillis();
    return responsesLost || now < silentUntilMillis || now < listsRejectedUntilMillis;
  }

  /** Returns how many VMs are in maintenance. */
  long vmsInMaintenance() {
    return vms.values().stream().filter(vm -> vm.state == VmState.IN_MAINTENANCE).count();
  }

  /** Has the lists lack a VM for {@code millis} ms. */
  void hideVm(String id, long millis) {
    vms.get(id).hiddenUntilMillis = fleet.clock.nowMillis() + millis;
  }

  /** Starts the worker on a VM again under its id, if there is one. */
  void restartWorkerOn(String id) {
    FakeVm vm = vms.get(id);
    if (vm != null && !vm.workerId.isEmpty()) {
      fleet.startWorker(vm.workerId, vm.pool, id);
    }
  }

  /** Returns the VMs in a pool that have a worker. */
  List<String> vmsWithWorkers(String pool) {
    return vms.entrySet().stream()
        .filter(entry -> entry.getValue().pool.equals(pool))
        .filter(entry -> !entry.getValue().workerId.isEmpty())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Crashes the worker on a VM, if there is one, without a restart. */
  void crashWorkerOn(String id) {
    FakeVm vm = vms.get(id);
    if (vm != null && !vm.workerId.isEmpty()) {
      fleet.crashWorker(vm.workerId);
    }
  }

  /** Has the worker on a VM announce its end, end, and start again, unless its VM is taken down. */
  void drainWorkerOn(String id, long graceMillis, long awayMillis) {
    FakeVm vm = vms.get(id);
    if (vm == null || vm.workerId.isEmpty() || fleet.workers.get(vm.workerId).crashed) {
      return;
    }
    String worker = vm.workerId;
    long incarnation = fleet.incarnation(worker);
    fleet.announceDraining(worker);
    fleet.clock.runAfter(
        graceMillis,
        () -> {
          if (vm.workerId.equals(worker) && fleet.incarnation(worker) == incarnation) {
            if (fleet.isRunningAttempt(worker)) {
              fleet.recordFault();
            }
            fleet.endWorker(worker);
            fleet.clock.runAfter(awayMillis, () -> startAgain(id, vm, worker, incarnation));
          }
        });
  }

  private void startAgain(String id, FakeVm vm, String worker, long endedIncarnation) {
    if (vm.workerId.equals(worker) && fleet.incarnation(worker) == endedIncarnation) {
      fleet.startWorker(worker, vm.pool, id);
    }
  }

  /** Has the moves that are accepted from now on take {@code millis} longer than usual. */
  void delayMoves(long millis) {
    moveDelayMillis = millis;
  }

  /** Has the VM of the next move that is accepted leave the fleet instead of arriving. */
  void loseVmOfNextMove() {
    nextMoveIsLost = true;
  }

  /** Returns the VMs of a wave that still exist and have had no maintenance for it. */
  List<String> vmsNotMaintained(Wave wave) {
    return wave.vms().stream()
        .filter(vms::containsKey)
        .filter(vm -> !finishedMaintenance.contains(vm + " " + wave.number()))
        .toList();
  }

  /** Sets whether commands are executed and their responses are lost. */
  void setResponsesLost(boolean areLost) {
    responsesLost = areLost;
  }

  /** Has the platform neither execute nor answer calls for {@code millis} ms. */
  void silence(long millis) {
    silentUntilMillis = fleet.clock.nowMillis() + millis;
  }

  /** Has the platform reject requests for lists for {@code millis} ms, but not commands. */
  void rejectLists(long millis) {
    listsRejectedUntilMillis = fleet.clock.nowMillis() + millis;
  }

  /** Has lists show the VMs as they were at the last request before {@code millis} ms ago. */
  void setListLag(long millis) {
    listLagMillis = millis;
  }

  /** Returns how many moves were accepted although their VM was in the pool already. */
  int movesDoneAlready() {
    return movesDoneAlready;
  }

  /** Returns how many running attempts commands have ended. */
  int attemptsEndedByCommands() {
    return attemptsEndedByCommands;
  }

  private void startWorkerIfPoweredOn(String id) {
    FakeVm vm = vms.get(id);
    if (!vm.pool.equals(SimLayout.STANDBY_POOL)) {
      vm.workersStarted++;
      vm.workerId = id + "-" + vm.workersStarted;
      fleet.startWorker(vm.workerId, vm.pool, id);
    }
  }

  @Override
  public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback) {
    respond(
        callback,
        () ->
            fleet.clock.nowMillis() < listsRejectedUntilMillis
                // As HttpVmClient reports the status 429.
                ? Either.left(CallFailure.NOT_PERFORMED)
                : Either.right(listVmsWithLag()));
  }

  private ImmutableList<Vm> listVmsWithLag() {
    long now = fleet.clock.nowMillis();
    requestedLists.put(now, listVms());
    Long shown = requestedLists.floorKey(now - listLagMillis);
    return requestedLists.get(shown == null ? requestedLists.firstKey() : shown);
  }

  private ImmutableList<Vm> listVms() {
    ImmutableList.Builder<Vm> list = ImmutableList.builder();
    vms.forEach(
        (id, vm) -> {
          if (fleet.clock.nowMillis() >= vm.hiddenUntilMillis) {
            list.add(new Vm(id, vm.pool, vm.state, fleet.zoneOf(id), "r1", vm.workerId));
          }
        });
    return list.build();
  }

  @Override
  public void move(
      String vm,
      String pool,
      Authority authority,
      Consumer<Either<CallFailure, VmReply>> callback) {
    respondToCommand(vm, authority, callback, () -> acceptMove(vm, pool, authority));
  }

  private Either<CallFailure, VmReply> acceptMove(String vm, String pool, Authority authority) {
    long now = fleet.clock.nowMillis();
    while (!recentMoveMillis.isEmpty()
        && recentMoveMillis.peekFirst() <= now - RATE_WINDOW_MILLIS) {
      recentMoveMillis.pollFirst();
    }
    if (recentMoveMillis.size() >= movesPerSecond) {
      // As HttpVmClient reports the status 429.
      return Either.left(CallFailure.NOT_PERFORMED);
    }
    FakeVm found = vms.get(vm);
    if (found != null && found.state == VmState.UP && found.pool.equals(pool)) {
      movesDoneAlready++;
      return acceptRepeated(authority);
    }
    Either<CallFailure, VmReply> reply =
        takeDown(vm, VmState.MOVING, pool, MOVE_MILLIS + moveDelayMillis, authority);
    if (reply.equals(Either.right(VmReply.ACCEPTED))) {
      recentMoveMillis.addLast(now);
      if (nextMoveIsLost) {
        nextMoveIsLost = false;
        vms.remove(vm);
      }
    }
    return reply;
  }

  @Override
  public void startMaintenance(
      String vm, long wave, Authority authority, Consumer<Either<CallFailure, VmReply>> callback) {
    respondToCommand(
        vm,
        authority,
        callback,
        () -> {
          if (!vms.containsKey(vm)) {
            return Either.left(CallFailure.REJECTED);
          }
          boolean isRepeated = finishedMaintenance.contains(vm + " " + wave);
          Either<CallFailure, VmReply> reply =
              isRepeated && vms.get(vm).state == VmState.UP
                  ? acceptRepeated(authority)
                  : takeDown(
                      vm, VmState.IN_MAINTENANCE, vms.get(vm).pool, MAINTENANCE_MILLIS, authority);
          if (reply.equals(Either.right(VmReply.ACCEPTED))) {
            maintenanceCountByVm.merge(vm, 1, Integer::sum);
            finishedMaintenance.add(vm + " " + wave);
          }
          return reply;
        });
  }

  /** Accepts a command that is done already, which has no further effect. */
  private Either<CallFailure, VmReply> acceptRepeated(Authority authority) {
    if (authority.fencingToken() < highestFencingToken) {
      return Either.right(VmReply.FENCED);
    }
    highestFencingToken = authority.fencingToken();
    return Either.right(VmReply.ACCEPTED);
  }

  /** Returns how often a command for the maintenance of each VM was accepted. */
  Map<String, Integer> maintenanceCountByVm() {
    return maintenanceCountByVm;
  }

  /** Ends the worker of a VM; after {@code millis} ms the VM is up again, in the given pool. */
  private Either<CallFailure, VmReply> takeDown(
      String id, VmState stateMeanwhile, String poolAfterwards, long millis, Authority authority) {
    FakeVm vm = vms.get(id);
    if (vm == null) {
      return Either.left(CallFailure.REJECTED);
    }
    if (authority.fencingToken() < highestFencingToken) {
      return Either.right(VmReply.FENCED);
    }
    highestFencingToken = authority.fencingToken();
    if (vm.state != VmState.UP) {
      return Either.right(VmReply.BUSY);
    }
    if (!vm.workerId.isEmpty()) {
      attemptsEndedByCommands += fleet.workers.get(vm.workerId).runningAttemptCount();
      fleet.endWorker(vm.workerId);
    }
    vm.workerId = "";
    vm.state = stateMeanwhile;
    fleet.clock.runAfter(
        millis,
        () -> {
          if (vms.containsKey(id)) {
            vm.pool = poolAfterwards;
            vm.state = VmState.UP;
            startWorkerIfPoweredOn(id);
          }
        });
    return Either.right(VmReply.ACCEPTED);
  }

  /** Executes a command if its authority is valid now, as HttpVmClient checks before it writes. */
  private void respondToCommand(
      String vm,
      Authority authority,
      Consumer<Either<CallFailure, VmReply>> callback,
      Supplier<Either<CallFailure, VmReply>> command) {
    boolean isSent = authority.isValid().getAsBoolean();
    respond(
        callback,
        () -> {
          if (!isSent) {
            return Either.left(CallFailure.NOT_PERFORMED);
          }
          checkPause(vm, new Command(authority.holder(), fleet.clock.nowMillis()));
          Either<CallFailure, VmReply> reply = command.get();
          return responsesLost ? Either.left(CallFailure.OUTCOME_UNKNOWN) : reply;
        });
  }

  private void checkPause(String vm, Command command) {
    Command last = lastCommandByVm.put(vm, command);
    if (last != null
        && !last.holder().equals(command.holder())
        && command.millis() - last.millis() < HANDOVER_PAUSE_MILLIS) {
      fleet.guaranteeChecker.addViolation(
          "HANDOVER_PAUSE", vm + " gets " + command + " after " + last);
    }
  }

  private <T> void respond(
      Consumer<Either<CallFailure, T>> callback, Supplier<Either<CallFailure, T>> call) {
    fleet.clock.runAfter(
        CALL_LATENCY_MILLIS,
        () -> {
          if (fleet.clock.nowMillis() < silentUntilMillis) {
            fleet.clock.runAfter(
                CALL_TIMEOUT_MILLIS,
                () -> callback.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
            return;
          }
          Either<CallFailure, T> response = call.get();
          fleet.clock.runAfter(CALL_LATENCY_MILLIS, () -> callback.accept(response));
        });
  }
}
