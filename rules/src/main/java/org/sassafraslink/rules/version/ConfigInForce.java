package org.sassafraslink.rules.version;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.api.model.FleetConfig.TeamKey;

/**
 * Decides which configuration a process acts on while an accept is under way.
 *
 * <p>Once an intent is known, the process cannot tell whether it was accepted. It then acts only on
 * what both versions allow: keys present in both, and the lower of the two limits.
 */
public final class ConfigInForce {
  private ConfigInForce() {}

  /** The accepted configuration, narrowed to what {@code intended} allows too. */
  public static FleetConfig narrow(FleetConfig accepted, Optional<FleetConfig> intended) {
    return intended.map(next -> withTeams(accepted, next)).orElse(accepted);
  }

  private static FleetConfig withTeams(FleetConfig accepted, FleetConfig intended) {
    ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
    accepted
        .teams()
        .forEach((name, team) -> teams.put(name, narrowTeam(team, intended.teams().get(name))));
    return new FleetConfig(
        accepted.schema(),
        accepted.pools(),
        accepted.services(),
        accepted.jobQueues(),
        teams.buildOrThrow(),
        accepted.plans());
  }

  private static Team narrowTeam(Team accepted, Team intended) {
    if (intended == null) {
      return new Team(accepted.name(), accepted.share(), 0, ImmutableList.of());
    }
    ImmutableList<TeamKey> common =
        accepted.keys().stream()
            .filter(intended.keys()::contains)
            .collect(ImmutableList.toImmutableList());
    int limit = Math.min(accepted.limit(), intended.limit());
    return new Team(accepted.name(), accepted.share(), limit, common);
  }
}
