package org.sassafraslink.rules.version;

import java.util.Optional;

/**
 * Decides what a process may conclude from its reads of the configuration.
 *
 * <p>Three conditions are kept apart. The store is lost if nothing arrives from it. The
 * configuration is outdated if a change of it is known, or may exist, for longer than the bound on
 * its application. A response that is still arriving is neither: it shows that the store is
 * reachable, and that a change exists.
 *
 * @param verifiedAtMillis the latest time at which the configuration in force is known to have been
 *     the newest, monotonic ms
 * @param contactMillis when bytes of a successful response last arrived, to any call, monotonic ms
 * @param failures how many reads have failed since the last one that did not
 * @param failingSinceMillis when the first of them failed, monotonic ms; meaningless if there is
 *     none
 * @param changeArriving whether a response is arriving, or requested, that contains changes or may
 *     contain them
 */
public record ConfigReading(
    long verifiedAtMillis,
    long contactMillis,
    int failures,
    long failingSinceMillis,
    boolean changeArriving) {
  /** What is known about the configuration in force. */
  public enum State {
    /** It is the newest, as far as is known. */
    CURRENT,
    /** A newer one is arriving, and the bound on its application has not passed. */
    READING,
    /** A newer one exists or may exist, and the bound on its application may have passed. */
    OUTDATED,
    /** Nothing arrives from the store. */
    STORE_LOST;

    /** Returns whether the bound on the application of a change is certainly kept. */
    public boolean isReliable() {
      return this == CURRENT || this == READING;
    }
  }

  /**
   * Time without a byte from the store after which it counts as lost, in ms. The scheduler's lease
   * renewals alone get an answer every 0.6 s, and a slow store adds 0.6 s.
   */
  private static final long MAX_SILENCE_MILLIS = 1_250;

  /** Returns the state of a process that has read nothing yet. */
  public static ConfigReading begin(long nowMillis) {
    return new ConfigReading(nowMillis, nowMillis, 0, nowMillis, false);
  }

  /**
   * Returns the state after a read that showed the newest configuration.
   *
   * @param asOfMillis a time at which the response was not older than the store, monotonic ms
   */
  public ConfigReading recordSuccess(long asOfMillis) {
    return new ConfigReading(asOfMillis, contactMillis, 0, asOfMillis, false);
  }

  /** Returns the state after a read that failed. */
  public ConfigReading recordFailure(long nowMillis) {
    return new ConfigReading(
        verifiedAtMillis,
        contactMillis,
        failures + 1,
        failures == 0 ? nowMillis : failingSinceMillis,
        false);
  }

  /** Returns the state while a response arrives that contains changes, or may contain them. */
  public ConfigReading recordChangeArriving() {
    return new ConfigReading(verifiedAtMillis, contactMillis, failures, failingSinceMillis, true);
  }

  /** Returns the state with a later time of the newest bytes from the store. */
  public ConfigReading withContact(long newContactMillis) {
    return new ConfigReading(
        verifiedAtMillis,
        Math.max(contactMillis, newContactMillis),
        failures,
        failingSinceMillis,
        changeArriving);
  }

  /**
   * Returns whether the store seems to be unreachable: a read has failed and nothing has arrived
   * since, or nothing has arrived for {@link #MAX_SILENCE_MILLIS}.
   */
  public boolean isStoreLost(long nowMillis) {
    return hasFailedWithoutContact(1) || isSilent(nowMillis);
  }

  /**
   * Returns whether the store is probably unreachable for all calls: two reads in a row have failed
   * and nothing has arrived since the first failure, or nothing has arrived for {@link
   * #MAX_SILENCE_MILLIS}. A single failure may be that of one connection.
   */
  public boolean isOutageLikely(long nowMillis) {
    return hasFailedWithoutContact(2) || isSilent(nowMillis);
  }

  /**
   * Returns what is known about the configuration in force.
   *
   * @param maxDelayMillis bound on the time from a change to its application, in ms; empty if there
   *     is none
   */
  public State state(long nowMillis, Optional<Long> maxDelayMillis) {
    if (isStoreLost(nowMillis)) {
      return State.STORE_LOST;
    }
    boolean mayBeOutdated = changeArriving || failures > 0;
    long ageMillis = nowMillis - verifiedAtMillis;
    if (mayBeOutdated && maxDelayMillis.filter(bound -> ageMillis > bound).isPresent()) {
      return State.OUTDATED;
    }
    return changeArriving ? State.READING : State.CURRENT;
  }

  private boolean hasFailedWithoutContact(int minFailures) {
    return failures >= minFailures && contactMillis <= failingSinceMillis;
  }

  private boolean isSilent(long nowMillis) {
    return nowMillis - contactMillis > MAX_SILENCE_MILLIS;
  }
}
