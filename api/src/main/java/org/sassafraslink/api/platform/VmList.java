package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;

/** The platform's lagging list of VMs, and its control over them. */
public interface VmList {
  /** The state of a VM as the platform lists it. */
  enum VmState {
    LIVE,
    LEAVING
  }

  /** What a listed VM is for. */
  enum VmRole {
    ENTRY,
    BACKEND
  }

  /**
   * A listed VM.
   *
   * @param incarnation rises each time the VM is booted or replaced at its address
   */
  record Vm(String id, VmRole role, String address, String zone, VmState state, long incarnation) {}

  /** The list as of some time in the recent past; {@code version} only rises. */
  record Listing(long version, ImmutableList<Vm> vms) {}

  /** Reads the list. */
  Either<PlatformFailure, Listing> list();

  /** Starts a reboot of a VM for maintenance. Idempotent for the same {@code operation}. */
  Either<PlatformFailure, String> reboot(String vm, String operation);
}
