package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig.Service;
import org.sassafraslink.daemon.process.FleetView;
import org.sassafraslink.rules.request.FairQueue;
import org.sassafraslink.rules.request.InstanceChoice;
import org.sassafraslink.rules.request.InstanceChoice.Candidate;
import org.sassafraslink.rules.request.InstanceHealth;
import org.sassafraslink.rules.request.RetryBudget;
import org.sassafraslink.rules.request.SlotSplit;

/**
 * The waiting calls of one service, and the load and health of its instances.
 *
 * <p>Not thread-safe; used only by the dispatcher's thread.
 */
final class ServiceState {
  /**
   * The weight of the latest attempt in the moving average of the slot time, which is the time for
   * which an attempt uses a slot of an instance.
   */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** The slot time assumed before the first attempt of a queue has ended, in ms. */
  private static final double INITIAL_SLOT_MILLIS = 50;

  private final FairQueue<PendingCall> queue;
  private final Map<String, Integer> inFlightByVm = new HashMap<>();
  private final Map<String, InstanceHealth> healthByVm = new HashMap<>();
  private final Map<String, Double> meanSlotMillisByQueue = new HashMap<>();
  private Service service;
  private ImmutableList<FleetView.UsableVm> usableVms = ImmutableList.of();
  private ImmutableMap<String, Integer> guaranteedSlotsByVm = ImmutableMap.of();
  private RetryBudget retryBudget = RetryBudget.full();

  private ServiceState(Service service, FairQueue.Bounds queueBounds) {
    this.service = service;
    this.queue = FairQueue.create(queueBounds);
  }

  static ServiceState create(Service service, FairQueue.Bounds queueBounds) {
    return new ServiceState(service, queueBounds);
  }

  /**
   * Updates the service and its instances.
   *
   * @param newService the service in the configuration that this process applies
   * @param self the id of this process
   * @param aliveMemberIds the ids of all processes that may be alive, this one included
   */
  void refresh(
      Service newService,
      FleetView fleetView,
      String self,
      ImmutableList<String> aliveMemberIds,
      long nowMillis) {
    service = newService;
    usableVms = fleetView.usableVms(newService.pool(), nowMillis);
    ImmutableMap.Builder<String, Integer> slotsByVm = ImmutableMap.builder();
    for (FleetView.UsableVm usableVm : usableVms) {
      String vm = usableVm.vm().id();
      slotsByVm.put(vm, SlotSplit.guaranteedSlots(vm, self, aliveMemberIds, newService.slots()));
    }
    guaranteedSlotsByVm = slotsByVm.buildOrThrow();
  }

  FairQueue<PendingCall> queue() {
    return queue;
  }

  Service service() {
    return service;
  }

  /**
   * Returns the instance for the next call; empty if no healthy instance has a free slot.
   *
   * @param peerInFlightByVm the calls that the peers have reported in flight, by VM
   * @param previousVm the VM of the failed attempt if this is a retry, otherwise an empty string
   */
  Optional<Candidate> chooseInstance(
      ImmutableMap<String, Integer> peerInFlightByVm,
      String ownZone,
      String previousVm,
      long nowMillis) {
    ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
    for (FleetView.UsableVm usableVm : usableVms) {
      String vm = usableVm.vm().id();
      int ownInFlight = inFlightByVm.getOrDefault(vm, 0);
      int peerInFlight = peerInFlightByVm.getOrDefault(vm, 0);
      candidates.add(
          new Candidate(
              vm,
              usableVm.vm().zone(),
              usableVm.vm().address(),
              ownInFlight + peerInFlight,
              SlotSplit.mayUseSlot(
                  ownInFlight,
                  guaranteedSlotsByVm.getOrDefault(vm, 0),
                  peerInFlight,
                  service.slots()),
              healthOf(vm).maySend(nowMillis)));
    }
    return InstanceChoice.chooseInstance(candidates.build(), ownZone, previousVm);
  }

  void onAttemptStarted(String vm) {
    inFlightByVm.merge(vm, 1, Integer::sum);
    healthByVm.put(vm, healthOf(vm).recordSend());
  }

  /**
   * Updates the load and health of the instance after an attempt, corrects the slot time charged to
   * the team, and updates the mean slot time of the call's queue.
   *
   * @param share the share of the call's team
   */
  void onAttemptEnded(PendingCall call, int share, String vm, boolean isSuccess, long nowMillis) {
    inFlightByVm.computeIfPresent(vm, (id, count) -> count > 1 ? count - 1 : null);
    healthByVm.put(
        vm, isSuccess ? healthOf(vm).recordSuccess() : healthOf(vm).recordFailure(nowMillis));
    double slotMillis = nowMillis - call.assignedMillis();
    double meanMillis = estimatedSlotMillis(call);
    queue.adjustCharge(call.team(), share, slotMillis - call.chargedMillis());
    meanSlotMillisByQueue.put(
        call.queue().name(), meanMillis + SMOOTHING_FACTOR * (slotMillis - meanMillis));
  }

  /** Returns the time for which a call is expected to use a slot, in ms. */
  double estimatedSlotMillis(PendingCall call) {
    return meanSlotMillisByQueue.getOrDefault(call.queue().name(), INITIAL_SLOT_MILLIS);
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  void setRetryBudget(RetryBudget newBudget) {
    retryBudget = newBudget;
  }

  Map<String, Integer> inFlightByVm() {
    return inFlightByVm;
  }

  private InstanceHealth healthOf(String vm) {
    return healthByVm.getOrDefault(vm, InstanceHealth.healthy());
  }
}
