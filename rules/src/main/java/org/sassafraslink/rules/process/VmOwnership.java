package org.sassafraslink.rules.process;

import java.util.Optional;

/**
 * The row that says to which pool a VM belongs and whether it takes new work.
 *
 * <p>A VM has one row, and the row names one pool, so a VM is in one pool at any moment. A move
 * drains the VM in its old pool, and changes the pool only when the VM is proved empty.
 *
 * @param operation names the disruption; stays the same over its retries
 */
public record VmOwnership(
    String vm, String pool, Phase phase, Optional<String> target, String operation) {
  /** The prefix of the keys of ownership rows. */
  public static final String PREFIX = "vm/";

  /** What a VM is doing. */
  public enum Phase {
    /** Takes work. */
    SERVING,
    /** Takes no new work; what is in flight ends. */
    DRAINING,
    /** Proved empty and given to the platform to reboot. */
    REBOOTING
  }

  /** The key of the row of {@code vm}. */
  public static String key(String vm) {
    return PREFIX + vm;
  }

  /** A VM that joins {@code pool} for the first time. */
  public static VmOwnership adopt(String vm, String pool) {
    return new VmOwnership(vm, pool, Phase.SERVING, Optional.empty(), "");
  }

  /** Starts a drain for a reboot. */
  public Optional<VmOwnership> drainForReboot(String nextOperation) {
    return from(Phase.SERVING, Phase.DRAINING, Optional.empty(), nextOperation);
  }

  /** Starts a drain for a move to {@code nextPool}. */
  public Optional<VmOwnership> drainForMove(String nextPool, String nextOperation) {
    return nextPool.equals(pool)
        ? Optional.empty()
        : from(Phase.SERVING, Phase.DRAINING, Optional.of(nextPool), nextOperation);
  }

  /** Ends the drain of a VM that is proved empty: a move takes effect, or a reboot may start. */
  public Optional<VmOwnership> emptied() {
    if (phase != Phase.DRAINING) {
      return Optional.empty();
    }
    return Optional.of(
        target.isPresent()
            ? adopt(vm, target.get())
            : new VmOwnership(vm, pool, Phase.REBOOTING, Optional.empty(), operation));
  }

  /** Gives up a drain; the VM serves its pool on. */
  public Optional<VmOwnership> cancelDrain() {
    return from(Phase.DRAINING, Phase.SERVING, Optional.empty(), "");
  }

  /** Ends a reboot. */
  public Optional<VmOwnership> rebooted() {
    return from(Phase.REBOOTING, Phase.SERVING, Optional.empty(), "");
  }

  private Optional<VmOwnership> from(
      Phase expected, Phase next, Optional<String> nextTarget, String nextOperation) {
    return phase == expected
        ? Optional.of(new VmOwnership(vm, pool, next, nextTarget, nextOperation))
        : Optional.empty();
  }
}
