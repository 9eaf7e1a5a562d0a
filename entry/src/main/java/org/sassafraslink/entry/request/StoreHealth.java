package org.sassafraslink.entry.request;

/** What this process knows about the reachability of the store. */
public interface StoreHealth {
  /** Returns whether the store probably answers no call at all. */
  boolean isOutageLikely();

  /** Returns for how long the store has answered no call, in ms. */
  long silenceMillis();
}
