package org.sassafraslink.scheduler.queue;

/** The size of a job among the recent jobs of its queue, by the work that it needs. */
public enum SizeClass {
  /** The smaller seven tenths. */
  ORDINARY,
  /** The fifth below the largest tenth. */
  LARGE,
  /** The largest tenth. */
  LARGEST
}
