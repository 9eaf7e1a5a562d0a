package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * A version of the configuration, as the operator put it in force.
 *
 * @param version only rises
 * @param queues by name
 * @param services by name
 * @param teams by name
 * @param limits bounds on callers' requests
 */
public record FleetSettings(
    long version,
    ImmutableMap<String, QueueConfig> queues,
    ImmutableMap<String, ServiceConfig> services,
    ImmutableMap<String, TeamConfig> teams,
    RequestLimits limits) {

  /**
   * A pool of workers.
   *
   * @param guardsCapacity whether its workers refuse what does not fit
   * @param standby whether its VMs are powered off and cost nothing
   */
  public record ServiceConfig(String name, boolean guardsCapacity, boolean standby) {}

  /**
   * A team.
   *
   * @param weight its share when all is full
   * @param cap what it may have running at once; a part that is 0 is not limited
   */
  public record TeamConfig(String name, ImmutableList<String> keys, double weight, Resources cap) {}

  /** Bounds on a caller's request: sizes in bytes, times in milliseconds. */
  public record RequestLimits(
      int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}

  /** The queue with the longest prefix of {@code path} at {@code host}. */
  public Optional<QueueConfig> queueFor(String host, String path) {
    QueueConfig best = null;
    for (QueueConfig queue : queues.values()) {
      boolean matches = queue.host().equals(host) && path.startsWith(queue.pathPrefix());
      boolean isLonger = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (matches && isLonger) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** The team that holds {@code key}. */
  public Optional<TeamConfig> teamOf(String key) {
    return teams.values().stream().filter(team -> team.keys().contains(key)).findFirst();
  }
}
