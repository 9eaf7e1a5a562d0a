/**
 * Decides where long-running tasks run next that have no worker or are about to lose theirs, and
 * finds out why tasks do not run.
 *
 * <p>The classes take records and return values. They use no store, client, clock or log.
 */
package org.sassafraslink.scheduler.relocation;
