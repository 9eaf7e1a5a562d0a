package org.sassafraslink.entry.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.Scheduler;

/**
 * The thread on which the scheduler runs, fed by a bounded ring.
 *
 * <p>A full ring makes the sender wait: an answer that was dropped would leave a call open for
 * ever.
 */
final class SchedulerThread implements Executor {
  /** Events that may wait. */
  private static final int CAPACITY = 8_192;

  /** Longest pause between two ticks of a scheduler that holds the lease, in ms. */
  private static final long BUSY_TICK_MILLIS = 15;

  /** The same of one that waits for the lease. */
  private static final long IDLE_TICK_MILLIS = 60;

  private final BlockingQueue<Runnable> ring = new ArrayBlockingQueue<>(CAPACITY);
  private final EventLog log;
  private volatile boolean stopping;

  SchedulerThread(EventLog log) {
    this.log = log;
  }

  void start(Scheduler scheduler) {
    Thread thread = new Thread(() -> run(scheduler), "scheduler");
    thread.setDaemon(true);
    thread.start();
  }

  void stop() {
    stopping = true;
  }

  @Override
  public void execute(Runnable event) {
    try {
      ring.put(event);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      log.log("scheduler.event_dropped", "reason", "interrupted");
    }
  }

  private void run(Scheduler scheduler) {
    List<Runnable> batch = new ArrayList<>();
    while (!stopping) {
      try {
        long wait = scheduler.isScheduling() ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS;
        Runnable first = ring.poll(wait, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          ring.drainTo(batch);
        }
        batch.forEach(this::runOne);
        batch.clear();
        scheduler.tick();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        log.log(
            "scheduler.failure",
            "error",
            e,
            "at",
            e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0]);
      }
    }
  }

  private void runOne(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      // One event that fails must not keep the others from being handled.
      log.log(
          "scheduler.failure",
          "error",
          e,
          "at",
          e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0]);
    }
  }
}
