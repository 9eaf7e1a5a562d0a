package org.sassafraslink.entry.process;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.Scheduler;
import org.sassafraslink.scheduler.SchedulerLoad;

/**
 * Runs the events for the scheduler and its due work on one thread. The thread reads the events
 * from a bounded queue, and runs the due work after each batch of events and after each wait
 * without an event.
 *
 * <p>When the queue is full, {@link #execute} blocks. Dropping an event instead could drop the
 * answer to a call, for which the scheduler would then wait forever.
 */
final class SchedulerThread implements Executor {
  /** Most events that may wait in the queue. */
  private static final int EVENT_QUEUE_CAPACITY = 8_192;

  /** Longest wait for an event while this process holds the scheduling lease, in ms. */
  private static final long MAX_HOLDER_WAIT_MILLIS = 15;

  /** Longest wait for an event while this process does not hold the lease, in ms. */
  private static final long MAX_STANDBY_WAIT_MILLIS = 60;

  /** An event, and when it was passed to {@link #execute}, by {@link System#nanoTime}. */
  private record QueuedEvent(Runnable event, long queuedNanos) {}

  private final BlockingQueue<QueuedEvent> eventQueue =
      new ArrayBlockingQueue<>(EVENT_QUEUE_CAPACITY);
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final EventLog log;
  private volatile boolean stopping;

  SchedulerThread(EventLog log) {
    this.log = log;
  }

  void start(Scheduler scheduler) {
    start(scheduler.load(), scheduler::isScheduling, scheduler::runDueWork);
  }

  /**
   * Starts the thread.
   *
   * @param load receives the measurements of the thread
   * @param isScheduling returns whether this process schedules
   * @param dueWork runs all work that is due
   */
  void start(SchedulerLoad load, BooleanSupplier isScheduling, Runnable dueWork) {
    Thread thread = new Thread(() -> runLoop(load, isScheduling, dueWork), "scheduler");
    thread.setDaemon(true);
    thread.start();
  }

  void stop() {
    stopping = true;
  }

  @Override
  public void execute(Runnable event) {
    try {
      eventQueue.put(new QueuedEvent(event, System.nanoTime()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      log.log("scheduler.event_dropped", "reason", "interrupted");
    }
  }

  private void runLoop(SchedulerLoad load, BooleanSupplier isScheduling, Runnable dueWork) {
    List<QueuedEvent> batch = new ArrayList<>();
    while (!stopping) {
      try {
        long maxWaitMillis =
            isScheduling.getAsBoolean() ? MAX_HOLDER_WAIT_MILLIS : MAX_STANDBY_WAIT_MILLIS;
        QueuedEvent firstEvent = eventQueue.poll(maxWaitMillis, TimeUnit.MILLISECONDS);
        long startNanos = System.nanoTime();
        if (firstEvent != null) {
          batch.add(firstEvent);
          eventQueue.drainTo(batch);
          load.recordBatch(batch.size(), startNanos - firstEvent.queuedNanos());
        }
        batch.forEach(queued -> runEvent(queued.event()));
        batch.clear();
        long passStartNanos = System.nanoTime();
        dueWork.run();
        long endNanos = System.nanoTime();
        load.recordPass(passStartNanos - startNanos, endNanos - passStartNanos);
        load.endIntervalIfDue(
            TimeUnit.NANOSECONDS.toMillis(endNanos),
            this::processorNanos,
            isScheduling.getAsBoolean());
      } catch (InterruptedException e) {
        // Nothing interrupts this thread on purpose; without it no job would start.
        logFailure(e);
      } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError e) {
        logFailure(e);
      }
    }
  }

  /** Returns the processor time of this thread, or 0 if the JVM does not measure it. */
  private long processorNanos() {
    return threads.isCurrentThreadCpuTimeSupported() ? threads.getCurrentThreadCpuTime() : 0;
  }

  private void runEvent(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError e) {
      // A failed event must not prevent the following events from being handled.
      logFailure(e);
    }
  }

  private void logFailure(Throwable failure) {
    StackTraceElement[] trace = failure.getStackTrace();
    log.log("scheduler.failure", "error", failure, "at", trace.length == 0 ? "" : trace[0]);
  }
}
