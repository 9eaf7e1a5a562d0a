package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.api.platform.VmList.VmState;

/**
 * Simulates the platform's VM list: it holds the current state of each VM and publishes it with a
 * delay, because the platform's list lags behind the VMs.
 *
 * <p>Times are in milliseconds since the epoch.
 */
final class VmListStandIn {
  /** A reboot: the VM is down until {@code upAtMillis}, then live with the next incarnation. */
  private record Reboot(String operation, long upAtMillis) {}

  /** The state of all VMs from {@code atMillis} until the next listing was recorded. */
  private record TimedListing(long atMillis, Listing listing) {}

  private final Map<String, Vm> vms = new LinkedHashMap<>();

  /** The reboots that have not ended, keyed by VM id. */
  private final Map<String, Reboot> runningReboots = new LinkedHashMap<>();

  private final Map<String, String> lastRebootOperationByVm = new LinkedHashMap<>();

  /** The published listing, followed by the newer ones in their order. */
  private final ArrayDeque<TimedListing> listings = new ArrayDeque<>();

  private final long listLagMillis;
  private final long rebootDurationMillis;
  private long listVersion;

  VmListStandIn(long listLagMillis, long rebootDurationMillis) {
    this.listLagMillis = listLagMillis;
    this.rebootDurationMillis = rebootDurationMillis;
  }

  synchronized void putVm(Vm vm, long nowMillis) {
    vms.put(vm.id(), vm);
    recordListing(nowMillis);
  }

  synchronized void removeVm(String id, long nowMillis) {
    vms.remove(id);
    recordListing(nowMillis);
  }

  /**
   * Starts a reboot of the VM. Does nothing if the VM does not exist or its last reboot had the
   * same operation id, so that a repeated call does not reboot it twice.
   */
  synchronized void startReboot(String id, String operation, long nowMillis) {
    if (!vms.containsKey(id) || operation.equals(lastRebootOperationByVm.get(id))) {
      return;
    }
    lastRebootOperationByVm.put(id, operation);
    runningReboots.put(id, new Reboot(operation, nowMillis + rebootDurationMillis));
    vms.computeIfPresent(id, (key, vm) -> withState(vm, VmState.LEAVING, vm.incarnation()));
    recordListing(nowMillis);
  }

  /** Returns the ids of the VMs that are down for a reboot at {@code nowMillis}. */
  synchronized ImmutableList<String> downVmIds(long nowMillis) {
    finishReboots(nowMillis);
    return ImmutableList.copyOf(runningReboots.keySet());
  }

  /**
   * Returns the list as it was {@code listLagMillis} ago, or the first recorded list if it is newer
   * than that.
   */
  synchronized Listing delayedListing(long nowMillis) {
    finishReboots(nowMillis);
    while (listings.size() > 1 && ageOfSecondListing(nowMillis) >= listLagMillis) {
      listings.removeFirst();
    }
    return listings.isEmpty() ? new Listing(0, ImmutableList.of()) : listings.getFirst().listing();
  }

  /** Returns the age of the listing that is published next, after the first one. */
  private long ageOfSecondListing(long nowMillis) {
    return nowMillis - listings.stream().skip(1).findFirst().orElseThrow().atMillis();
  }

  /** Makes the VMs whose reboot has ended live, each with its next incarnation. */
  private void finishReboots(long nowMillis) {
    boolean anyFinished =
        runningReboots.values().removeIf(reboot -> reboot.upAtMillis() <= nowMillis);
    if (anyFinished) {
      vms.replaceAll(
          (id, vm) ->
              vm.state() == VmState.LEAVING && !runningReboots.containsKey(id)
                  ? withState(vm, VmState.LIVE, vm.incarnation() + 1)
                  : vm);
      recordListing(nowMillis);
    }
  }

  /** Records the current state of all VMs as the next version of the list. */
  private void recordListing(long nowMillis) {
    listVersion++;
    listings.addLast(
        new TimedListing(nowMillis, new Listing(listVersion, ImmutableList.copyOf(vms.values()))));
  }

  private static Vm withState(Vm vm, VmState state, long incarnation) {
    return new Vm(vm.id(), vm.role(), vm.address(), vm.zone(), state, incarnation);
  }
}
