package org.sassafraslink.entry.process;

import org.sassafraslink.api.fleet.FleetClock;

/** The clocks of the VM. */
public final class SystemClock implements FleetClock {
  private static final long NANOS_IN_MILLI = 1_000_000;

  @Override
  public long monotonicMillis() {
    return System.nanoTime() / NANOS_IN_MILLI;
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
