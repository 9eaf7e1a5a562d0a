package org.sassafraslink.scheduler.workerlease;

/**
 * When all leases of an incarnation of a worker have ended.
 *
 * @param incarnation when the incarnation started, Unix ms
 * @param storeMillis a time on the store's clock that is not before the end of any lease, in ms
 */
public record LeaseEnd(long incarnation, long storeMillis) {}
