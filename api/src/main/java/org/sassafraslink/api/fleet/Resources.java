package org.sassafraslink.api.fleet;

/**
 * An amount of what workers have and tasks need.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {
  /** Nothing. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** This and {@code other} together. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** This less {@code other}; a part may become negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /** The larger amount of each. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpuMillis, other.cpuMillis),
        Math.max(memoryMb, other.memoryMb),
        Math.max(accelerators, other.accelerators));
  }

  /** Whether {@code need} fits into this. */
  public boolean fits(Resources need) {
    return need.cpuMillis <= cpuMillis
        && need.memoryMb <= memoryMb
        && need.accelerators <= accelerators;
  }

  /** This without its processors. */
  public Resources withoutCpu() {
    return new Resources(0, memoryMb, accelerators);
  }
}
