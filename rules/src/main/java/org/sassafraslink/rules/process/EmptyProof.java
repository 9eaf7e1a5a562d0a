package org.sassafraslink.rules.process;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import org.sassafraslink.rules.process.MemberSet.Member;

/**
 * Decides whether a draining VM is certainly empty.
 *
 * <p>Every registered daemon that may be alive must have seen the draining row and have nothing in
 * flight to the VM. A silent daemon may be paused with a request in its hands, so the VM is not
 * proved empty until that daemon answers or is certainly dead.
 */
public final class EmptyProof {
  /** What a daemon last said of a VM: the row version it acts on, and its requests in flight. */
  public record Report(long rowVersion, int inFlight) {}

  private EmptyProof() {}

  /** The daemons whose report is missing; the VM is empty if there are none. */
  public static ImmutableList<String> missing(
      MemberSet members, Map<String, Report> reports, long rowVersion) {
    return members.alive().stream()
        .map(Member::id)
        .filter(id -> !isEmpty(reports.get(id), rowVersion))
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean isEmpty(Report report, long rowVersion) {
    return report != null && report.rowVersion() >= rowVersion && report.inFlight() == 0;
  }
}
