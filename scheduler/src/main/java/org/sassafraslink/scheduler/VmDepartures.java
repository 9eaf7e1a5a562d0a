package org.sassafraslink.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides which VMs have left the fleet, from successive lists of all VMs.
 *
 * <p>A VM that one list lacks may have just come, so it counts as left only after it has been
 * absent from all lists for some time. A list that was requested before the VMs were named says
 * nothing about them.
 */
final class VmDepartures {
  private final long namedMillis;
  private final long minAbsenceMillis;

  /** By VM, when the first of the consecutive lists that lack it was requested, monotonic ms. */
  private final Map<String, Long> absentSinceMillis = new HashMap<>();

  private long lastListMillis;

  private VmDepartures(long namedMillis, long minAbsenceMillis) {
    this.namedMillis = namedMillis;
    this.minAbsenceMillis = minAbsenceMillis;
    this.lastListMillis = namedMillis;
  }

  /**
   * Creates an instance that has seen no list.
   *
   * @param namedMillis when the VMs were named, monotonic ms
   * @param minAbsenceMillis for how long a VM must be absent to count as left
   */
  static VmDepartures since(long namedMillis, long minAbsenceMillis) {
    return new VmDepartures(namedMillis, minAbsenceMillis);
  }

  /** Applies the list that was requested at {@code requestedMillis}, monotonic ms. */
  void applyList(Collection<String> vms, Predicate<String> isListed, long requestedMillis) {
    if (requestedMillis < namedMillis) {
      return;
    }
    lastListMillis = requestedMillis;
    for (String vm : vms) {
      if (isListed.test(vm)) {
        absentSinceMillis.remove(vm);
      } else {
        absentSinceMillis.putIfAbsent(vm, requestedMillis);
      }
    }
  }

  /** Returns whether a VM has left, as far as the lists applied show. */
  boolean hasLeft(String vm) {
    Long sinceMillis = absentSinceMillis.get(vm);
    return sinceMillis != null && lastListMillis - sinceMillis >= minAbsenceMillis;
  }
}
