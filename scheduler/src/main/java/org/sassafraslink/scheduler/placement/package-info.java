/**
 * Decisions about the workers on which tasks may start.
 *
 * <p>The classes of this package use no store, client, clock or log: they get immutable values and
 * the present time.
 */
package org.sassafraslink.scheduler.placement;
