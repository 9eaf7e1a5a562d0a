package org.sassafraslink.api.fleet;

/**
 * An amount of resources, such as the capacity of a worker or the need of a task.
 *
 * @param cpuMillis processors, in thousandths of a core
 * @param memoryMb memory, in MB
 * @param accelerators the number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of this and {@code other}. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /** Returns this minus {@code other}; each amount may become negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /** Returns this multiplied by {@code factor}, with whole accelerators, rounded up. */
  public Resources times(double factor) {
    return new Resources(
        (long) (cpuMillis * factor),
        (long) (memoryMb * factor),
        (long) Math.ceil(accelerators * factor));
  }

  /** Returns the larger amount of each resource. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpuMillis, other.cpuMillis),
        Math.max(memoryMb, other.memoryMb),
        Math.max(accelerators, other.accelerators));
  }

  /** Returns whether this is at least {@code need} in each resource. */
  public boolean covers(Resources need) {
    return need.cpuMillis <= cpuMillis
        && need.memoryMb <= memoryMb
        && need.accelerators <= accelerators;
  }

  /** Returns this with no processors. */
  public Resources withoutCpu() {
    return new Resources(0, memoryMb, accelerators);
  }
}
