package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableMap;

/**
 * What a process tells its peers of its load.
 *
 * @param unmet units that waiting requests lack, by team
 * @param jobUnmet units that waiting jobs lack, by team; only the placer tells them
 * @param inFlight requests in flight, by VM
 * @param rowVersions version of the ownership row that the process acts on, by draining VM
 */
public record LoadReport(
    ImmutableMap<String, Integer> unmet,
    ImmutableMap<String, Integer> jobUnmet,
    ImmutableMap<String, Integer> inFlight,
    ImmutableMap<String, Long> rowVersions) {
  /** The report of a process that has done nothing yet. */
  public static LoadReport empty() {
    return new LoadReport(
        ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of());
  }

  /** This report with the units that jobs lack. */
  public LoadReport withJobUnmet(ImmutableMap<String, Integer> next) {
    return new LoadReport(unmet, next, inFlight, rowVersions);
  }
}
