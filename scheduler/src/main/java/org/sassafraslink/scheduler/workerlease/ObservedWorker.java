package org.sassafraslink.scheduler.workerlease;

/**
 * What a scheduler knows of an incarnation of a worker that has tasks, or that may be in the row of
 * recorded ends.
 *
 * @param id the id of the worker
 * @param incarnation when the incarnation started, Unix ms
 * @param silent whether the last report request to it failed, or it cannot be reached
 * @param reported whether it has reported to this scheduler since its leases last expired
 * @param hasTasks whether any task may run there
 * @param endCertain whether {@code leasesEndMillis} bounds each lease that any incarnation with its
 *     id may hold
 * @param leasesEndMillis the last time at which a lease may not have expired, monotonic ms
 */
public record ObservedWorker(
    String id,
    long incarnation,
    boolean silent,
    boolean reported,
    boolean hasTasks,
    boolean endCertain,
    long leasesEndMillis) {

  /** Returns whether an entry of this worker has to be removed soon, since it needs a lease. */
  boolean needsRemoval() {
    return !endCertain || (reported && !silent);
  }

  /** Returns whether its end has to be in the row, since tasks wait for it. */
  boolean needsEntry(long nowMillis) {
    return !needsRemoval() && silent && hasTasks && leasesEndMillis >= nowMillis;
  }

  /** Returns whether its entry, if there is one, is still of use. */
  boolean keepsEntry() {
    return !needsRemoval() && hasTasks;
  }
}
