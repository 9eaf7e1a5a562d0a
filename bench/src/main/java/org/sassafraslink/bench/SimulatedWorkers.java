package org.sassafraslink.bench;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.fleet.WorkerReport.EndKind;

/** VMs with one worker each that run every task for the same time and can be moved. */
final class SimulatedWorkers implements WorkerClient, VmClient {
  static final String TABLE = "workers";
  static final long TASK_MILLIS = 800;
  static final long MOVE_MILLIS = 1_500;
  private static final Resources CAPACITY = new Resources(6_000, 24_000, 0);
  private static final long COMMAND_MILLIS = 2;

  /** The state of the worker on one VM; a move ends it and starts another. */
  private static final class SimulatedWorker {
    private final WorkerEntry entry;
    private final Map<TaskId, WorkerReport.Running> running = new LinkedHashMap<>();
    private final List<WorkerReport.Ended> ended = new ArrayList<>();
    private long lastSequence;
    private Consumer<Either<CallFailure, WorkerReport>> waiting;

    SimulatedWorker(WorkerEntry entry) {
      this.entry = entry;
    }
  }

  private final SimulatedClock clock;
  private final SimulatedStore store;
  private final ProcessorMeter callbackMeter;
  private final String standbyPool;
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final Map<String, SimulatedWorker> workersById = new HashMap<>();
  private long endedTasks;

  SimulatedWorkers(
      SimulatedClock clock,
      SimulatedStore store,
      ProcessorMeter callbackMeter,
      String standbyPool) {
    this.clock = clock;
    this.store = store;
    this.callbackMeter = callbackMeter;
    this.standbyPool = standbyPool;
  }

  /** Adds a VM with a worker to a pool. */
  void add(String vm, String pool) {
    arrive(vm, pool);
  }

  /** Returns how many tasks have ended. */
  long endedTasks() {
    return endedTasks;
  }

  /** Returns how many workers run. */
  int runningWorkers() {
    return workersById.size();
  }

  /** Returns how many of the running workers have no task. */
  long emptyWorkers() {
    return workersById.values().stream().filter(worker -> worker.running.isEmpty()).count();
  }

  /** Returns the entry of the worker that the value of a row of the list of workers names. */
  Optional<WorkerEntry> findEntry(StoredRow row) {
    return Optional.ofNullable(workersById.get(row.key().key())).map(worker -> worker.entry);
  }

  private void arrive(String vm, String pool) {
    String id = "worker-" + vm;
    boolean isPoweredOff = pool.equals(standbyPool);
    vms.put(vm, new Vm(vm, pool, VmState.UP, "zone", "rack", isPoweredOff ? "" : id));
    if (!isPoweredOff) {
      WorkerEntry entry =
          new WorkerEntry(
              id,
              clock.wallMillis(),
              pool,
              InetSocketAddress.createUnresolved(vm, 1),
              "zone",
              vm,
              "rack",
              ImmutableList.of("rack"),
              CAPACITY,
              false);
      workersById.put(id, new SimulatedWorker(entry));
      store.put(new RowKey(TABLE, "", id), pool);
    }
  }

  private <T> void respond(
      Consumer<Either<CallFailure, T>> callback, Either<CallFailure, T> value) {
    callbackMeter.run(() -> callback.accept(value));
  }

  @Override
  public void start(
      WorkerEntry target,
      Start start,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback) {
    clock.runAfter(
        COMMAND_MILLIS,
        () -> {
          SimulatedWorker worker = workersById.get(target.id());
          if (worker == null || worker.entry.incarnation() != target.incarnation()) {
            respond(callback, Either.left(CallFailure.WRONG_INCARNATION));
            return;
          }
          worker.running.put(
              start.task(), new WorkerReport.Running(start.task(), start.attempt(), "", 100, 0));
          clock.runAfter(TASK_MILLIS, () -> end(worker, start));
          respond(callback, reply(TaskReply.ACCEPTED));
        });
  }

  private Either<CallFailure, CommandResponse> reply(TaskReply reply) {
    return Either.right(new CommandResponse(reply, OptionalLong.of(clock.monotonicMillis())));
  }

  private void end(SimulatedWorker worker, Start start) {
    worker.running.remove(start.task());
    worker.lastSequence++;
    endedTasks++;
    worker.ended.add(
        new WorkerReport.Ended(
            worker.lastSequence, start.task(), start.attempt(), EndKind.DONE, ""));
    if (worker.waiting != null) {
      Consumer<Either<CallFailure, WorkerReport>> callback = worker.waiting;
      worker.waiting = null;
      clock.runAfter(COMMAND_MILLIS, () -> respond(callback, Either.right(reportOf(worker))));
    }
  }

  private WorkerReport reportOf(SimulatedWorker worker) {
    return new WorkerReport(
        worker.entry.incarnation(),
        clock.monotonicMillis(),
        ImmutableList.copyOf(worker.running.values()),
        ImmutableList.copyOf(worker.ended));
  }

  @Override
  public void stop(
      WorkerEntry target,
      TaskId task,
      int attempt,
      long fencingToken,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback) {
    clock.runAfter(COMMAND_MILLIS, () -> respond(callback, reply(TaskReply.ABSENT)));
  }

  @Override
  public void setSpeed(
      WorkerEntry target,
      TaskId task,
      int attempt,
      int speedPercent,
      long fencingToken,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback) {
    clock.runAfter(COMMAND_MILLIS, () -> respond(callback, reply(TaskReply.ACCEPTED)));
  }

  @Override
  public void pollReport(
      WorkerEntry target,
      ReportRequest request,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, WorkerReport>> callback) {
    clock.runAfter(
        COMMAND_MILLIS,
        () -> {
          SimulatedWorker worker = workersById.get(target.id());
          if (worker == null || worker.entry.incarnation() != target.incarnation()) {
            respond(callback, Either.left(CallFailure.WRONG_INCARNATION));
            return;
          }
          worker.ended.removeIf(end -> end.sequence() <= request.acknowledgedSequence());
          if (request.waitMillis() == 0 || !worker.ended.isEmpty()) {
            respond(callback, Either.right(reportOf(worker)));
            return;
          }
          worker.waiting = callback;
          clock.runAfter(
              request.waitMillis(),
              () -> {
                if (worker.waiting == callback) {
                  worker.waiting = null;
                  respond(callback, Either.right(reportOf(worker)));
                }
              });
        });
  }

  @Override
  public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback) {
    clock.runAfter(
        COMMAND_MILLIS, () -> respond(callback, Either.right(ImmutableList.copyOf(vms.values()))));
  }

  @Override
  public void move(
      String vm,
      String pool,
      Authority authority,
      Consumer<Either<CallFailure, VmReply>> callback) {
    clock.runAfter(
        COMMAND_MILLIS,
        () -> {
          String id = "worker-" + vm;
          if (workersById.remove(id) != null) {
            store.delete(new RowKey(TABLE, "", id));
          }
          vms.put(vm, new Vm(vm, pool, VmState.MOVING, "zone", "rack", ""));
          clock.runAfter(MOVE_MILLIS, () -> arrive(vm, pool));
          respond(callback, Either.right(VmReply.ACCEPTED));
        });
  }

  @Override
  public void startMaintenance(
      String vm, long wave, Authority authority, Consumer<Either<CallFailure, VmReply>> callback) {
    clock.runAfter(COMMAND_MILLIS, () -> respond(callback, Either.right(VmReply.NOT_IN_WAVE)));
  }
}
