/**
 * The scheduler, which places the tasks of jobs on the workers of the pools. Only one process
 * schedules at a time: the holder of the scheduling lease, whose epoch is its fencing token.
 * Workers may restart under the same id; each start begins a new incarnation.
 *
 * <p>A job is a graph of steps. A step consists of tasks, and each start of a task on a worker is
 * an attempt with a number. The steps of a job on a schedule run several times; each run is an
 * occurrence. The tasks of a gang step start together or not at all. A long-running task runs until
 * its job is cancelled, a serving task has a latency target, and a backfill task uses processors
 * that other tasks leave unused. Excess jobs are those beyond the rate of their team's weight.
 *
 * <p>All code of the scheduler runs on one thread. It calls the platform and the workers through
 * asynchronous clients whose responses arrive on the same thread, so that tests run the same code
 * with fake clients and a simulated clock. All state of jobs that must survive the process is
 * stored in their rows: an assignment is committed before the start is sent to the worker, and an
 * end is committed before it is acknowledged to the worker.
 */
package org.sassafraslink.scheduler;
