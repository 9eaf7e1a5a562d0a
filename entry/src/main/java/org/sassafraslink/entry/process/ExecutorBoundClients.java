package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.AdviceClient;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.TransferObserver;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.fleet.WorkerReport;

/**
 * Wraps clients so that their callbacks run on a given executor instead of the event loop on which
 * the responses arrive.
 */
final class ExecutorBoundClients {
  private ExecutorBoundClients() {}

  private static <T> Consumer<T> callbackOn(Executor executor, Consumer<T> callback) {
    return result -> executor.execute(() -> callback.accept(result));
  }

  static RowStore rowStore(RowStore store, Executor executor) {
    return new RowStore() {
      @Override
      public void commit(Transaction transaction, Consumer<Outcome> callback) {
        store.commit(transaction, callbackOn(executor, callback));
      }

      @Override
      public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
        store.read(range, callbackOn(executor, callback));
      }

      @Override
      public void read(
          Range range, TransferObserver observer, Consumer<Either<CallFailure, Rows>> callback) {
        store.read(range, observer, callbackOn(executor, callback));
      }

      @Override
      public void readChanges(
          String table,
          long version,
          int waitMillis,
          Consumer<Either<CallFailure, Rows>> callback) {
        store.readChanges(table, version, waitMillis, callbackOn(executor, callback));
      }

      @Override
      public void readChanges(
          String table,
          long version,
          int waitMillis,
          TransferObserver observer,
          Consumer<Either<CallFailure, Rows>> callback) {
        store.readChanges(table, version, waitMillis, observer, callbackOn(executor, callback));
      }
    };
  }

  static WorkerClient workerClient(WorkerClient client, Executor executor) {
    return new WorkerClient() {
      @Override
      public void start(
          WorkerEntry worker,
          Start start,
          BooleanSupplier permission,
          Consumer<Either<CallFailure, CommandResponse>> callback) {
        client.start(worker, start, permission, callbackOn(executor, callback));
      }

      @Override
      public void stop(
          WorkerEntry worker,
          TaskId task,
          int attempt,
          long fencingToken,
          BooleanSupplier permission,
          Consumer<Either<CallFailure, CommandResponse>> callback) {
        client.stop(
            worker, task, attempt, fencingToken, permission, callbackOn(executor, callback));
      }

      @Override
      public void setSpeed(
          WorkerEntry worker,
          TaskId task,
          int attempt,
          int percent,
          long fencingToken,
          BooleanSupplier permission,
          Consumer<Either<CallFailure, CommandResponse>> callback) {
        client.setSpeed(
            worker,
            task,
            attempt,
            percent,
            fencingToken,
            permission,
            callbackOn(executor, callback));
      }

      @Override
      public void pollReport(
          WorkerEntry worker,
          ReportRequest request,
          BooleanSupplier permission,
          Consumer<Either<CallFailure, WorkerReport>> callback) {
        client.pollReport(worker, request, permission, callbackOn(executor, callback));
      }
    };
  }

  static VmClient vmClient(VmClient client, Executor executor) {
    return new VmClient() {
      @Override
      public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback) {
        client.list(callbackOn(executor, callback));
      }

      @Override
      public void move(
          String vm,
          String pool,
          Authority authority,
          Consumer<Either<CallFailure, VmReply>> callback) {
        client.move(vm, pool, authority, callbackOn(executor, callback));
      }

      @Override
      public void startMaintenance(
          String vm,
          long wave,
          Authority authority,
          Consumer<Either<CallFailure, VmReply>> callback) {
        client.startMaintenance(vm, wave, authority, callbackOn(executor, callback));
      }
    };
  }

  static AdviceClient adviceClient(AdviceClient client, Executor executor) {
    return (job, occurrence, step, workers, timeoutMillis, callback) ->
        client.advise(
            job, occurrence, step, workers, timeoutMillis, callbackOn(executor, callback));
  }
}
