package org.sassafraslink.scheduler;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sassafraslink.api.log.EventLog;

/**
 * Measures how busy the scheduler's thread is, and writes one log line a second while this process
 * schedules.
 *
 * <p>The line tells a thread that has too much to do from one that waits for the store, and, by the
 * processor time, from one that the VM does not let run.
 *
 * <p>All methods must be called on the scheduler's thread, except {@link #lastSecond}.
 */
public final class SchedulerLoad {
  private static final long INTERVAL_MILLIS = 1_000;

  /**
   * The load in one interval of about a second.
   *
   * @param lengthMillis the length of the interval
   * @param busyMillis time that the thread spent on events and passes
   * @param processorMillis processor time of the thread; less than {@code busyMillis} if it waited
   *     for a processor or for the garbage collector
   * @param passes passes of {@link Scheduler#runDueWork}
   * @param passMillis total duration of the passes
   * @param longestQueueWaitMillis longest time from an event's arrival to its removal from the
   *     queue
   * @param longestQueue greatest number of events in the queue
   * @param rounds placement rounds
   * @param transactions transactions with the progress of jobs that were sent
   * @param mostDirtyJobs greatest number of jobs with uncommitted changes
   * @param longestCommitMillis longest time from the assignment of a task to its commit, among the
   *     commits of the interval
   */
  public record Interval(
      long lengthMillis,
      long busyMillis,
      long processorMillis,
      int passes,
      long passMillis,
      long longestPassMillis,
      long longestQueueWaitMillis,
      int longestQueue,
      int rounds,
      long longestRoundMillis,
      int transactions,
      int mostDirtyJobs,
      long longestCommitMillis) {
    /** The load of a process that does not schedule. */
    public static final Interval NONE = new Interval(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
  }

  private final EventLog log;

  private volatile Interval lastSecond = Interval.NONE;

  private long startMillis;
  private long startProcessorNanos;
  private long busyNanos;
  private int passes;
  private long passNanos;
  private long longestPassNanos;
  private long longestQueueWaitNanos;
  private int longestQueue;
  private int rounds;
  private long longestRoundMillis;
  private int transactions;
  private int mostDirtyJobs;
  private long longestCommitMillis;

  /** Creates measurements that are written to a log once a second. */
  public SchedulerLoad(EventLog log) {
    this.log = log;
  }

  /**
   * Returns the load in the last second, or {@link Interval#NONE} if this process did not schedule
   * then. May be called on any thread.
   */
  public Interval lastSecond() {
    return lastSecond;
  }

  /** Records a batch of events taken from the queue, the first of which waited longest. */
  public void recordBatch(int queueLength, long longestWaitNanos) {
    longestQueue = Math.max(longestQueue, queueLength);
    longestQueueWaitNanos = Math.max(longestQueueWaitNanos, longestWaitNanos);
  }

  /**
   * Records a pass of {@link Scheduler#runDueWork} and the handling of the events before it.
   *
   * @param eventNanos how long the events took
   * @param durationNanos how long the pass took
   */
  public void recordPass(long eventNanos, long durationNanos) {
    passes++;
    passNanos += durationNanos;
    busyNanos += eventNanos + durationNanos;
    longestPassNanos = Math.max(longestPassNanos, durationNanos);
  }

  void recordRound(long durationMillis) {
    rounds++;
    longestRoundMillis = Math.max(longestRoundMillis, durationMillis);
  }

  void recordTransaction() {
    transactions++;
  }

  void recordDirtyJobs(int dirtyJobs) {
    mostDirtyJobs = Math.max(mostDirtyJobs, dirtyJobs);
  }

  /** Records how long the tasks of a job waited whose assignments have just been committed. */
  void recordCommit(Job job, long nowMillis) {
    job.forEachTask(
        task -> {
          if (task.isStartCommitted()) {
            longestCommitMillis = Math.max(longestCommitMillis, nowMillis - task.assignedMillis);
          }
        });
  }

  /**
   * Ends the interval if a second has passed, and writes its log line if this process schedules.
   *
   * @param processorNanos the thread's processor time, read once a second because it costs a system
   *     call
   */
  public void endIntervalIfDue(long nowMillis, LongSupplier processorNanos, boolean isScheduling) {
    long lengthMillis = nowMillis - startMillis;
    if (lengthMillis < INTERVAL_MILLIS) {
      return;
    }
    long totalProcessorNanos = processorNanos.getAsLong();
    Interval ended =
        new Interval(
            lengthMillis,
            TimeUnit.NANOSECONDS.toMillis(busyNanos),
            TimeUnit.NANOSECONDS.toMillis(totalProcessorNanos - startProcessorNanos),
            passes,
            TimeUnit.NANOSECONDS.toMillis(passNanos),
            TimeUnit.NANOSECONDS.toMillis(longestPassNanos),
            TimeUnit.NANOSECONDS.toMillis(longestQueueWaitNanos),
            longestQueue,
            rounds,
            longestRoundMillis,
            transactions,
            mostDirtyJobs,
            longestCommitMillis);
    // The first interval has no start, so its length and processor time mean nothing.
    boolean isMeasured = startMillis != 0 && isScheduling;
    startInterval(nowMillis, totalProcessorNanos);
    lastSecond = isMeasured ? ended : Interval.NONE;
    if (isMeasured) {
      writeLine(ended);
    }
  }

  private void startInterval(long nowMillis, long totalProcessorNanos) {
    startMillis = nowMillis;
    startProcessorNanos = totalProcessorNanos;
    busyNanos = 0;
    passes = 0;
    passNanos = 0;
    longestPassNanos = 0;
    longestQueueWaitNanos = 0;
    longestQueue = 0;
    rounds = 0;
    longestRoundMillis = 0;
    transactions = 0;
    mostDirtyJobs = 0;
    longestCommitMillis = 0;
  }

  private void writeLine(Interval interval) {
    log.log(
        "scheduler.load",
        "millis",
        interval.lengthMillis(),
        "busy",
        interval.busyMillis(),
        "cpu",
        interval.processorMillis(),
        "passes",
        interval.passes(),
        "passMillis",
        interval.passMillis(),
        "longestPass",
        interval.longestPassMillis(),
        "longestWait",
        interval.longestQueueWaitMillis(),
        "queue",
        interval.longestQueue(),
        "rounds",
        interval.rounds(),
        "longestRound",
        interval.longestRoundMillis(),
        "transactions",
        interval.transactions(),
        "dirtyJobs",
        interval.mostDirtyJobs(),
        "longestCommit",
        interval.longestCommitMillis());
  }
}
