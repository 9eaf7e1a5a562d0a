package org.sassafraslink.rules.process;

import java.util.Optional;

/**
 * The pool to which a VM belongs, and whether new work is sent to the VM, as stored in the VM's row
 * of the table service.
 *
 * <p>A VM has one row, and the row names one pool, so a VM is in one pool at any time. A move first
 * drains the VM in its old pool and changes the pool only after the VM is known to be empty.
 *
 * @param target the pool to which the VM moves once it is drained; empty if it does not move
 * @param operation identifies the move or reboot in progress, and is the same for its retries;
 *     empty if there is none
 */
public record VmOwnership(
    String vm, String pool, Phase phase, Optional<String> target, String operation) {
  /** Prefix of the keys of all ownership rows. */
  public static final String KEY_PREFIX = "vm/";

  /** Whether a VM serves its pool, is drained for a move or reboot, or is rebooted. */
  public enum Phase {
    /** New work is sent to the VM. */
    SERVING,
    /** No new work is sent to the VM; requests in flight complete. */
    DRAINING,
    /** The VM is known to be empty, and the platform is asked to reboot it. */
    REBOOTING
  }

  /** Returns the key of the row of {@code vm}. */
  public static String key(String vm) {
    return KEY_PREFIX + vm;
  }

  /** Returns the row of a VM that serves {@code pool} and is neither moving nor rebooting. */
  public static VmOwnership serving(String vm, String pool) {
    return new VmOwnership(vm, pool, Phase.SERVING, Optional.empty(), "");
  }

  /**
   * Returns this row as draining for a reboot, or empty if the VM is not serving.
   *
   * @param nextOperation identifies the reboot
   */
  public Optional<VmOwnership> drainForReboot(String nextOperation) {
    return transition(Phase.SERVING, Phase.DRAINING, Optional.empty(), nextOperation);
  }

  /**
   * Returns this row as draining for a move to {@code nextPool}, or empty if the VM is not serving
   * or is already in that pool.
   *
   * @param nextOperation identifies the move
   */
  public Optional<VmOwnership> drainForMove(String nextPool, String nextOperation) {
    return nextPool.equals(pool)
        ? Optional.empty()
        : transition(Phase.SERVING, Phase.DRAINING, Optional.of(nextPool), nextOperation);
  }

  /**
   * Returns this row after the VM is known to be empty: it serves its new pool if it was drained
   * for a move, otherwise it is rebooting. Returns empty if the VM is not draining.
   */
  public Optional<VmOwnership> completeDrain() {
    if (phase != Phase.DRAINING) {
      return Optional.empty();
    }
    return Optional.of(
        target.isPresent()
            ? serving(vm, target.get())
            : new VmOwnership(vm, pool, Phase.REBOOTING, Optional.empty(), operation));
  }

  /** Returns this row as serving its pool again, or empty if the VM is not draining. */
  public Optional<VmOwnership> cancelDrain() {
    return transition(Phase.DRAINING, Phase.SERVING, Optional.empty(), "");
  }

  /** Returns this row as serving after a reboot, or empty if the VM is not rebooting. */
  public Optional<VmOwnership> completeReboot() {
    return transition(Phase.REBOOTING, Phase.SERVING, Optional.empty(), "");
  }

  private Optional<VmOwnership> transition(
      Phase expected, Phase next, Optional<String> nextTarget, String nextOperation) {
    return phase == expected
        ? Optional.of(new VmOwnership(vm, pool, next, nextTarget, nextOperation))
        : Optional.empty();
  }
}
