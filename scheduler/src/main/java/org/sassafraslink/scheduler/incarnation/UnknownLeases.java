package org.sassafraslink.scheduler.incarnation;

/**
 * When the leases of an incarnation have expired that earlier schedulers granted, as far as their
 * ends are not known on its clock. All times are monotonic ms.
 *
 * @param countedFromMillis from when on the last leases last that they granted
 * @param ownEndMillis the end of leases granted to this incarnation
 * @param inheritedEndMillis the end of leases granted by commands to earlier incarnations; 0 if
 *     there are none
 */
public record UnknownLeases(long countedFromMillis, long ownEndMillis, long inheritedEndMillis) {
  /** Returns when all of them have expired. */
  public long endMillis() {
    return Math.max(ownEndMillis, inheritedEndMillis);
  }
}
