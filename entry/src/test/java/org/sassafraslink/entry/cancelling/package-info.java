/**
 * Plays entry daemons as processes and checks that no task of a cancelled job starts or runs on.
 *
 * <p>{@link org.sassafraslink.entry.cancelling.CancelledJobsSoakTest} is the short play of CI.
 * Longer ones are started by hand, also with the daemons of another checkout, after {@code mvn -B
 * -DskipTests package -pl deploy -am}:
 *
 * <pre>
 * java -cp "entry/target/test-classes:target/entry/*" -Dcancelling.seeds=10 -Dcancelling.daemons=16 \
 *     -Dcancelling.jar=OTHER/target/entry/sassafraslink-entry-0.1.0.jar \
 *     org.sassafraslink.entry.cancelling.CancelledJobsPlay FOLDER
 * </pre>
 *
 * <p>It prints a line for each seed. For each seed, the folder gets the file {@code violations},
 * the file {@code events} with what callers, workers and the store saw, and the daemons' logs. The
 * times in {@code events} are seconds since the Unix time in its first line.
 */
package org.sassafraslink.entry.cancelling;
