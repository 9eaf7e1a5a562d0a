package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.AdvicePort;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.MachinePort;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RunReport;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.fleet.WorkerPort;

/** Ports whose answers arrive on another thread than that of the platform's client. */
final class PortsOnThread {
  private PortsOnThread() {}

  private static <T> Consumer<T> on(Executor thread, Consumer<T> done) {
    return answer -> thread.execute(() -> done.accept(answer));
  }

  static RowStore rows(RowStore store, Executor thread) {
    return new RowStore() {
      @Override
      public void change(Change change, Consumer<Outcome> done) {
        store.change(change, on(thread, done));
      }

      @Override
      public void read(Range range, Consumer<Either<CallFailure, Rows>> done) {
        store.read(range, on(thread, done));
      }

      @Override
      public void changes(
          String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> done) {
        store.changes(table, version, waitMillis, on(thread, done));
      }
    };
  }

  static WorkerPort workers(WorkerPort port, Executor thread) {
    return new WorkerPort() {
      @Override
      public void start(
          WorkerEntry worker, Start start, Consumer<Either<CallFailure, TaskReply>> done) {
        port.start(worker, start, on(thread, done));
      }

      @Override
      public void stop(
          WorkerEntry worker,
          TaskId task,
          int attempt,
          long fencingToken,
          Consumer<Either<CallFailure, TaskReply>> done) {
        port.stop(worker, task, attempt, fencingToken, on(thread, done));
      }

      @Override
      public void pace(
          WorkerEntry worker,
          TaskId task,
          int attempt,
          int percent,
          long fencingToken,
          Consumer<Either<CallFailure, TaskReply>> done) {
        port.pace(worker, task, attempt, percent, fencingToken, on(thread, done));
      }

      @Override
      public void hold(
          WorkerEntry worker, Hold hold, Consumer<Either<CallFailure, RunReport>> done) {
        port.hold(worker, hold, on(thread, done));
      }
    };
  }

  static MachinePort machines(MachinePort port, Executor thread) {
    return new MachinePort() {
      @Override
      public void list(Consumer<Either<CallFailure, ImmutableList<Machine>>> done) {
        port.list(on(thread, done));
      }

      @Override
      public void move(
          String machine,
          String pool,
          Authority authority,
          Consumer<Either<CallFailure, MachineReply>> done) {
        port.move(machine, pool, authority, on(thread, done));
      }

      @Override
      public void maintain(
          String machine,
          long wave,
          Authority authority,
          Consumer<Either<CallFailure, MachineReply>> done) {
        port.maintain(machine, wave, authority, on(thread, done));
      }
    };
  }

  static AdvicePort advice(AdvicePort port, Executor thread) {
    return (job, occurrence, step, workers, timeoutMillis, done) ->
        port.advise(job, occurrence, step, workers, timeoutMillis, on(thread, done));
  }
}
