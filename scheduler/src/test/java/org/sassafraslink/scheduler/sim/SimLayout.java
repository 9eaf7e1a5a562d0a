package org.sassafraslink.scheduler.sim;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.FleetSettings.RequestLimits;
import org.sassafraslink.api.fleet.FleetSettings.TeamConfig;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.QueueConfig.AdviceTimes;
import org.sassafraslink.api.fleet.Resources;

/**
 * Describes a simulated fleet: its configuration, its VMs and how long its tasks run.
 *
 * @param settings the published configuration
 * @param vmsByPool the number of VMs in each pool at the start
 * @param workerCapacity the capacity of every worker
 * @param movesPerSecond the number of moves that the platform accepts in a second; empty if its
 *     interface for VMs is not available
 * @param tasksRunAsEstimated whether tasks run exactly as long as estimated
 * @param maxLeaseMillis the duration to which workers shorten longer leases, in ms on their clocks
 */
public record SimLayout(
    FleetSettings settings,
    ImmutableMap<String, Integer> vmsByPool,
    Resources workerCapacity,
    OptionalInt movesPerSecond,
    boolean tasksRunAsEstimated,
    long maxLeaseMillis) {
  /** The pool whose VMs are powered off. */
  public static final String STANDBY_POOL = "standby";

  static final int MAX_FAILURES = 3;
  private static final long USUAL_MAX_LEASE_MILLIS = 10_000;

  /** Returns a fleet with one pool, one queue and one team, whose VMs cannot be moved. */
  public static SimLayout singlePool(int workerCount) {
    FleetSettings settings =
        settings(
            ImmutableMap.of(SimFleet.QUEUE, queue(SimFleet.QUEUE, SimFleet.POOL, false)),
            ImmutableMap.of(SimFleet.POOL, pool(SimFleet.POOL, false)),
            ImmutableMap.of(
                SimFleet.TEAM,
                new TeamConfig(
                    SimFleet.TEAM, ImmutableList.of("key"), /* weight= */ 1, SimFleet.TEAM_LIMIT)));
    return new SimLayout(
        settings,
        ImmutableMap.of(SimFleet.POOL, workerCount),
        new Resources(8_000, 32_000, 0),
        OptionalInt.empty(),
        /* tasksRunAsEstimated= */ false,
        USUAL_MAX_LEASE_MILLIS);
  }

  /** Returns this fleet with tasks that run exactly as long as estimated. */
  public SimLayout withTasksRunAsEstimated() {
    return new SimLayout(
        settings,
        vmsByPool,
        workerCapacity,
        movesPerSecond,
        /* tasksRunAsEstimated= */ true,
        maxLeaseMillis);
  }

  /** Returns this fleet with workers that shorten leases to {@code maxLeaseMillis}. */
  public SimLayout withMaxLease(long maxLeaseMillis) {
    return new SimLayout(
        settings, vmsByPool, workerCapacity, movesPerSecond, tasksRunAsEstimated, maxLeaseMillis);
  }

  /** Returns a fleet with one pool, and one open queue whose starts require tickets. */
  public static SimLayout withAdvice(int workerCount) {
    AdviceTimes times =
        new AdviceTimes(
            /* decisionMillis= */ 60, /* perWorkerMillis= */ 5, /* validityMillis= */ 3_000);
    FleetSettings settings =
        settings(
            ImmutableMap.of(
                SimFleet.QUEUE, queue(SimFleet.QUEUE, SimFleet.POOL, true, Optional.of(times))),
            ImmutableMap.of(SimFleet.POOL, pool(SimFleet.POOL, false)),
            ImmutableMap.of());
    return new SimLayout(
        settings,
        ImmutableMap.of(SimFleet.POOL, workerCount),
        new Resources(8_000, 32_000, 0),
        OptionalInt.empty(),
        /* tasksRunAsEstimated= */ true,
        USUAL_MAX_LEASE_MILLIS);
  }

  /** Returns how the advice service answers for the queue; empty if no queue requires tickets. */
  Optional<AdviceTimes> adviceTimes() {
    return settings.queues().values().stream().flatMap(queue -> queue.advice().stream()).findAny();
  }

  /**
   * Returns a fleet with a standby pool, and with an open queue for each other pool, which has the
   * pool's name.
   *
   * @param vmsByPool the number of VMs in each pool at the start, the standby pool included
   */
  public static SimLayout withStandbyPool(Map<String, Integer> vmsByPool, int movesPerSecond) {
    ImmutableMap.Builder<String, QueueConfig> queues = ImmutableMap.builder();
    ImmutableMap.Builder<String, PoolConfig> pools = ImmutableMap.builder();
    for (String name : vmsByPool.keySet()) {
      boolean isStandby = name.equals(STANDBY_POOL);
      pools.put(name, pool(name, isStandby));
      if (!isStandby) {
        queues.put(name, queue(name, name, true));
      }
    }
    return new SimLayout(
        settings(queues.buildOrThrow(), pools.buildOrThrow(), ImmutableMap.of()),
        ImmutableMap.copyOf(vmsByPool),
        new Resources(16_000, 64_000, 0),
        OptionalInt.of(movesPerSecond),
        /* tasksRunAsEstimated= */ true,
        USUAL_MAX_LEASE_MILLIS);
  }

  private static FleetSettings settings(
      ImmutableMap<String, QueueConfig> queues,
      ImmutableMap<String, PoolConfig> pools,
      ImmutableMap<String, TeamConfig> teams) {
    return new FleetSettings(
        /* version= */ 1,
        queues,
        pools,
        teams,
        new RequestLimits(
            /* maxHeaderBytes= */ 8_192,
            /* maxBodyBytes= */ 65_536,
            /* headerTimeoutMillis= */ 3_000,
            /* idleTimeoutMillis= */ 15_000));
  }

  private static QueueConfig queue(String name, String pool, boolean open) {
    return queue(name, pool, open, /* advice= */ Optional.empty());
  }

  private static QueueConfig queue(
      String name, String pool, boolean open, Optional<AdviceTimes> advice) {
    return new QueueConfig(
        name,
        "host",
        "/" + name + "/",
        pool,
        open,
        /* priority= */ 0,
        MAX_FAILURES,
        /* slackFactor= */ 2,
        /* targetLatencyMillis= */ 600,
        advice);
  }

  private static PoolConfig pool(String name, boolean standby) {
    return new PoolConfig(name, /* enforcesCapacity= */ true, standby);
  }
}
