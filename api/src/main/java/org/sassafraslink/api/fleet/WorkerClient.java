package org.sassafraslink.api.fleet;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Client that sends the scheduler's orders to workers. Calls do not block.
 *
 * <p>A worker stores the highest fencing token that it has seen and rejects orders with a lower
 * one. Each call invokes its callback {@code done} exactly once.
 *
 * <p>A call may wait for a connection, and its process may be suspended meanwhile. Each call
 * therefore has a permission, which is asked on any thread right before the request is written.
 * Without it, the call fails with {@link CallFailure#NOT_PERFORMED}.
 */
public interface WorkerClient {
  /**
   * An order to start an attempt.
   *
   * @param leaseEndMillis when the worker's lease ends and the worker stops all its tasks, on the
   *     worker's clock
   * @param checkpoint saved progress from which to continue; empty to start from the beginning
   * @param ticket the ticket from the placement advice service; empty if none is needed
   */
  record Start(
      TaskId task,
      int attempt,
      String payload,
      long leaseEndMillis,
      long fencingToken,
      String checkpoint,
      String ticket) {}

  /** A worker's reply to an order. */
  enum TaskReply {
    ACCEPTED,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** An attempt with the same or a higher number has already ended on the worker. */
    OUTDATED,
    /** The lease end has passed. */
    TOO_LATE,
    /** The task does not fit into the worker's free capacity. */
    NO_ROOM,
    /** The ticket is missing or no longer valid. */
    NO_TICKET,
    /** The attempt does not exist on the worker. */
    ABSENT
  }

  /**
   * A worker's response to an order.
   *
   * @param clockMillis the time of the response, on the monotonic clock of the incarnation that
   *     responded; empty if the response does not include it
   */
  record CommandResponse(TaskReply reply, OptionalLong clockMillis) {}

  /**
   * A long poll for the worker's report that can also renew its lease.
   *
   * @param leaseEndMillis the new end of the worker's lease, on the worker's clock; empty to leave
   *     the lease unchanged
   * @param acknowledgedSequence the worker may discard ended attempts up to this sequence number
   * @param waitMillis how long the worker may wait for an attempt to end before it answers
   */
  record ReportRequest(
      Optional<Long> leaseEndMillis,
      long acknowledgedSequence,
      long fencingToken,
      int waitMillis) {}

  /** Starts an attempt. Repeating the call has no further effect. */
  void start(
      WorkerEntry worker,
      Start start,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback);

  /** Stops an attempt. If its start arrives at the worker later, the worker rejects it. */
  void stop(
      WorkerEntry worker,
      TaskId task,
      int attempt,
      long fencingToken,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback);

  /** Sets the speed at which an attempt works, as a percentage of full speed. */
  void setSpeed(
      WorkerEntry worker,
      TaskId task,
      int attempt,
      int speedPercent,
      long fencingToken,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, CommandResponse>> callback);

  /**
   * Renews the worker's lease if {@code request} has a new lease end, and reads the worker's
   * report. Fails with {@link CallFailure#REJECTED} if the worker has seen a higher fencing token.
   */
  void pollReport(
      WorkerEntry worker,
      ReportRequest request,
      BooleanSupplier permission,
      Consumer<Either<CallFailure, WorkerReport>> callback);
}
