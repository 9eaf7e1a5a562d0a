package org.sassafraslink.api.fleet;

/** The clocks of a process. */
public interface FleetClock {
  /**
   * A steady clock, in ms from an arbitrary start. It may stand still while the VM is suspended.
   */
  long monotonicMillis();

  /** The time of day, Unix ms. It may jump either way. */
  long wallMillis();
}
