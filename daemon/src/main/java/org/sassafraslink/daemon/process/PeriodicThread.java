package org.sassafraslink.daemon.process;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A background thread that runs a task repeatedly, with an interval between the end of one run and
 * the start of the next, until it is closed.
 */
final class PeriodicThread implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("process");
  private static final long JOIN_TIMEOUT_MILLIS = 5_000;

  /** A task that the thread repeats. A run may block until the thread is interrupted. */
  @FunctionalInterface
  interface PeriodicTask {
    void run() throws InterruptedException;
  }

  private final Thread thread;
  private volatile boolean stopped;

  private PeriodicThread(String name, Duration interval, PeriodicTask task) {
    this.thread = new Thread(() -> runPeriodically(name, interval, task), name);
    thread.setDaemon(true);
  }

  /** Starts a thread called {@code name} that runs {@code task} at once and then repeatedly. */
  static PeriodicThread start(String name, Duration interval, PeriodicTask task) {
    PeriodicThread periodic = new PeriodicThread(name, interval, task);
    periodic.thread.start();
    return periodic;
  }

  private void runPeriodically(String name, Duration interval, PeriodicTask task) {
    while (!stopped) {
      try {
        task.run();
        Thread.sleep(interval.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        // One failed run must not end the thread, because then the task would not run again until
        // the process is restarted.
        LOG.error("A run of periodic task {} failed.", name, e);
        pause(interval);
      }
    }
  }

  private static void pause(Duration interval) {
    try {
      Thread.sleep(interval.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Interrupts the thread and waits up to 5 s for it to end. */
  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
    try {
      thread.join(JOIN_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
