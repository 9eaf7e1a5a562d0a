package org.sassafraslink.daemon.process;

/**
 * The two clocks of a process, read at its edges and handed to the functions that decide.
 *
 * <p>Monotonic time measures intervals; wall-clock time is only compared across processes where a
 * table row fences the decision.
 */
public interface Clock {
  /** Milliseconds of a clock that never goes back. */
  long monotonicMillis();

  /** Milliseconds since the epoch. */
  long wallMillis();

  /** The clocks of the machine. */
  static Clock system() {
    return new Clock() {
      private static final long NANOS_IN_MILLI = 1_000_000;

      @Override
      public long monotonicMillis() {
        return System.nanoTime() / NANOS_IN_MILLI;
      }

      @Override
      public long wallMillis() {
        return System.currentTimeMillis();
      }
    };
  }
}
