package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import org.sassafraslink.rules.process.MemberSet.Member;

/**
 * Decides whether a draining VM is empty, which means that no entry daemon has a request in flight
 * to it and none will send another one.
 *
 * <p>Every registered daemon that may be alive must have reported that it acts on the ownership row
 * that marks the VM as draining, and that it has no request in flight to the VM. A daemon that does
 * not respond may be paused in the middle of a request, so the VM does not count as empty until
 * that daemon reports or is known to be dead.
 */
public final class EmptyVmCheck {
  /**
   * The last report of one daemon about one VM.
   *
   * @param rowVersion the version of the VM's ownership row that the daemon acts on
   * @param inFlight the number of requests that the daemon has in flight to the VM
   */
  public record Report(long rowVersion, int inFlight) {}

  private EmptyVmCheck() {}

  /**
   * Returns the ids of the daemons that have not reported the VM empty; the VM is empty if there
   * are none.
   *
   * @param reports the last reports about the VM, by the id of the daemon
   * @param drainingRowVersion the version of the ownership row that marks the VM as draining
   */
  public static ImmutableList<String> membersWithoutEmptyReport(
      MemberSet members, Map<String, Report> reports, long drainingRowVersion) {
    return members.aliveMembers().stream()
        .map(Member::id)
        .filter(id -> !reportsEmpty(reports.get(id), drainingRowVersion))
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean reportsEmpty(Report report, long drainingRowVersion) {
    return report != null && report.rowVersion() >= drainingRowVersion && report.inFlight() == 0;
  }
}
