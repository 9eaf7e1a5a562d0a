package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.sassafraslink.daemon.request.DispatchStatus;

/**
 * The status of a daemon and of the fleet as this daemon knows it, shown to operators as JSON.
 *
 * @param daemon the id of the daemon that wrote the report
 * @param versionInForce the configuration version that this daemon acts on; -1 if it rejects all
 *     requests
 * @param versionKnown the newest accepted configuration version that this daemon knows
 * @param storeReachable whether the last reads of the head row and the ownership rows succeeded
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
  /**
   * A registered daemon.
   *
   * @param standing the name of its registration status
   * @param versionKnown the newest configuration version that it reported to know; -1 if it has not
   *     answered
   * @param answeredMillisAgo the time since its last answer, in ms; 0 for this daemon itself, -1 if
   *     it has not answered
   */
  public record MemberStatus(
      String id, String zone, String standing, long versionKnown, long answeredMillisAgo) {}

  /**
   * A pool with its VMs.
   *
   * @param size the number of VMs that the pool should have
   * @param spare whether this is the spare pool
   */
  public record PoolStatus(String name, int size, boolean spare, ImmutableList<VmStatus> vms) {}

  /**
   * A VM of a pool.
   *
   * @param zone the VM's zone; empty if it is not listed
   * @param listed the VM's state in the platform's list, or {@code ABSENT}
   * @param phase the name of the phase in its ownership row
   * @param target the pool to which it moves; empty if it does not move
   * @param notProvedEmptyBy the ids of the daemons that have not reported it empty and so delay its
   *     drain; known only to the daemon that is the leader of the planner task
   */
  public record VmStatus(
      String id,
      String zone,
      String listed,
      String phase,
      String target,
      ImmutableList<String> notProvedEmptyBy) {}

  /**
   * The use of a team's upper limit, read from the team's quota row.
   *
   * @param allotted the permits allocated to processes and jobs together
   * @param jobs the number of running jobs, each of which takes one permit
   * @param units the permits of each process, by process id
   */
  public record TeamReport(
      String name,
      int share,
      int limit,
      int allotted,
      int jobs,
      ImmutableMap<String, Integer> units) {}

  /**
   * The progress of a maintenance plan.
   *
   * @param done the number of VMs that were rebooted in this generation
   * @param total the number of VMs in the plan's pools
   */
  public record WaveStatus(String plan, int generation, int done, int total) {}
}
