package org.sassafraslink.daemon.process;

/**
 * Reads the monotonic clock and the wall clock of a process.
 *
 * <p>Functions that make decisions take the time as a parameter instead of reading a clock.
 * Intervals are measured by the monotonic clock. The wall-clock times of two processes are compared
 * only where the check of a row's version makes a wrong decision harmless.
 */
public interface Clock {
  /** Returns the time of a clock that never goes back, in ms since an arbitrary origin. */
  long monotonicMillis();

  /** Returns the wall-clock time, in ms since the Unix epoch. */
  long wallMillis();

  /** Returns the clocks of the operating system. */
  static Clock system() {
    return new Clock() {
      private static final long NANOS_PER_MILLI = 1_000_000;

      @Override
      public long monotonicMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
      }

      @Override
      public long wallMillis() {
        return System.currentTimeMillis();
      }
    };
  }
}
