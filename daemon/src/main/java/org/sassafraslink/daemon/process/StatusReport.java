package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.sassafraslink.daemon.request.DispatchStatus;

/**
 * What a daemon tells operators of the fleet and of itself.
 *
 * @param versionInForce the version that this daemon acts on; -1 if it refuses everything
 */
public record StatusReport(
    String daemon,
    long versionInForce,
    long versionKnown,
    boolean storeReachable,
    ImmutableList<MemberStatus> members,
    ImmutableList<PoolStatus> pools,
    ImmutableList<TeamReport> teams,
    ImmutableList<WaveStatus> waves,
    DispatchStatus dispatch) {
  /** A registered daemon; {@code versionKnown} is -1 if it has not answered. */
  public record MemberStatus(
      String id, String zone, String standing, long versionKnown, long answeredMillisAgo) {}

  /** A pool with its VMs. */
  public record PoolStatus(String name, int size, boolean spare, ImmutableList<VmStatus> vms) {}

  /** A VM; {@code notProvedEmptyBy} names the daemons for which a drain waits. */
  public record VmStatus(
      String id,
      String zone,
      String listed,
      String phase,
      String target,
      ImmutableList<String> notProvedEmptyBy) {}

  /** A team against its limit, from the last read of its row. */
  public record TeamReport(
      String name,
      int share,
      int limit,
      int allotted,
      int jobs,
      ImmutableMap<String, Integer> units) {}

  /** A maintenance plan. */
  public record WaveStatus(String plan, int generation, int done, int total) {}
}
