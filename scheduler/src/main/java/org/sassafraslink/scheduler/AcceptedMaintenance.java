package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmState;

/**
 * The workers on VMs whose maintenance the platform has accepted, until a list of VMs shows whether
 * it has ended them.
 *
 * <p>The platform also accepts a command that is done already, for instance after a response that
 * was lost. Then the worker on the VM started after the maintenance, and it still runs.
 */
final class AcceptedMaintenance {
  /** Receives what a list has shown; called on the scheduler's thread. */
  interface Listener {
    /** Called when the VM of a worker was taken down. */
    void onEnded(Worker worker);

    /** Called when the VM of a worker is up, although it should have been taken down. */
    void onStillUp(Worker worker);
  }

  /** A worker on a VM, and when the command to the VM was accepted, monotonic ms. */
  private record Accepted(Worker worker, long acceptedMillis) {}

  private final long maintenanceMillis;
  private final Listener listener;
  private final Map<String, Accepted> acceptedByVm = new HashMap<>();

  AcceptedMaintenance(long maintenanceMillis, Listener listener) {
    this.maintenanceMillis = maintenanceMillis;
    this.listener = listener;
  }

  void reset() {
    acceptedByVm.clear();
  }

  /** Returns whether the maintenance of a VM was accepted and no list shows its effect yet. */
  boolean contains(String vm) {
    return acceptedByVm.containsKey(vm);
  }

  /** Adds the worker on a VM whose maintenance was accepted at {@code nowMillis}. */
  void add(String vm, Worker worker, long nowMillis) {
    acceptedByVm.put(vm, new Accepted(worker, nowMillis));
  }

  /** Applies the newest list of VMs. One that lacks a VM shows nothing about it. */
  void applyList(VmInventory inventory) {
    Iterator<Map.Entry<String, Accepted>> entries = acceptedByVm.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Accepted> entry = entries.next();
      Optional<Vm> listed = inventory.findVm(entry.getKey());
      if (listed.isPresent()
          && applyState(entry.getValue(), listed.get().state(), inventory.listRequestedMillis())) {
        entries.remove();
      }
    }
  }

  /** Applies the state in a list requested at {@code listMillis}; returns whether it decides. */
  private boolean applyState(Accepted accepted, VmState state, long listMillis) {
    boolean isUp = state == VmState.UP;
    // A list requested soon after the command may still show the VM as up.
    long reliableFromMillis = accepted.acceptedMillis() + (isUp ? maintenanceMillis / 2 : 0);
    if (listMillis <= reliableFromMillis) {
      return false;
    }
    if (isUp) {
      listener.onStillUp(accepted.worker());
    } else {
      listener.onEnded(accepted.worker());
    }
    return true;
  }
}
