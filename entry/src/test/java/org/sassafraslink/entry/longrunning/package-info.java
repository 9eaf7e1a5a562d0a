/**
 * Plays entry daemons as processes, and checks that long-running tasks run again in time beside
 * maintenance and the peaks of other pools.
 *
 * <p>{@link org.sassafraslink.entry.longrunning.LongRunningSoakTest} is the short play of CI.
 * Longer ones are started by hand, with the classes and libraries of the tests of {@code entry}:
 *
 * <pre>
 * java -cp CLASSPATH -Dlongrunning.firstSeed=1 -Dlongrunning.seeds=6 \
 *     org.sassafraslink.entry.longrunning.LongRunningPlay FOLDER
 * </pre>
 *
 * <p>{@link org.sassafraslink.entry.longrunning.LostWorkerSoakTest} and {@code LostWorkerPlay} do
 * so for workers that end for good shortly before the process that schedules; the properties begin
 * with {@code lostworker}.
 *
 * <p>Each prints a line for each seed, and for each seed keeps in the folder the file {@code
 * events} with what workers, VMs and the store saw, the breaks, and the logs of the daemons.
 */
package org.sassafraslink.entry.longrunning;
