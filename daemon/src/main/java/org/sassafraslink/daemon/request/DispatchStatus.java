package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableMap;

/** A snapshot of the dispatcher for status and metrics. */
public record DispatchStatus(
    ImmutableMap<String, Integer> waitingByService,
    ImmutableMap<String, Integer> inFlightByVm,
    ImmutableMap<String, TeamStatus> teams) {
  /** A team's units at this process. */
  public record TeamStatus(int held, int running, int waiting, int limit) {}

  /** The snapshot of a process that has done nothing yet. */
  public static DispatchStatus empty() {
    return new DispatchStatus(ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());
  }
}
