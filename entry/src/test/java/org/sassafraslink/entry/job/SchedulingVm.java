package org.sassafraslink.entry.job;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.PlatformRowFormats;
import org.sassafraslink.platform.fleet.WorkerEntryDecoder;
import org.sassafraslink.scheduler.LeaseHolderWatch;
import org.sassafraslink.scheduler.Scheduler;
import org.sassafraslink.scheduler.SchedulerSettings;

/**
 * A scheduler that reads and writes the rows of {@link EntryVms}, with workers whose tasks run
 * until they are stopped. The store answers its calls also while it is silent to the entry VMs.
 */
final class SchedulingVm {
  private static final int CALL_MILLIS = 5;
  private static final int REPORT_MILLIS = 20;

  /** A start that a worker has carried out. */
  record StartedTask(TaskId task, int attempt, long millis) {}

  final List<StartedTask> starts = new ArrayList<>();
  private final EntryVms vms;
  private final Scheduler scheduler;
  private final Map<String, RunningTasks> runningByWorker = new LinkedHashMap<>();

  private static final class RunningTasks {
    private final Map<TaskId, Integer> attempts = new LinkedHashMap<>();
    private final List<WorkerReport.Ended> ended = new ArrayList<>();
    private long ends;
  }

  private SchedulingVm(EntryVms vms) {
    this.vms = vms;
    this.scheduler =
        Scheduler.create(
            new SchedulersRowStore(),
            new RunningWorkerClient(),
            new NoVms(),
            Optional.empty(),
            vms.clock(),
            EventLog.silent()
                .withObserver((event, fields) -> vms.eventObserver.onEvent(event, fields)),
            new PlatformRowFormats(),
            SchedulerSettings.of(nodeSettings(), "process"),
            new NoOtherHolders());
  }

  /** Starts a scheduler with workers. */
  static SchedulingVm start(EntryVms vms, String... workers) {
    SchedulingVm vm = new SchedulingVm(vms);
    for (String worker : workers) {
      vm.putWorker(worker, "ready");
    }
    vm.scheduler.onConfig(vms.settings());
    vm.runDueWorkAndReschedule();
    return vm;
  }

  /** Puts the entry of a worker into the list of workers. */
  void putWorker(String id, String state) {
    runningByWorker.computeIfAbsent(id, key -> new RunningTasks());
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
    return 1 + ImmutableList.copyOf(runningByWorker.keySet()).indexOf(worker);
  }

  private void runDueWorkAndReschedule() {
    scheduler.onEvacuations(new Evacuations(ImmutableSet.of(), vms.clock().monotonicMillis()));
    scheduler.runDueWork();
    vms.runAfter(10, this::runDueWorkAndReschedule);
  }

  private <T> void answer(long millis, Consumer<T> callback, T response) {
    vms.runAfter(
        millis,
        () -> {
          callback.accept(response);
          scheduler.runDueWork();
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
    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      vms.runAfter(CALL_MILLIS, () -> answer(CALL_MILLIS, callback, vms.store.apply(transaction)));
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      vms.runAfter(
          CALL_MILLIS, () -> answer(CALL_MILLIS, callback, Either.right(vms.store.rowsIn(range))));
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      Rows changed = vms.store.changedAfter(table, version);
      if (!changed.rows().isEmpty() || waitMillis <= 0) {
        answer(CALL_MILLIS, callback, Either.right(changed));
      } else {
        vms.runAfter(
            CALL_MILLIS, () -> readChanges(table, version, waitMillis - CALL_MILLIS, callback));
      }
    }
  }

  private final class RunningWorkerClient implements WorkerClient {
    private Either<CallFailure, CommandResponse> response(TaskReply reply) {
      return Either.right(
          new CommandResponse(reply, OptionalLong.of(vms.clock().monotonicMillis())));
    }

    @Override
    public void start(
        WorkerEntry worker, Start start, Consumer<Either<CallFailure, CommandResponse>> callback) {
      runningByWorker.get(worker.id()).attempts.put(start.task(), start.attempt());
      starts.add(new StartedTask(start.task(), start.attempt(), vms.clock().monotonicMillis()));
      answer(CALL_MILLIS, callback, response(TaskReply.ACCEPTED));
    }

    @Override
    public void stop(
        WorkerEntry worker,
        TaskId task,
        int attempt,
        long fencingToken,
        Consumer<Either<CallFailure, CommandResponse>> callback) {
      RunningTasks running = runningByWorker.get(worker.id());
      if (running.attempts.remove(task, attempt)) {
        running.ends++;
        running.ended.add(
            new WorkerReport.Ended(
                running.ends, task, attempt, WorkerReport.EndKind.STOPPED, /* checkpoint= */ ""));
      }
      answer(CALL_MILLIS, callback, response(TaskReply.ACCEPTED));
    }

    @Override
    public void setSpeed(
        WorkerEntry worker,
        TaskId task,
        int attempt,
        int speedPercent,
        long fencingToken,
        Consumer<Either<CallFailure, CommandResponse>> callback) {
      answer(CALL_MILLIS, callback, response(TaskReply.ACCEPTED));
    }

    @Override
    public void pollReport(
        WorkerEntry worker,
        ReportRequest request,
        Consumer<Either<CallFailure, WorkerReport>> callback) {
      RunningTasks running = runningByWorker.get(worker.id());
      running.ended.removeIf(end -> end.sequence() <= request.acknowledgedSequence());
      vms.runAfter(
          REPORT_MILLIS,
          () -> answer(CALL_MILLIS, callback, Either.right(report(running, worker))));
    }

    private WorkerReport report(RunningTasks running, WorkerEntry worker) {
      return new WorkerReport(
          worker.incarnation(),
          vms.clock().monotonicMillis(),
          running.attempts.entrySet().stream()
              .map(
                  attempt ->
                      new WorkerReport.Running(
                          attempt.getKey(),
                          attempt.getValue(),
                          /* checkpoint= */ "",
                          /* speedPercent= */ 100,
                          /* load= */ 0))
              .collect(ImmutableList.toImmutableList()),
          running.ended.stream()
              .sorted(Comparator.comparingLong(WorkerReport.Ended::sequence))
              .collect(ImmutableList.toImmutableList()));
    }
  }

  private final class NoVms implements VmClient {
    @Override
    public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback) {
      answer(CALL_MILLIS, callback, Either.right(ImmutableList.of()));
    }

    @Override
    public void move(
        String vm,
        String pool,
        Authority authority,
        Consumer<Either<CallFailure, VmReply>> callback) {
      answer(CALL_MILLIS, callback, Either.right(VmReply.BUSY));
    }

    @Override
    public void startMaintenance(
        String vm,
        long wave,
        Authority authority,
        Consumer<Either<CallFailure, VmReply>> callback) {
      answer(CALL_MILLIS, callback, Either.right(VmReply.BUSY));
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
