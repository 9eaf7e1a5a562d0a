/**
 * Places jobs on workers, for all pools, from one process at a time.
 *
 * <p>Everything here runs on one thread. Calls to the platform and to workers go out through ports
 * whose answers come back on that thread, so that tests drive the same code with fakes and a clock
 * of their own. What must survive the process is in the rows of each job: a start is committed
 * before it is sent, an end before it is acknowledged.
 */
package org.sassafraslink.scheduler;
