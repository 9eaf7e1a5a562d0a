package org.sassafraslink.entry.job;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
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
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.fleet.WorkerReport.EndKind;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.PlatformRowFormats;
import org.sassafraslink.platform.fleet.WorkerEntryDecoder;
import org.sassafraslink.scheduler.LeaseHolderWatch;
import org.sassafraslink.scheduler.Scheduler;
import org.sassafraslink.scheduler.SchedulerSettings;

/**
 * A scheduler that reads and writes the rows of {@link EntryVms}, with workers whose tasks run
 * until they are stopped, or for a short time if their payload says how they end. The store answers
 * its calls also while it is silent to the entry VMs.
 */
final class SchedulingVm {
  private static final int CALL_MILLIS = 5;
  private static final int REPORT_MILLIS = 20;

  private static final int STOP_MILLIS = 100;
  private static final int RUN_MILLIS = 300;

  /** The payload of tasks that end as done. */
  static final String DONE = "done";

  /** The payload of tasks that end as failed. */
  static final String FAILED = "failed";

  /** A start that a worker has carried out. */
  record StartedTask(TaskId task, int attempt, long millis) {}

  final List<StartedTask> starts = new ArrayList<>();
  private final EntryVms vms;
  private Scheduler scheduler;

  /** Incremented by each restart; what an earlier process waits for no longer reaches it. */
  private int process;

  private final Map<String, Tasks> tasksByWorker = new LinkedHashMap<>();

  /** The tasks on a worker. */
  private static final class Tasks {
    private final Map<TaskId, Integer> running = new LinkedHashMap<>();
    private final Map<TaskId, Integer> highestEnded = new HashMap<>();
    private final List<WorkerReport.Ended> ended = new ArrayList<>();
    private long ends;

    void end(TaskId task, int attempt, EndKind kind) {
      if (running.remove(task, attempt)) {
        highestEnded.merge(task, attempt, Math::max);
        ends++;
        ended.add(new WorkerReport.Ended(ends, task, attempt, kind, /* checkpoint= */ ""));
      }
    }
  }

  private SchedulingVm(EntryVms vms) {
    this.vms = vms;
    this.scheduler = createScheduler();
  }

  private Scheduler createScheduler() {
    Scheduler created =
        Scheduler.create(
            new SchedulersRowStore(),
            new TaskWorkerClient(),
            new NoVms(),
            Optional.empty(),
            vms.clock(),
            EventLog.silent()
                .withObserver((event, fields) -> vms.eventObserver.onEvent(event, fields)),
            new PlatformRowFormats(),
            SchedulerSettings.of(nodeSettings(), "process-" + process),
            new NoOtherHolders());
    created.onConfig(vms.settings());
    return created;
  }

  /** Ends the scheduler's process without notice and starts another one. */
  void restart() {
    process++;
    scheduler = createScheduler();
  }

  /** Starts a scheduler with workers. */
  static SchedulingVm start(EntryVms vms, String... workers) {
    SchedulingVm vm = new SchedulingVm(vms);
    for (String worker : workers) {
      vm.putWorker(worker, "ready");
    }
    vm.runDueWorkAndReschedule();
    return vm;
  }

  /** Returns how many tasks of a job run on all workers. */
  long runningTasks(String jobId) {
    return tasksByWorker.values().stream()
        .flatMap(tasks -> tasks.running.keySet().stream())
        .filter(task -> task.job().equals(jobId))
        .count();
  }

  /** Puts the entry of a worker into the list of workers. */
  void putWorker(String id, String state) {
    tasksByWorker.computeIfAbsent(id, key -> new Tasks());
    vms.store.put(
        new RowKey(WorkerEntryDecoder.TABLE, "", id),
        "{\"service\":\"s\",\"address\":\"127.0.0.1:"
            + port(id)
            + "\",\"zone\":\"z\",\"state\":\""
            + state
            + "\",\"born\":5000,\"machine\":\"m-"
            + id
            + "\",\"labels\":[\"kind\",\"rack\"],"
            + "\"capacity\":{\"cpu\":4000,\"memMb\":4096,\"gpu\":0}}");
  }

