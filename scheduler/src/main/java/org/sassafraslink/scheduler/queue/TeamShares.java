package org.sassafraslink.scheduler.queue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Divides the room of a pool among teams by weighted max-min fairness: no team gets more than it
 * asks for, and what a team leaves is divided among the others by their weights.
 */
public final class TeamShares {
  /** The weight of a team for which the configuration has none. */
  private static final double DEFAULT_WEIGHT = 1;

  private TeamShares() {}

  /**
   * Returns the share of each team.
   *
   * @param demandByTeam what each team asks for
   * @param weightByTeam the weights of the teams; teams with a weight of 0 or without one count
   *     with a weight of 1
   * @param room what is divided, in the unit of the demand
   */
  public static ImmutableMap<String, Double> of(
      Map<String, Double> demandByTeam, Map<String, Double> weightByTeam, double room) {
    record Demand(String team, double amount, double weight) {
      double perWeight() {
        return amount / weight;
      }
    }
    List<Demand> demands = new ArrayList<>();
    demandByTeam.forEach(
        (team, amount) -> {
          double weight = weightByTeam.getOrDefault(team, 0.0);
          demands.add(new Demand(team, amount, weight > 0 ? weight : DEFAULT_WEIGHT));
        });
    demands.sort(Comparator.comparingDouble(Demand::perWeight));
    double remainingRoom = room;
    double remainingWeight = demands.stream().mapToDouble(Demand::weight).sum();
    ImmutableMap.Builder<String, Double> shares = ImmutableMap.builder();
    for (Demand demand : demands) {
      double share = Math.min(demand.amount(), remainingRoom * demand.weight() / remainingWeight);
      shares.put(demand.team(), share);
      remainingRoom -= share;
      remainingWeight -= demand.weight();
    }
    return shares.buildOrThrow();
  }
}
