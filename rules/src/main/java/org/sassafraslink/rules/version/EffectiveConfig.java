package org.sassafraslink.rules.version;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.api.model.FleetConfig.TeamKey;

/**
 * Decides which configuration a process applies while a new one is being accepted.
 *
 * <p>A process that has read an intent does not know whether the intended configuration has been
 * accepted since. It then applies the accepted configuration, restricted for each team to the keys
 * that are in both configurations and to the lower of the two upper limits.
 */
public final class EffectiveConfig {
  private EffectiveConfig() {}

  /**
   * Returns {@code accepted}, with the keys and upper limits of its teams restricted to what {@code
   * intended} allows too. A team that is missing from {@code intended} has no keys and an upper
   * limit of 0.
   *
   * @param intended the configuration that is being accepted; empty if there is none
   */
  public static FleetConfig of(FleetConfig accepted, Optional<FleetConfig> intended) {
    return intended.map(next -> restrictTeams(accepted, next)).orElse(accepted);
  }

  private static FleetConfig restrictTeams(FleetConfig accepted, FleetConfig intended) {
    ImmutableMap.Builder<String, Team> teams = ImmutableMap.builder();
    accepted
        .teams()
        .forEach((name, team) -> teams.put(name, restrictTeam(team, intended.teams().get(name))));
    return new FleetConfig(
        accepted.schema(),
        accepted.pools(),
        accepted.services(),
        accepted.jobQueues(),
        teams.buildOrThrow(),
        accepted.plans());
  }

  private static Team restrictTeam(Team accepted, Team intended) {
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
