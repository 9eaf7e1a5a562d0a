package org.sassafraslink.entry.process;

import java.util.function.IntConsumer;
import org.sassafraslink.api.log.EventLog;

/**
 * Ends the process on a failure after which it could not serve, so that the platform starts it
 * again. A process that runs without one of its servers or threads would look alive for ever.
 */
public final class FatalFailures {
  /** Exit code after such a failure. */
  public static final int EXIT_FATAL = 3;

  private final EventLog log;
  private final Runnable flushLog;
  private final IntConsumer exit;

  private FatalFailures(EventLog log, Runnable flushLog, IntConsumer exit) {
    this.log = log;
    this.flushLog = flushLog;
    this.exit = exit;
  }

  /**
   * Creates an instance.
   *
   * @param flushLog writes the lines of the log that wait for their thread, within a limited time
   * @param exit ends the process with an exit code; it must not wait for other threads
   */
  public static FatalFailures create(EventLog log, Runnable flushLog, IntConsumer exit) {
    return new FatalFailures(log, flushLog, exit);
  }

  /** Ends the process when any thread ends by an exception. */
  public void watchAllThreads() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, failure) -> end("thread " + thread.getName() + " has ended", failure));
  }

  /** Writes the failure to standard error and to the log, and ends the process. */
  public void end(String what, Throwable failure) {
    try {
      System.err.println("sassafraslink-entry: " + what + ": " + failure);
      log.log("process.failed", "what", what, "error", failure);
      flushLog.run();
    } finally {
      exit.accept(EXIT_FATAL);
    }
  }
}
