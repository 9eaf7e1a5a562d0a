package org.sassafraslink.api.fleet;

/** The clocks of a process. */
public interface FleetClock {
  /**
   * Returns the time of a monotonic clock, in ms from an arbitrary start. The clock may stop while
   * the VM is suspended.
   */
  long monotonicMillis();

  /** Returns the wall-clock time, in Unix milliseconds. It may jump forward or back. */
  long wallMillis();
}
