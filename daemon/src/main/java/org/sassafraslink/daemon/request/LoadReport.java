package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableMap;

/**
 * The load of a process, which it sends to its peers.
 *
 * @param unmetDemandOfRequests permits that waiting requests lack, by team
 * @param unmetDemandOfJobs permits that waiting jobs need, by team; reported only by the placer
 * @param inFlightByVm requests in flight, by VM
 * @param rowVersionByVm version of the ownership row that the process applies, by draining VM;
 *     other VMs are absent or have the value 0
 */
public record LoadReport(
    ImmutableMap<String, Integer> unmetDemandOfRequests,
    ImmutableMap<String, Integer> unmetDemandOfJobs,
    ImmutableMap<String, Integer> inFlightByVm,
    ImmutableMap<String, Long> rowVersionByVm) {
  /** Returns the report of a process that has not received any request yet. */
  public static LoadReport empty() {
    return new LoadReport(
        ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());
  }

  /** Returns this report with the permits that waiting jobs need, by team. */
  public LoadReport withUnmetDemandOfJobs(ImmutableMap<String, Integer> newUnmetDemand) {
    return new LoadReport(unmetDemandOfRequests, newUnmetDemand, inFlightByVm, rowVersionByVm);
  }
}
