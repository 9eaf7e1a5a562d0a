package org.sassafraslink.entry.request;

/** What this process knows about the reachability of the store. */
public interface StoreHealth {
  /** Returns whether the store probably answers no call at all. */
  boolean isOutageLikely();

  /**
   * Returns for how long the store has probably answered no call of any process, in ms; 0 if only
   * this process does not reach it, so that a caller's next attempt, at another entry VM, may
   * succeed at once.
   */
  long outageMillis();
}
