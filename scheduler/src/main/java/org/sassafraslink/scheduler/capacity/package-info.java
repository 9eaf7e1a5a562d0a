/**
 * Decides which pool gets VMs, and which workers give them up, when several pools have a peak at
 * once or in turn.
 *
 * <p>The classes take records and return values. They use no store, client, clock or log.
 */
package org.sassafraslink.scheduler.capacity;
