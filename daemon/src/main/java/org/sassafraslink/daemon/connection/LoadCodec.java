package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableMap;
import java.util.TreeSet;
import org.sassafraslink.daemon.request.LoadReport;
import org.sassafraslink.wire.generated.Load;
import org.sassafraslink.wire.generated.TeamNeed;
import org.sassafraslink.wire.generated.VmReport;

/**
 * Converts a load report to a {@link Load} message and back.
 *
 * <p>The message lists each team and each VM once, with 0 for a number that the report does not
 * contain.
 */
final class LoadCodec {
  private LoadCodec() {}

  static Load toMessage(LoadReport report) {
    Load.Builder message = Load.newBuilder();
    TreeSet<String> teams = new TreeSet<>(report.unmetDemandOfRequests().keySet());
    teams.addAll(report.unmetDemandOfJobs().keySet());
    for (String team : teams) {
      message.addTeams(
          TeamNeed.newBuilder()
              .setTeam(team)
              .setUnmet(report.unmetDemandOfRequests().getOrDefault(team, 0))
              .setJobUnmet(report.unmetDemandOfJobs().getOrDefault(team, 0)));
    }
    TreeSet<String> vms = new TreeSet<>(report.inFlightByVm().keySet());
    vms.addAll(report.rowVersionByVm().keySet());
    for (String vm : vms) {
      message.addVms(
          VmReport.newBuilder()
              .setVm(vm)
              .setInFlight(report.inFlightByVm().getOrDefault(vm, 0))
              .setRowVersion(report.rowVersionByVm().getOrDefault(vm, 0L)));
    }
    return message.build();
  }

  static LoadReport fromMessage(Load message) {
    ImmutableMap.Builder<String, Integer> unmetDemandOfRequests = ImmutableMap.builder();
    ImmutableMap.Builder<String, Integer> unmetDemandOfJobs = ImmutableMap.builder();
    for (TeamNeed need : message.getTeamsList()) {
      unmetDemandOfRequests.put(need.getTeam(), need.getUnmet());
      unmetDemandOfJobs.put(need.getTeam(), need.getJobUnmet());
    }
    ImmutableMap.Builder<String, Integer> inFlightByVm = ImmutableMap.builder();
    ImmutableMap.Builder<String, Long> rowVersionByVm = ImmutableMap.builder();
    for (VmReport vm : message.getVmsList()) {
      inFlightByVm.put(vm.getVm(), vm.getInFlight());
      rowVersionByVm.put(vm.getVm(), vm.getRowVersion());
    }
    return new LoadReport(
        unmetDemandOfRequests.buildKeepingLast(),
        unmetDemandOfJobs.buildKeepingLast(),
        inFlightByVm.buildKeepingLast(),
        rowVersionByVm.buildKeepingLast());
  }
}
