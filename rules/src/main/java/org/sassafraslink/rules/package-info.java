/**
 * Decision logic as pure functions and state machines, without network access, threads or clocks.
 * All of them are immutable except the queue {@link org.sassafraslink.rules.request.FairQueue}.
 *
 * <p>Times are passed as arguments, in milliseconds of the caller's monotonic clock unless the
 * description of a parameter says otherwise.
 */
package org.sassafraslink.rules;
