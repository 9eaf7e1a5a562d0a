package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.log.EventLog;

/** Caches the platform's list of VMs, which is read only on calls of {@link #refreshIfDue}. */
final class VmInventory {
  /** Delay between a response and the next read of the list, in ms. */
  private static final long REFRESH_INTERVAL_MILLIS = 700;

  /** Age above which a list is too old for decisions, in ms. */
  private static final long MAX_AGE_MILLIS = 2_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final VmClient client;
  private final FleetClock clock;
  private final EventLog log;
  private ImmutableList<Vm> vms = ImmutableList.of();
  private ImmutableMap<String, Vm> vmsById = ImmutableMap.of();
  private long listRequestedMillis = NEVER;
  private long nextRefreshMillis;
  private boolean refreshPending;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  VmInventory(VmClient client, FleetClock clock, EventLog log) {
    this.client = client;
    this.clock = clock;
    this.log = log;
  }

  void reset() {
    generation++;
    refreshPending = false;
    listRequestedMillis = NEVER;
    nextRefreshMillis = 0;
  }

  /** Reads the list again if that is due. */
  void refreshIfDue(long nowMillis) {
    if (refreshPending || nowMillis < nextRefreshMillis) {
      return;
    }
    refreshPending = true;
    long sentGeneration = generation;
    client.list(
        response -> {
          if (generation != sentGeneration) {
            return;
          }
          refreshPending = false;
          nextRefreshMillis = clock.monotonicMillis() + REFRESH_INTERVAL_MILLIS;
          if (response.isRight()) {
            vms = response.get();
            vmsById = indexById(vms);
            listRequestedMillis = nowMillis;
          } else {
            log.log("machines.list_failed", "failure", response.getLeft());
          }
        });
  }

  boolean isFresh(long nowMillis) {
    return nowMillis - listRequestedMillis < MAX_AGE_MILLIS;
  }

  /** Returns when the current list was requested, monotonic ms. */
  long listRequestedMillis() {
    return listRequestedMillis;
  }

  ImmutableList<Vm> vms() {
    return vms;
  }

  Optional<Vm> findVm(String id) {
    return Optional.ofNullable(vmsById.get(id));
  }

  private static ImmutableMap<String, Vm> indexById(ImmutableList<Vm> vms) {
    Map<String, Vm> byId = new LinkedHashMap<>();
    vms.forEach(vm -> byId.putIfAbsent(vm.id(), vm));
    return ImmutableMap.copyOf(byId);
  }
}
