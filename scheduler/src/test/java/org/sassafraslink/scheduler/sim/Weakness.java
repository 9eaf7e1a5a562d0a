package org.sassafraslink.scheduler.sim;

/** A mechanism that is taken away, to show that the promises need it. */
public enum Weakness {
  /** Commits check neither who holds the lease nor the versions of their rows. */
  COMMITS_UNCHECKED,
  /** Workers take orders with any fencing token. */
  TOKENS_IGNORED,
  /** Workers never end what runs when their lease has expired. */
  LEASES_NEVER_EXPIRE,
  /** Workers forget ends as soon as they have listed them. */
  ENDS_FORGOTTEN_ONCE_LISTED
}
