package org.sassafraslink.entry.longrunning;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * What a play consists of, which follows from its seed.
 *
 * @param vmsByPool number of VMs at first, by pool
 * @param turns the peaks, one after the other
 */
record Scenario(
    long seed,
    Disruption disruption,
    Map<String, Integer> vmsByPool,
    List<String> smallPools,
    List<String> busyPools,
    List<Turn> turns) {
  /** What is disrupted beside the wave and the peaks. */
  enum Disruption {
    NONE,
    SCHEDULER_KILLED,
    ROLLING_STOPS,
    WORKER_LOST
  }

  /** A peak of a pool, as a multiple of what its first VMs can do. */
  record Turn(String pool, double factor) {}

  static final String STANDBY_POOL = "standby";
  static final int TASKS_PER_LONG_RUNNING_JOB = 4;
  static final long TURN_MILLIS = 5_000;
  private static final int SMALL_POOLS = 4;
  private static final int MAX_SMALL_POOL_VMS = 3;
  private static final int MIN_BUSY_POOL_VMS = 4;
  private static final int MAX_BUSY_POOL_VMS = 6;
  private static final int MAX_BUSY_POOLS = 2;
  private static final double MIN_FACTOR = 2;
  private static final double MAX_FACTOR = 6;

  static Scenario draw(long seed, long trafficMillis) {
    Random random = new Random(seed);
    Map<String, Integer> vmsByPool = new LinkedHashMap<>();
    List<String> smallPools = new ArrayList<>();
    for (int i = 0; i < SMALL_POOLS; i++) {
      smallPools.add("steady-" + i);
      vmsByPool.put("steady-" + i, 1 + random.nextInt(MAX_SMALL_POOL_VMS));
    }
    List<String> busyPools = new ArrayList<>();
    int busyPoolCount = 1 + random.nextInt(MAX_BUSY_POOLS);
    for (int i = 0; i < busyPoolCount; i++) {
      busyPools.add("peaks-" + i);
      vmsByPool.put(
          "peaks-" + i,
          MIN_BUSY_POOL_VMS + random.nextInt(MAX_BUSY_POOL_VMS - MIN_BUSY_POOL_VMS + 1));
    }
    List<Turn> turns = new ArrayList<>();
    for (long millis = 0; millis < trafficMillis; millis += TURN_MILLIS) {
      turns.add(
          new Turn(
              busyPools.get(turns.size() % busyPools.size()),
              MIN_FACTOR + random.nextDouble() * (MAX_FACTOR - MIN_FACTOR)));
    }
    Disruption[] disruptions = Disruption.values();
    return new Scenario(
        seed,
        disruptions[Math.floorMod(seed, disruptions.length)],
        vmsByPool,
        smallPools,
        busyPools,
        turns);
  }
}
