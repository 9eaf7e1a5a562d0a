package org.sassafraslink.scheduler.incarnation;

import java.util.Collection;

/**
 * The workers with tasks that do not respond, or have not reported to this scheduler.
 *
 * @param count how many they are
 * @param longestOwnMillis the longest remaining wait for leases granted to one of them, in ms
 * @param longestInheritedMillis the longest remaining wait for leases that commands to earlier
 *     incarnations granted, in ms
 * @param longestMillis the longest remaining wait for all leases of one of them, in ms
 */
public record SilentWorkers(
    int count, long longestOwnMillis, long longestInheritedMillis, long longestMillis) {
  /** No worker is silent, or this process does not schedule. */
  public static final SilentWorkers NONE = new SilentWorkers(0, 0, 0, 0);

  /**
   * When the leases of one of them have expired, monotonic ms.
   *
   * @param endMillis the end of all leases, also those of an end that is known on its clock
   */
  public record SilentWorker(UnknownLeases unknownLeases, long endMillis) {}

  /** Returns what remains at a time. */
  public static SilentWorkers of(Collection<SilentWorker> workers, long nowMillis) {
    long ownEnd = nowMillis;
    long inheritedEnd = nowMillis;
    long end = nowMillis;
    for (SilentWorker worker : workers) {
      ownEnd = Math.max(ownEnd, worker.unknownLeases().ownEndMillis());
      inheritedEnd = Math.max(inheritedEnd, worker.unknownLeases().inheritedEndMillis());
      end = Math.max(end, worker.endMillis());
    }
    return new SilentWorkers(
        workers.size(), ownEnd - nowMillis, inheritedEnd - nowMillis, end - nowMillis);
  }
}
