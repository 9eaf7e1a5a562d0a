package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Client that lists, moves and maintains the platform's VMs. Calls do not block. */
public interface VmClient {
  /** The state of a VM as the platform lists it. */
  enum VmState {
    UP,
    MOVING,
    IN_MAINTENANCE,
    DOWN
  }

  /** A listed VM; {@code worker} is the id of the worker on it, empty if there is none. */
  record Vm(String id, String pool, VmState state, String zone, String rack, String worker) {}

  /** The platform's reply to an order. */
  enum VmReply {
    ACCEPTED,
    /** The order was rejected because of its fencing token. */
    FENCED,
    /** The VM is not up or is about to leave. */
    BUSY,
    /** The VM does not belong to that wave. */
    NOT_IN_WAVE
  }

  /**
   * Identifies the scheduler that sends an order, so that the platform can reject orders of a
   * previous holder of the scheduling lease.
   *
   * @param holder the process that holds the scheduling lease
   * @param fencingToken the epoch of that lease
   * @param isValid whether the lease is still held; called on any thread, right before the order is
   *     sent, since the platform may not check fencing tokens
   */
  record Authority(String holder, long fencingToken, BooleanSupplier isValid) {}

  /** Lists all VMs. */
  void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback);

  /** Moves a VM to another pool. Every task that runs on the VM is ended. */
  void move(
      String vm, String pool, Authority authority, Consumer<Either<CallFailure, VmReply>> callback);

  /**
   * Starts the maintenance of a VM. Every task that runs on the VM is ended.
   *
   * @param wave the number of the wave to which the VM belongs
   */
  void startMaintenance(
      String vm, long wave, Authority authority, Consumer<Either<CallFailure, VmReply>> callback);
}
