/**
 * Decisions as pure functions and immutable state machines, free of sockets, threads and clocks.
 *
 * <p>Times are arguments, in milliseconds of the caller's monotonic clock unless a name says
 * otherwise.
 */
package org.sassafraslink.rules;
