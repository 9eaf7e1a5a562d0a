package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;

/** Client that reads the platform's list of VMs, which may be out of date, and reboots VMs. */
public interface VmList {
  /** The state of a VM as the platform lists it. */
  enum VmState {
    LIVE,
    LEAVING
  }

  /** The purpose of a listed VM. */
  enum VmRole {
    ENTRY,
    BACKEND
  }

  /**
   * A listed VM.
   *
   * @param incarnation increases each time the VM is booted, or replaced by another at its address
   */
  record Vm(String id, VmRole role, String address, String zone, VmState state, long incarnation) {}

  /** The list of VMs at some time in the recent past; {@code version} only increases. */
  record Listing(long version, ImmutableList<Vm> vms) {}

  /** Reads the list of VMs. */
  Either<PlatformFailure, Listing> readListing();

  /**
   * Starts a reboot of a VM for maintenance, and returns {@code operation}. Repeating the call with
   * the same {@code operation} has no further effect.
   */
  Either<PlatformFailure, String> reboot(String vm, String operation);
}
