package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;

/**
 * A worker's entry in the platform's list of workers.
 *
 * @param id identifies the worker; a later incarnation may have the same id
 * @param incarnation when this incarnation of the worker started, in Unix milliseconds
 * @param pool the service to which the worker belongs
 * @param zone the availability zone of its VM
 * @param vm the id of the VM on which the worker runs; empty if unknown
 * @param rack the rack of its VM; empty if unknown
 * @param labels labels that steps may require, among them the kind of the worker and its rack
 * @param capacity the resources for tasks on the worker
 * @param draining whether the worker is about to leave
 */
public record WorkerEntry(
    String id,
    long incarnation,
    String pool,
    InetSocketAddress address,
    String zone,
    String vm,
    String rack,
    ImmutableList<String> labels,
    Resources capacity,
    boolean draining) {

  /** Returns this entry for another incarnation. */
  public WorkerEntry withIncarnation(long otherIncarnation) {
    return new WorkerEntry(
        id, otherIncarnation, pool, address, zone, vm, rack, labels, capacity, draining);
  }

  /** Returns this entry with another address. */
  public WorkerEntry withAddress(InetSocketAddress otherAddress) {
    return new WorkerEntry(
        id, incarnation, pool, otherAddress, zone, vm, rack, labels, capacity, draining);
  }
}
