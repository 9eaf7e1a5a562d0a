/**
 * Decides which workers' ends of leases are kept in the store, so that the next scheduler need not
 * assume the worst case for them.
 *
 * <p>The classes take records and return values. They use no store, client, clock or log.
 */
package org.sassafraslink.scheduler.workerlease;