  private int port(String worker) {
    return 1 + ImmutableList.copyOf(tasksByWorker.keySet()).indexOf(worker);
  }

  private void runDueWorkAndReschedule() {
    scheduler.onEvacuations(new Evacuations(ImmutableSet.of(), vms.clock().monotonicMillis()));
    scheduler.runDueWork();
    vms.runAfter(10, this::runDueWorkAndReschedule);
  }

  /** Answers a call of a scheduler's process, unless that has ended. */
  private <T> void answer(int caller, long millis, Consumer<T> callback, T response) {
    vms.runAfter(
        millis,
        () -> {
          if (process == caller) {
            callback.accept(response);
            scheduler.runDueWork();
          }
        });
  }

  private static NodeSettings nodeSettings() {
    InetSocketAddress unused = InetSocketAddress.createUnresolved("unused", 1);
    return new NodeSettings(
        "node",
        /* zone= */ "z",
        /* processors= */ 1,
        /* maxDescriptors= */ 4_100,
        /* callerAddress= */ unused,
        /* readinessAddress= */ unused,
        /* peerAddress= */ unused,
        /* metricsAddress= */ unused,
        /* storeAddress= */ unused,
        /* vmApiAddress= */ unused,
        /* vmCommandsPerSecond= */ 1,
        /* adviceAddress= */ Optional.empty(),
        /* maxLeaseMillis= */ 10_000,
        /* maxStopMillis= */ 400,
        /* maxCancellationMillis= */ 3_000,
        /* handoverPauseMillis= */ 3_000,
        /* stopGraceMillis= */ 1_000,
        /* finalStateRetentionMillis= */ 120_000,
        /* gangStartTimeoutMillis= */ 3_000,
        /* maintenanceMillis= */ 3_000,
        /* moveMillis= */ 3_000,
        /* unavailabilityThresholdMillis= */ 4_500,
        /* maxBackfillImpactMillis= */ 4_000,
        /* maxEvacuationDelayMillis= */ Optional.empty(),
        /* maxConfigDelayMillis= */ Optional.empty());
  }

