package org.sassafraslink.api.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The settings that a process on an entry VM reads when it starts. Times are in ms.
 *
 * @param node the name of the VM on which the process runs
 * @param zone the availability zone of the VM
 * @param processors the share of the VM's processors that the process may use, in cores of usual
 *     speed
 * @param maxDescriptors how many files and sockets the process may have open
 * @param callerAddress the address at which the process serves callers
 * @param readinessAddress the address at which the load balancer asks whether it may open new
 *     connections to this process
 * @param peerAddress the address at which other entry VMs reach this process
 * @param metricsAddress the address at which metrics are served as text
 * @param storeAddress the address of the platform's row store
 * @param vmApiAddress the address of the platform's VM API
 * @param vmCommandsPerSecond how many moves and maintenance commands of VMs the platform accepts in
 *     a second, from all processes together
 * @param adviceAddress the address of the placement advice service; empty if there is none
 * @param maxLeaseMillis the longest lease that workers grant
 * @param maxStopMillis the longest time that a worker takes to stop a task
 * @param maxCancellationMillis how long after the acknowledgement of its job's cancellation a task
 *     may still start
 * @param handoverPauseMillis how long a new holder of the scheduling lease must wait before it
 *     sends an order to a VM to which the previous holder may have sent one
 * @param stopGraceMillis how long this process may continue to run after a request to stop, before
 *     it is killed
 * @param finalStateRetentionMillis the shortest time for which the final state of a job is reported
 * @param gangStartTimeoutMillis how long a task waits for the other tasks of its gang to start
 * @param maintenanceMillis how long maintenance of a VM takes
 * @param moveMillis how long the move of a VM to another pool takes
 * @param unavailabilityThresholdMillis how long a task may be interrupted, for any reason, before
 *     it counts as unavailable
 * @param maxBackfillImpactMillis how long backfill tasks may keep a serving task above its latency
 *     target
 * @param maxEvacuationDelayMillis how long after the request to evacuate an availability zone a
 *     start there is allowed; empty if the platform states no bound
 * @param maxConfigDelayMillis how long after the acknowledgement of a configuration an older one
 *     may be applied; empty if the platform states no bound
 */
public record NodeSettings(
    String node,
    String zone,
    double processors,
    int maxDescriptors,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    InetSocketAddress storeAddress,
    InetSocketAddress vmApiAddress,
    double vmCommandsPerSecond,
    Optional<InetSocketAddress> adviceAddress,
    long maxLeaseMillis,
    long maxStopMillis,
    long maxCancellationMillis,
    long handoverPauseMillis,
    long stopGraceMillis,
    long finalStateRetentionMillis,
    long gangStartTimeoutMillis,
    long maintenanceMillis,
    long moveMillis,
    long unavailabilityThresholdMillis,
    long maxBackfillImpactMillis,
    Optional<Long> maxEvacuationDelayMillis,
    Optional<Long> maxConfigDelayMillis) {}
