package org.sassafraslink.scheduler;

/**
 * Decides how much time a wave of maintenance can spend on draining VMs.
 *
 * <p>VMs are taken down in rounds of {@code maxDown} VMs. Each round consists of the drain, in
 * which short tasks (those that are not long-running) may end, and the maintenance, in which the
 * VMs are down. Part of the wave's time is reserved for failures.
 *
 * @param durationMillis the time for the whole wave, in ms
 * @param elapsedMillis the time since the wave was first seen, in ms
 * @param remainingVms the number of VMs that are still to be taken down
 * @param maxDown the number of VMs that may be down at once
 * @param maintenanceMillis how long a VM is down, in ms
 */
record WavePace(
    long durationMillis,
    long elapsedMillis,
    int remainingVms,
    int maxDown,
    long maintenanceMillis) {
  /** Shortest time in which short tasks on a VM may end before they are stopped, in ms. */
  private static final long MIN_DRAIN_MILLIS = 700;

  /**
   * Longest time in which short tasks on a VM may end before they are stopped, in ms. Most tasks
   * end within it, and time saved early in the wave makes up for failures later.
   */
  private static final long MAX_DRAIN_MILLIS = 2_000;

  /** Fraction of the wave's time that is planned; the rest is reserved for failures. */
  private static final double PLANNED_FRACTION = 0.7;

  /** Returns how long short tasks may run on before they are stopped, in ms. */
  long drainMillis() {
    double drain = remainingMillis() / rounds() - maintenanceMillis;
    return (long) Math.max(MIN_DRAIN_MILLIS, Math.min(MAX_DRAIN_MILLIS, drain));
  }

  /** Returns whether the wave can finish in time even with the longest drain in every round. */
  boolean canWait() {
    return remainingMillis() > rounds() * (maintenanceMillis + MAX_DRAIN_MILLIS);
  }

  /**
   * Returns how many VMs may be down at once. While capacity is scarce, that is only as many as it
   * takes to finish within the planned time, since every VM that is down is missing elsewhere.
   */
  int downAtOnce(boolean isCapacityScarce) {
    if (!isCapacityScarce || remainingMillis() <= 0) {
      return maxDown;
    }
    double roundMillis = maintenanceMillis + MIN_DRAIN_MILLIS;
    double needed = Math.ceil(remainingVms * roundMillis / remainingMillis());
    return (int) Math.min(maxDown, needed);
  }

  private double remainingMillis() {
    return durationMillis * PLANNED_FRACTION - elapsedMillis;
  }

  private double rounds() {
    return Math.ceil((double) remainingVms / maxDown);
  }
}
