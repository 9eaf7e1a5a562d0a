/**
 * Decides what a list of VMs shows, given the commands that were sent to them.
 *
 * <p>The classes use no store, client, clock or log.
 */
package org.sassafraslink.scheduler.vm;
