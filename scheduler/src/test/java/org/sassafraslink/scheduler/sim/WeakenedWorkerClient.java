package org.sassafraslink.scheduler.sim;

import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.fleet.WorkerReport;

/** A client that hides from workers or from the scheduler what a disabled mechanism needs. */
final class WeakenedWorkerClient implements WorkerClient {
  /** Bits of a fencing token that number the registrations of incarnations in an epoch. */
  private static final int REGISTRATION_BITS = 24;

  private final WorkerClient client;
  private final Set<DisabledMechanism> disabled;

  private WeakenedWorkerClient(WorkerClient client, Set<DisabledMechanism> disabled) {
    this.client = client;
    this.disabled = disabled;
  }

  /** Returns a client without the disabled mechanisms, which may change during the test. */
  static WorkerClient of(WorkerClient client, Set<DisabledMechanism> disabled) {
    return new WeakenedWorkerClient(client, disabled);
  }

  private long weaken(long fencingToken) {
    return disabled.contains(DisabledMechanism.TOKEN_OF_EACH_INCARNATION)
        ? fencingToken >> REGISTRATION_BITS
        : fencingToken;
  }

  private Consumer<Either<CallFailure, CommandResponse>> weaken(
      Consumer<Either<CallFailure, CommandResponse>> callback) {
    return disabled.contains(DisabledMechanism.CLOCK_IN_RESPONSES)
        ? response ->
            callback.accept(
                response.map(
                    withClock -> new CommandResponse(withClock.reply(), OptionalLong.empty())))
        : callback;
  }

  @Override
  public void start(
      WorkerEntry worker,
      Start start,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback) {
    client.start(
        worker,
        new Start(
            start.task(),
            start.attempt(),
            start.payload(),
            start.leaseEndMillis(),
            weaken(start.fencingToken()),
            start.checkpoint(),
            start.ticket()),
        permission,
        weaken(callback));
  }

  @Override
  public void stop(
      WorkerEntry worker,
      TaskId task,
      int attempt,
      long fencingToken,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback) {
    client.stop(worker, task, attempt, weaken(fencingToken), permission, weaken(callback));
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
    client.setSpeed(
        worker, task, attempt, speedPercent, weaken(fencingToken), permission, weaken(callback));
  }

  @Override
  public void pollReport(
      WorkerEntry worker,
      ReportRequest request,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, WorkerReport>> callback) {
    client.pollReport(
        worker,
        new ReportRequest(
            request.leaseEndMillis(),
            request.acknowledgedSequence(),
            weaken(request.fencingToken()),
            request.waitMillis()),
        permission,
        callback);
  }
}
