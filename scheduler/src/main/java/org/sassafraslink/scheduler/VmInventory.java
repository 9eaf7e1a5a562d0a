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
import org.sassafraslink.scheduler.vm.CommandAnswers;

/**
 * Caches the platform's list of VMs, which is read only on calls of {@link #refreshIfDue}, and
 * knows which commands of this process the list does not show yet.
 */
final class VmInventory {
  /** Delay between a response and the next read of the list, in ms. */
  private static final long REFRESH_INTERVAL_MILLIS = 700;

  /** Age above which a list is too old for decisions, in ms. */
  private static final long MAX_AGE_MILLIS = 2_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final VmClient client;
  private final FleetClock clock;
  private final EventLog log;
  private final CommandAnswers commandAnswers = CommandAnswers.create();
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

  /** Discards the list and all commands, because this process has just acquired the lease. */
  void reset() {
    generation++;
    refreshPending = false;
    commandAnswers.reset();
    vms = ImmutableList.of();
    vmsById = ImmutableMap.of();
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

  /** Records that a command to a VM is about to be sent. */
  void recordCommand(String vm) {
    commandAnswers.recordSending(vm);
  }

  /** Records that the last command to a VM was answered or given up at {@code nowMillis}. */
  void recordAnswer(String vm, long nowMillis) {
    commandAnswers.recordAnswer(vm, nowMillis);
  }

  /** Returns whether no command of this process to a VM is waiting for its answer. */
  boolean isLastCommandAnswered(String vm) {
    return commandAnswers.isAnswered(vm);
  }

  /** Returns whether the list shows the effect of the last command of this process to a VM. */
  boolean showsLastCommand(String vm) {
    return commandAnswers.areShownBy(vm, listRequestedMillis);
  }

  private static ImmutableMap<String, Vm> indexById(ImmutableList<Vm> vms) {
    Map<String, Vm> byId = new LinkedHashMap<>();
    vms.forEach(vm -> byId.putIfAbsent(vm.id(), vm));
    return ImmutableMap.copyOf(byId);
  }
}
