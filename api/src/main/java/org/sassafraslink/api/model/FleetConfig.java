package org.sassafraslink.api.model;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * One version of the whole configuration, gathered from the operators' service files.
 *
 * <p>Maps are keyed by name and keep the order of their keys, so that equal configurations have
 * equal JSON and hence equal digests.
 */
public record FleetConfig(
    String schema,
    ImmutableMap<String, Pool> pools,
    ImmutableMap<String, Service> services,
    ImmutableMap<String, JobQueue> jobQueues,
    ImmutableMap<String, Team> teams,
    ImmutableMap<String, MaintenancePlan> plans) {
  /** The schema of this format. */
  public static final String SCHEMA = "sassafraslink/v1";

  /** How urgent the work of a queue is, most urgent first. */
  public enum WorkClass {
    URGENT,
    COUNTER,
    BOOKKEEPING
  }

  /** How an answer is tied to its request on a connection to a backend server. */
  public enum AnswerCheck {
    /** The backend server repeats the request's id in a header; connections are reused. */
    ECHO,
    /** Each request has a connection of its own. */
    FRESH_CONNECTION
  }

  /** A pool of VMs; the spare pool is the buffer from which others grow. */
  public record Pool(String name, int size, boolean spare) {}

  /** How many of a service's instances may be unavailable at once. */
  public record AvailabilityBudget(int maxUnavailable, int maxUnavailablePerZone) {}

  /** A queue of a service; an open queue takes work without a key. */
  public record Queue(String name, WorkClass workClass, boolean open, long timeoutMillis) {}

  /** A service, with one instance on each VM of its pool. */
  public record Service(
      String name,
      String pool,
      int port,
      int slots,
      AnswerCheck answerCheck,
      AvailabilityBudget availability,
      ImmutableMap<String, Queue> queues) {}

  /** A queue of jobs for workers. */
  public record JobQueue(String name, WorkClass workClass) {}

  /** A key of a team: the public id in front of the dot, and the digest of the whole key. */
  public record TeamKey(String id, String digest) {}

  /**
   * A team.
   *
   * @param share weight against other teams when everything is full
   * @param limit upper limit on running requests and jobs over the whole fleet
   */
  public record Team(String name, int share, int limit, ImmutableList<TeamKey> keys) {}

  /** Reboots each VM of some pools once; a higher generation starts the plan anew. */
  public record MaintenancePlan(
      String name, int generation, ImmutableList<String> pools, long drainTimeoutMillis) {}

  /** The configuration without any entry. */
  public static FleetConfig empty() {
    return new FleetConfig(
        SCHEMA,
        ImmutableMap.of(),
        ImmutableMap.of(),
        ImmutableMap.of(),
        ImmutableMap.of(),
        ImmutableMap.of());
  }

  /** The team and key with the public key id {@code id}. */
  public Optional<TeamAndKey> keyById(String id) {
    for (Team team : teams.values()) {
      for (TeamKey key : team.keys()) {
        if (key.id().equals(id)) {
          return Optional.of(new TeamAndKey(team, key));
        }
      }
    }
    return Optional.empty();
  }

  /** A key with the team that holds it. */
  public record TeamAndKey(Team team, TeamKey key) {}
}
