package org.sassafraslink.entry.process;

import org.sassafraslink.api.fleet.FleetClock;

/** Reads the system clocks of the VM. */
public final class SystemClock implements FleetClock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @Override
  public long monotonicMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
