package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.MaintenancePlan;
import org.sassafraslink.api.model.FleetConfig.Pool;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.daemon.connection.PeerExchange;
import org.sassafraslink.daemon.connection.PeerExchange.PeerState;
import org.sassafraslink.daemon.process.StatusReport.MemberStatus;
import org.sassafraslink.daemon.process.StatusReport.PoolStatus;
import org.sassafraslink.daemon.process.StatusReport.TeamReport;
import org.sassafraslink.daemon.process.StatusReport.VmStatus;
import org.sassafraslink.daemon.process.StatusReport.WaveStatus;
import org.sassafraslink.daemon.request.DispatchStatus;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.daemon.version.ConfigTracker;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.QuotaRow;
import org.sassafraslink.rules.process.VmOwnership;
import org.sassafraslink.rules.process.WavePlan.Progress;

/** Builds the status report of a daemon from its own state and from rows of the store. */
public final class StatusReader {
  /**
   * The objects from which the report is read.
   *
   * @param self the id of this daemon
   * @param isStoreReachable supplies whether the last reads of the head row and the ownership rows
   *     succeeded
   * @param membersWithoutEmptyReport supplies, for each draining VM, the daemons that have not
   *     reported it empty; known only to the daemon that is the leader of the planner task
   */
  record Sources(
      String self,
      TableService table,
      ConfigTracker configTracker,
      FleetState fleet,
      PeerExchange peers,
      Supplier<DispatchStatus> dispatchStatus,
      Supplier<Boolean> isStoreReachable,
      Supplier<ImmutableMap<String, ImmutableList<String>>> membersWithoutEmptyReport,
      Clock clock) {}

  private final Sources sources;

  private StatusReader(Sources sources) {
    this.sources = sources;
  }

  static StatusReader create(Sources sources) {
    return new StatusReader(sources);
  }

  /**
   * Reads the current status. If the quota rows or the progress of a maintenance plan cannot be
   * read from the store, the report shows the teams without permits or the plan without rebooted
   * VMs.
   */
  public StatusReport readStatus() {
    long nowMillis = sources.clock().monotonicMillis();
    FleetConfig config =
        sources
            .configTracker()
            .lastLoadedConfig()
            .map(ActiveConfig::config)
            .orElse(FleetConfig.empty());
    FleetView view = sources.fleet().view();
    return new StatusReport(
        sources.self(),
        sources.configTracker().activeConfig(nowMillis).map(ActiveConfig::version).orElse(-1L),
        sources.configTracker().freshness().known().head().version(),
        sources.isStoreReachable().get(),
        memberStatuses(view, nowMillis),
        poolStatuses(config, view),
        teamReports(config),
        waveStatuses(config, view),
        sources.dispatchStatus().get());
  }

  private ImmutableList<MemberStatus> memberStatuses(FleetView view, long nowMillis) {
    ImmutableMap<String, PeerState> states = sources.peers().statesByPeer();
    ImmutableList.Builder<MemberStatus> result = ImmutableList.builder();
    for (Member member : view.members().members().values()) {
      boolean isSelf = member.id().equals(sources.self());
      Optional<PeerState> state = Optional.ofNullable(states.get(member.id()));
      long version =
          isSelf
              ? sources.configTracker().freshness().known().head().version()
              : state.map(PeerState::configVersion).orElse(-1L);
      long answeredMillisAgo =
          isSelf ? 0 : state.map(peer -> nowMillis - peer.answeredAtMillis()).orElse(-1L);
      result.add(
          new MemberStatus(
              member.id(), member.zone(), member.standing().name(), version, answeredMillisAgo));
    }
    return result.build();
  }

  private ImmutableList<PoolStatus> poolStatuses(FleetConfig config, FleetView view) {
    ImmutableMap<String, ImmutableList<String>> membersWithoutEmptyReport =
        sources.membersWithoutEmptyReport().get();
    ImmutableList.Builder<PoolStatus> result = ImmutableList.builder();
    for (Pool pool : config.pools().values()) {
      ImmutableList<VmStatus> vms =
          view.ownershipByVm().values().stream()
              .map(Versioned::value)
              .filter(row -> row.pool().equals(pool.name()))
              .map(
                  row ->
                      vmStatus(
                          view,
                          row,
                          membersWithoutEmptyReport.getOrDefault(row.vm(), ImmutableList.of())))
              .collect(ImmutableList.toImmutableList());
      result.add(new PoolStatus(pool.name(), pool.size(), pool.spare(), vms));
    }
    return result.build();
  }

  private static VmStatus vmStatus(
      FleetView view, VmOwnership row, ImmutableList<String> membersWithoutEmptyReport) {
    Optional<Vm> listed = view.findListedVm(row.vm());
    return new VmStatus(
        row.vm(),
        listed.map(Vm::zone).orElse(""),
        listed.map(vm -> vm.state().name()).orElse("ABSENT"),
        row.phase().name(),
        row.target().orElse(""),
        membersWithoutEmptyReport);
  }

  private ImmutableList<TeamReport> teamReports(FleetConfig config) {
    Map<String, QuotaRow> rows = new LinkedHashMap<>();
    sources
        .table()
        .scan(QuotaRow.prefix())
        .forEach(
            scanned ->
                scanned.forEach(
                    row -> {
                      QuotaRow quotaRow = Json.readTrusted(row.value(), QuotaRow.class);
                      rows.put(quotaRow.team(), quotaRow);
                    }));
    ImmutableList.Builder<TeamReport> result = ImmutableList.builder();
    for (Team team : config.teams().values()) {
      QuotaRow row = rows.getOrDefault(team.name(), QuotaRow.create(team.name(), team.limit(), 0));
      result.add(
          new TeamReport(
              team.name(),
              team.share(),
              team.limit(),
              row.allocatedPermits(),
              row.jobs(),
              row.units()));
    }
    return result.build();
  }

  private ImmutableList<WaveStatus> waveStatuses(FleetConfig config, FleetView view) {
    ImmutableList.Builder<WaveStatus> result = ImmutableList.builder();
    for (MaintenancePlan plan : config.plans().values()) {
      int total =
          (int)
              view.ownershipByVm().values().stream()
                  .filter(row -> plan.pools().contains(row.value().pool()))
                  .count();
      int done =
          sources
              .table()
              .read(Progress.key(plan.name()))
              .toJavaOptional()
              .flatMap(row -> row)
              .map(row -> Json.readTrusted(row.value(), Progress.class))
              .filter(progress -> progress.generation() == plan.generation())
              .map(progress -> progress.done().size())
              .orElse(0);
      result.add(new WaveStatus(plan.name(), plan.generation(), done, total));
    }
    return result.build();
  }
}