  private final class SchedulersRowStore implements RowStore {
    private final int caller = process;

    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      vms.runAfter(
          CALL_MILLIS, () -> answer(caller, CALL_MILLIS, callback, vms.store.apply(transaction)));
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      vms.runAfter(
          CALL_MILLIS,
          () -> answer(caller, CALL_MILLIS, callback, Either.right(vms.store.rowsIn(range))));
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      Rows changed = vms.store.changedAfter(table, version);
      if (!changed.rows().isEmpty() || waitMillis <= 0) {
        answer(caller, CALL_MILLIS, callback, Either.right(changed));
      } else {
        vms.runAfter(
            CALL_MILLIS, () -> readChanges(table, version, waitMillis - CALL_MILLIS, callback));
      }
    }
  }

  private final class TaskWorkerClient implements WorkerClient {
    private final int caller = process;

    private Either<CallFailure, CommandResponse> response(TaskReply reply) {
      return Either.right(
          new CommandResponse(reply, OptionalLong.of(vms.clock().monotonicMillis())));
    }

    @Override
    public void start(
        WorkerEntry worker,
        Start start,
        BooleanSupplier permission,
        Consumer<Either<CallFailure, CommandResponse>> callback) {
      if (!permission.getAsBoolean()) {
        answer(caller, CALL_MILLIS, callback, Either.left(CallFailure.NOT_PERFORMED));
        return;
      }
      Tasks tasks = tasksByWorker.get(worker.id());
      boolean hasEnded = start.attempt() <= tasks.highestEnded.getOrDefault(start.task(), 0);
      if (!hasEnded && tasks.running.putIfAbsent(start.task(), start.attempt()) == null) {
        starts.add(new StartedTask(start.task(), start.attempt(), vms.clock().monotonicMillis()));
        endLater(tasks, start);
      }
      answer(
          caller,
          CALL_MILLIS,
          callback,
          response(hasEnded ? TaskReply.OUTDATED : TaskReply.ACCEPTED));
    }

    private void endLater(Tasks tasks, Start start) {
      if (start.payload().equals(DONE)) {
        vms.runAfter(RUN_MILLIS, () -> tasks.end(start.task(), start.attempt(), EndKind.DONE));
      } else if (start.payload().equals(FAILED)) {
        vms.runAfter(RUN_MILLIS, () -> tasks.end(start.task(), start.attempt(), EndKind.FAILED));
      }
    }

    @Override
    public void stop(
        WorkerEntry worker,
        TaskId task,
        int attempt,
        long fencingToken,
        BooleanSupplier permission,
        Consumer<Either<CallFailure, CommandResponse>> callback) {
      if (!permission.getAsBoolean()) {
        answer(caller, CALL_MILLIS, callback, Either.left(CallFailure.NOT_PERFORMED));
        return;
      }
      Tasks tasks = tasksByWorker.get(worker.id());
      tasks.highestEnded.merge(task, attempt, Math::max);
      vms.runAfter(STOP_MILLIS, () -> tasks.end(task, attempt, EndKind.STOPPED));
      answer(caller, CALL_MILLIS, callback, response(TaskReply.ACCEPTED));
    }

    @Override
    public void setSpeed(
        WorkerEntry worker,
        TaskId task,
        int attempt,
        int speedPercent,
        long fencingToken,
        BooleanSupplier permission,
        Consumer<Either<CallFailure, CommandResponse>> callback) {
      answer(caller, CALL_MILLIS, callback, response(TaskReply.ACCEPTED));
    }

    @Override
    public void pollReport(
        WorkerEntry worker,
        ReportRequest request,
        BooleanSupplier permission,
        Consumer<Either<CallFailure, WorkerReport>> callback) {
      Tasks tasks = tasksByWorker.get(worker.id());
      tasks.ended.removeIf(end -> end.sequence() <= request.acknowledgedSequence());
      vms.runAfter(
          REPORT_MILLIS,
          () -> answer(caller, CALL_MILLIS, callback, Either.right(report(tasks, worker))));
    }

    private WorkerReport report(Tasks tasks, WorkerEntry worker) {
      return new WorkerReport(
          worker.incarnation(),
          vms.clock().monotonicMillis(),
          tasks.running.entrySet().stream()
              .map(
                  attempt ->
                      new WorkerReport.Running(
                          attempt.getKey(),
                          attempt.getValue(),
                          /* checkpoint= */ "",
                          /* speedPercent= */ 100,
                          /* load= */ 0))
              .collect(ImmutableList.toImmutableList()),
          ImmutableList.copyOf(tasks.ended));
    }
  }

  private final class NoVms implements VmClient {
    private final int caller = process;

    @Override
    public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback) {
      answer(caller, CALL_MILLIS, callback, Either.right(ImmutableList.of()));
    }

    @Override
    public void move(
        String vm,
        String pool,
        Authority authority,
        Consumer<Either<CallFailure, VmReply>> callback) {
      answer(caller, CALL_MILLIS, callback, Either.right(VmReply.BUSY));
    }

    @Override
    public void startMaintenance(
        String vm,
        long wave,
        Authority authority,
        Consumer<Either<CallFailure, VmReply>> callback) {
      answer(caller, CALL_MILLIS, callback, Either.right(VmReply.BUSY));
    }
  }

  private static final class NoOtherHolders implements LeaseHolderWatch {
    @Override
    public void watch(String address, Runnable onGone) {}

    @Override
    public OptionalLong lastHeartbeatMillis() {
      return OptionalLong.empty();
    }

    @Override
    public void setHolding(boolean isHolding) {}

    @Override
    public void announceRelease() {}
  }
}
