package org.sassafraslink.scheduler.workerlease;

/**
 * An end of leases in the row.
 *
 * @param end as it is in the row
 * @param leasesEndMillis the end that this process knew when it wrote it, monotonic ms
 */
public record RecordedEnd(LeaseEnd end, long leasesEndMillis) {
  /** Stands for an end that this process has not computed. */
  static final long NOT_KNOWN = Long.MIN_VALUE;
}
