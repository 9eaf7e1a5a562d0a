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

  /**
   * As {@link #PLANNED_FRACTION}, for waves that leave VMs to growing pools. In the other half of
   * the time, the wave could still take down all its VMs.
   */
  private static final double SCARCE_PLANNED_FRACTION = 0.5;

  /**
   * Time from the end of a VM's drain until the next VM is taken down instead, in addition to the
   * maintenance: the commands, and the delay until the platform's list shows the VM as up.
   */
  private static final long HANDOVER_MILLIS = 1_500;

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
   * takes to finish within half of the time, since every VM that is down is missing elsewhere.
   */
  int downAtOnce(boolean isCapacityScarce) {
    double plannedMillis = durationMillis * SCARCE_PLANNED_FRACTION - elapsedMillis;
    if (!isCapacityScarce || plannedMillis <= 0) {
      return maxDown;
    }
    double roundMillis = maintenanceMillis + HANDOVER_MILLIS;
    return (int) Math.min(maxDown, Math.ceil(remainingVms * roundMillis / plannedMillis));
  }

  private double remainingMillis() {
    return durationMillis * PLANNED_FRACTION - elapsedMillis;
  }

  private double rounds() {
    return Math.ceil((double) remainingVms / maxDown);
  }
}
