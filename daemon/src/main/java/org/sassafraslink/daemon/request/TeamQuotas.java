package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.daemon.request.DispatchStatus.TeamStatus;
import org.sassafraslink.daemon.request.QuotaWriter.Task;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.process.ProcessQuota.PendingWrite;

/**
 * Holds the quotas of all teams in this process, and the permits that are released after a delay.
 *
 * <p>Not thread-safe; used only by the dispatcher's thread.
 */
final class TeamQuotas {
  /**
   * A permit of a failed attempt, which stays in use until a time because the backend server may
   * still be running the request.
   */
  private record DelayedRelease(String team, long releaseAtMillis) {}

  private final String self;
  private final Map<String, TeamQuota> quotaByTeam = new HashMap<>();
  private final ArrayDeque<DelayedRelease> delayedReleases = new ArrayDeque<>();

  TeamQuotas(String self) {
    this.self = self;
  }

  /** Returns the quota of a team; creates it when the team is first used. */
  TeamQuota quotaOf(String team, long nowMillis) {
    return quotaByTeam.computeIfAbsent(team, name -> TeamQuota.create(self, name, nowMillis));
  }

  /**
   * Releases the permit of a failed attempt after the timeout of the call's queue, the longest time
   * for which the request may still run.
   */
  void releasePermitLater(PendingCall call, long nowMillis) {
    if (call.submitter().isPresent()) {
      delayedReleases.add(
          new DelayedRelease(call.team(), nowMillis + call.queue().timeoutMillis()));
    }
  }

  /** Releases the permit of an attempt that is known not to be running. */
  void releasePermit(PendingCall call) {
    if (call.submitter().isPresent()) {
      quotaByTeam.get(call.team()).finishRequest();
    }
  }

  /** Releases the permits of failed attempts whose requests no longer run. */
  void releaseDuePermits(long nowMillis) {
    delayedReleases.removeIf(
        release -> {
          boolean isDue = release.releaseAtMillis() <= nowMillis;
          if (isDue) {
            quotaByTeam.get(release.team()).finishRequest();
          }
          return isDue;
        });
  }

  /**
   * Returns the writes and reads of quota rows that are due, and records them as begun.
   *
   * @param aliveMemberCount the number of processes that may be alive, this one included
   * @param peerReports the latest load reports, by process id
   */
  ImmutableList<Task> beginDueTasks(
      ActiveConfig active,
      int aliveMemberCount,
      ImmutableMap<String, LoadReport> peerReports,
      long nowMillis) {
    ImmutableList.Builder<Task> tasks = ImmutableList.builder();
    for (Team team : active.config().teams().values()) {
      TeamQuota quota = quotaOf(team.name(), nowMillis);
      Optional<PendingWrite> write =
          quota.beginWriteIfDue(
              team.limit(),
              active.version(),
              aliveMemberCount,
              unmetDemandByPeer(peerReports, team.name()),
              unmetDemandOfJobs(peerReports, team.name()),
              nowMillis);
      // A peer may have transferred permits to this process, which a read of the row shows.
      if (write.isPresent() || quota.beginReadIfDue(nowMillis)) {
        tasks.add(new Task(team.name(), write));
      }
    }
    return tasks.build();
  }

  /** Returns the permits that waiting requests lack, by team; teams that lack none are left out. */
  ImmutableMap<String, Integer> unmetDemandByTeam() {
    ImmutableMap.Builder<String, Integer> unmetByTeam = ImmutableMap.builder();
    quotaByTeam.forEach(
        (team, quota) -> {
          // Calls without a team have an empty team name and need no permits.
          if (!team.isEmpty() && quota.unmetDemand() > 0) {
            unmetByTeam.put(team, quota.unmetDemand());
          }
        });
    return unmetByTeam.buildOrThrow();
  }

  ImmutableMap<String, TeamStatus> status() {
    ImmutableMap.Builder<String, TeamStatus> statusByTeam = ImmutableMap.builder();
    quotaByTeam.forEach(
        (team, quota) ->
            statusByTeam.put(
                team,
                new TeamStatus(
                    quota.processQuota().usablePermits(),
                    quota.processQuota().running(),
                    quota.waitingRequests(),
                    quota.processQuota().row().limit())));
    return statusByTeam.buildOrThrow();
  }

  private static int unmetDemandOfJobs(ImmutableMap<String, LoadReport> peerReports, String team) {
    return peerReports.values().stream()
        .mapToInt(report -> report.unmetDemandOfJobs().getOrDefault(team, 0))
        .sum();
  }

  private static Map<String, Integer> unmetDemandByPeer(
      ImmutableMap<String, LoadReport> peerReports, String team) {
    Map<String, Integer> unmetByPeer = new HashMap<>();
    peerReports.forEach(
        (peer, report) ->
            unmetByPeer.put(peer, report.unmetDemandOfRequests().getOrDefault(team, 0)));
    return unmetByPeer;
  }
}
