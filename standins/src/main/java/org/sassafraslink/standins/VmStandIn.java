package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.api.platform.VmList.VmState;

/** The VMs of the platform stand-in: their true state, and the lagging list of it. */
final class VmStandIn {
  /** A VM that is down until {@code upAtMillis}, then comes back with a new incarnation. */
  private record Reboot(String operation, long upAtMillis) {}

  private record Past(long atMillis, Listing listing) {}

  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final Map<String, Reboot> reboots = new LinkedHashMap<>();
  private final Map<String, String> lastReboot = new LinkedHashMap<>();
  private final ArrayDeque<Past> history = new ArrayDeque<>();
  private final long lagMillis;
  private final long rebootMillis;
  private long version;

  VmStandIn(long lagMillis, long rebootMillis) {
    this.lagMillis = lagMillis;
    this.rebootMillis = rebootMillis;
  }

  synchronized void put(Vm vm, long nowMillis) {
    vms.put(vm.id(), vm);
    changed(nowMillis);
  }

  synchronized void remove(String id, long nowMillis) {
    vms.remove(id);
    changed(nowMillis);
  }

  synchronized void reboot(String id, String operation, long nowMillis) {
    if (!vms.containsKey(id) || operation.equals(lastReboot.get(id))) {
      return;
    }
    lastReboot.put(id, operation);
    reboots.put(id, new Reboot(operation, nowMillis + rebootMillis));
    vms.computeIfPresent(id, (key, vm) -> with(vm, VmState.LEAVING, vm.incarnation()));
    changed(nowMillis);
  }

  /** The ids of the VMs that are down now. */
  synchronized ImmutableList<String> down(long nowMillis) {
    finishReboots(nowMillis);
    return ImmutableList.copyOf(reboots.keySet());
  }

  /** The list as it was {@code lagMillis} ago. */
  synchronized Listing listing(long nowMillis) {
    finishReboots(nowMillis);
    while (history.size() > 1 && secondAge(nowMillis) >= lagMillis) {
      history.removeFirst();
    }
    return history.isEmpty() ? new Listing(0, ImmutableList.of()) : history.getFirst().listing();
  }

  private long secondAge(long nowMillis) {
    return nowMillis - history.stream().skip(1).findFirst().orElseThrow().atMillis();
  }

  private void finishReboots(long nowMillis) {
    boolean ended = reboots.values().removeIf(reboot -> reboot.upAtMillis() <= nowMillis);
    if (ended) {
      vms.replaceAll(
          (id, vm) ->
              vm.state() == VmState.LEAVING && !reboots.containsKey(id)
                  ? with(vm, VmState.LIVE, vm.incarnation() + 1)
                  : vm);
      changed(nowMillis);
    }
  }

  private void changed(long nowMillis) {
    version++;
    history.addLast(new Past(nowMillis, new Listing(version, ImmutableList.copyOf(vms.values()))));
  }

  private static Vm with(Vm vm, VmState state, long incarnation) {
    return new Vm(vm.id(), vm.role(), vm.address(), vm.zone(), state, incarnation);
  }
}
