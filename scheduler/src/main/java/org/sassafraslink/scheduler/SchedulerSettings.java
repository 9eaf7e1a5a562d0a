package org.sassafraslink.scheduler;

import java.util.Optional;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.scheduler.incarnation.LateCommandBounds;

/**
 * Settings of the scheduler, fixed for the life of its process. Times are in ms.
 *
 * @param node the name of the entry VM on which this process runs
 * @param process a name that no other process has or had
 * @param peerAddress the address to which other entry VMs connect to notice the end of this process
 * @param takeoverDelayMillis how long this process leaves a free scheduling lease to others
 * @param leaseMillis the lease granted to a worker: how long it may run tasks without a renewal
 * @param maxLeaseMillis the duration to which workers shorten a longer lease
 * @param maxStopMillis how long a worker takes at most to stop a task
 * @param maxCancellationMillis how long after the acknowledgement of its job's cancellation a task
 *     may still start
 * @param handoverPauseMillis the time that must pass between the commands of two successive holders
 *     of the scheduling lease to the same VM
 * @param finalStateRetentionMillis how long the final state of a job is kept at least
 * @param maintenanceMillis how long maintenance of a VM takes
 * @param moveMillis how long a move of a VM takes
 * @param vmCommandsPerSecond how many commands to VMs the platform accepts in a second
 * @param unavailabilityThresholdMillis how long a task may be interrupted, for any reason, before
 *     it counts as unavailable
 * @param maxBackfillImpactMillis how long a serving task may exceed its latency target because of
 *     backfill
 * @param maxEvacuationDelayMillis how long after the request of an evacuation a start in its zone
 *     is allowed; empty if the platform states no bound
 */
public record SchedulerSettings(
    String node,
    String process,
    String peerAddress,
    long takeoverDelayMillis,
    long leaseMillis,
    long maxLeaseMillis,
    long maxStopMillis,
    long maxCancellationMillis,
    long handoverPauseMillis,
    long finalStateRetentionMillis,
    long maintenanceMillis,
    long moveMillis,
    double vmCommandsPerSecond,
    long unavailabilityThresholdMillis,
    long maxBackfillImpactMillis,
    Optional<Long> maxEvacuationDelayMillis) {
  /**
   * Longest lease granted to workers, in ms. A lease must last until the next scheduler can renew
   * it after a failure, which takes the duration of the scheduling lease and about a second more. A
   * longer lease would delay the restart of tasks whose worker cannot be reached.
   */
  private static final long MAX_WORKER_LEASE_MILLIS = 6_000;

  /**
   * The processors from which a VM takes a free lease at once. The scheduler uses about 1 ms of
   * processor time a task, network I/O included.
   */
  private static final double SCHEDULER_PROCESSORS = 0.75;

  /** Delay of a takeover for each time that a VM's processors fit into the above, in ms. */
  private static final double TAKEOVER_DELAY_MILLIS = 250;

  /** Fraction of the platform's longest lease that is used, to allow for clock differences. */
  private static final double USED_FRACTION_OF_MAX_LEASE = 0.9;

  /**
   * How long a command to a worker may be delayed, in ms. The platform states no bound; the delayed
   * commands that its operators describe are executed after at most this time.
   */
  private static final long MAX_COMMAND_DELAY_MILLIS = 12_000;

  /** Returns the scheduler's settings on a node. */
  public static SchedulerSettings of(NodeSettings node, String process) {
    long leaseMillis =
        Math.min(
            MAX_WORKER_LEASE_MILLIS, (long) (node.maxLeaseMillis() * USED_FRACTION_OF_MAX_LEASE));
    return new SchedulerSettings(
        node.node(),
        process,
        node.peerAddress().getHostString() + ":" + node.peerAddress().getPort(),
        takeoverDelayMillis(node.processors()),
        leaseMillis,
        node.maxLeaseMillis(),
        node.maxStopMillis(),
        node.maxCancellationMillis(),
        node.handoverPauseMillis(),
        node.finalStateRetentionMillis(),
        node.maintenanceMillis(),
        node.moveMillis(),
        node.vmCommandsPerSecond(),
        node.unavailabilityThresholdMillis(),
        node.maxBackfillImpactMillis(),
        node.maxEvacuationDelayMillis());
  }

  /** Returns how long after a command a lease that it granted may last, in true time. */
  long longestOwnLeaseMillis() {
    return LateCommandBounds.longestTrueMillis(leaseMillis);
  }

  /** Returns what commands to an incarnation of a worker can cause in a later one. */
  LateCommandBounds lateCommandBounds() {
    // A worker that has ended is granted leases until its last report is not relied on any more,
    // and gets commands until these leases have expired, unless the scheduler is suspended.
    long lastCommandMillis =
        Worker.REPORT_VALIDITY_MILLIS + longestOwnLeaseMillis() + SchedulerLease.LEASE_MILLIS;
    return new LateCommandBounds(maxLeaseMillis, MAX_COMMAND_DELAY_MILLIS, lastCommandMillis);
  }

  /**
   * Returns how long a VM with this share of processors leaves a free lease to others. Any VM may
   * schedule, but a small one falls behind in a large fleet, so larger ones come first.
   */
  static long takeoverDelayMillis(double processors) {
    return (long) (Math.max(0, SCHEDULER_PROCESSORS / processors - 1) * TAKEOVER_DELAY_MILLIS);
  }
}
