package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * A version of the configuration that the operator has activated, as read from the platform's row
 * store.
 *
 * @param version a number that increases with each change
 * @param queues the queues by name
 * @param pools the services, which are pools of workers, by name
 * @param teams the teams by name
 * @param limits the bounds on callers' requests
 */
public record FleetSettings(
    long version,
    ImmutableMap<String, QueueConfig> queues,
    ImmutableMap<String, PoolConfig> pools,
    ImmutableMap<String, TeamConfig> teams,
    RequestLimits limits) {

  /**
   * A service, which is a pool of workers.
   *
   * @param enforcesCapacity whether its workers reject tasks that exceed their free capacity
   * @param standby whether its VMs are powered off and therefore cost nothing
   */
  public record PoolConfig(String name, boolean enforcesCapacity, boolean standby) {}

  /**
   * A team.
   *
   * @param keys the keys that identify requests of the team
   * @param weight the weight of the team against other teams when not all tasks can run at the same
   *     time
   * @param upperLimit the upper limit on the resources of all running tasks of the team; a resource
   *     with value 0 is not limited
   */
  public record TeamConfig(
      String name, ImmutableList<String> keys, double weight, Resources upperLimit) {}

  /**
   * Bounds on a caller's request: sizes in bytes, times in milliseconds.
   *
   * @param headerTimeoutMillis how long a caller may take to send the headers
   * @param idleTimeoutMillis how long a connection may be idle between two requests
   */
  public record RequestLimits(
      int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}

  /**
   * Returns the queue for requests to {@code path} at {@code host}: among the queues of that host
   * whose prefix matches, the one with the longest prefix. Returns empty if none matches.
   */
  public Optional<QueueConfig> queueForPath(String host, String path) {
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

  /** Returns the team that holds {@code key}, or empty if no team does. */
  public Optional<TeamConfig> teamForKey(String key) {
    return teams.values().stream().filter(team -> team.keys().contains(key)).findFirst();
  }
}
