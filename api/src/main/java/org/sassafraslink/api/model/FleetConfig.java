package org.sassafraslink.api.model;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * One version of the complete configuration, compiled from the operators' service files.
 *
 * <p>Maps are keyed by name and preserve the order of their entries, so that equal configurations
 * have equal JSON and therefore equal digests.
 */
public record FleetConfig(
    String schema,
    ImmutableMap<String, Pool> pools,
    ImmutableMap<String, Service> services,
    ImmutableMap<String, JobQueue> jobQueues,
    ImmutableMap<String, Team> teams,
    ImmutableMap<String, MaintenancePlan> plans) {
  /** Identifies the format of the configuration. */
  public static final String SCHEMA = "sassafraslink/v1";

  /** The urgency of the work in a queue, most urgent first. */
  public enum WorkClass {
    URGENT,
    COUNTER,
    BOOKKEEPING
  }

  /** How an entry daemon makes sure that an answer of a backend server belongs to the request. */
  public enum AnswerCheck {
    /** The backend server returns the id of the request in a header; connections are reused. */
    ECHO,
    /** Each request uses a new connection. */
    FRESH_CONNECTION
  }

  /**
   * A pool of VMs.
   *
   * @param size the number of VMs that the pool should have
   * @param spare whether this is the spare pool, from which VMs move to pools below their size
   */
  public record Pool(String name, int size, boolean spare) {}

  /** How many instances of a service may be unavailable at once, in total and in each zone. */
  public record AvailabilityBudget(int maxUnavailable, int maxUnavailablePerZone) {}

  /**
   * A queue of a service.
   *
   * @param open whether requests are accepted without a key
   * @param timeoutMillis the time from the receipt of a request to its deadline, in ms
   */
  public record Queue(String name, WorkClass workClass, boolean open, long timeoutMillis) {}

  /**
   * A service, which has one instance on each VM of its pool.
   *
   * @param slots how many requests one instance processes at once
   */
  public record Service(
      String name,
      String pool,
      int port,
      int slots,
      AnswerCheck answerCheck,
      AvailabilityBudget availability,
      ImmutableMap<String, Queue> queues) {}

  /** A queue of jobs that run on workers. */
  public record JobQueue(String name, WorkClass workClass) {}

  /**
   * A key of a team.
   *
   * @param id the public id of the key, which is the part before its dot
   * @param digest the digest of the whole key
   */
  public record TeamKey(String id, String digest) {}

  /**
   * A team.
   *
   * @param share the weight of the team against other teams when not all work can run at the same
   *     time
   * @param limit the upper limit on running requests and jobs of the team in the whole fleet
   */
  public record Team(String name, int share, int limit, ImmutableList<TeamKey> keys) {}

  /**
   * A maintenance plan, which reboots each VM of some pools once.
   *
   * @param generation increased by the operator to run the plan once more
   * @param pools the names of the pools
   */
  public record MaintenancePlan(
      String name, int generation, ImmutableList<String> pools, long drainTimeoutMillis) {}

  /** Returns a configuration without any entries. */
  public static FleetConfig empty() {
    return new FleetConfig(
        SCHEMA,
        ImmutableMap.of(),
        ImmutableMap.of(),
        ImmutableMap.of(),
        ImmutableMap.of(),
        ImmutableMap.of());
  }

  /** Returns the key with the public id {@code id} and its team, or empty if there is none. */
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
