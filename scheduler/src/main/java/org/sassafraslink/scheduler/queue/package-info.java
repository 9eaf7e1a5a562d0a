/**
 * Decides which waiting jobs of a pool are deferred when the pool has too little room for all of
 * them.
 *
 * <p>The classes have no store, client, clock or log. They take immutable snapshots and the present
 * time, and return values. Work is measured as the time, in ms, for which it would keep the whole
 * pool busy: the largest of its fractions of the pool's processors, memory and accelerators, times
 * its expected duration.
 */
package org.sassafraslink.scheduler.queue;
