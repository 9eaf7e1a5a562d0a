package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableMap;

/**
 * A snapshot of the dispatcher's state for the status report and the metrics.
 *
 * @param waitingByService the number of queued calls of each service
 * @param inFlightByVm the number of attempts in flight to each VM
 * @param teams the teams' quotas, by team name
 */
public record DispatchStatus(
    ImmutableMap<String, Integer> waitingByService,
    ImmutableMap<String, Integer> inFlightByVm,
    ImmutableMap<String, TeamStatus> teams) {
  /**
   * A team's quota in this process.
   *
   * @param held the permits that this process may use
   * @param running the permits in use
   * @param waiting the number of queued calls of the team
   * @param limit the team's upper limit in the last known quota row
   */
  public record TeamStatus(int held, int running, int waiting, int limit) {}

  /** Returns the snapshot of a process that has not received any call yet. */
  public static DispatchStatus empty() {
    return new DispatchStatus(ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());
  }
}
