package org.sassafraslink.standins;

/**
 * A fault of the platform stand-in's table and object store.
 *
 * @param untilMillis the end of the fault, in ms since the epoch
 * @param delayMillis the delay of each call in the modes {@code SLOW} and {@code DROP_ANSWERS}
 */
record StoreFault(Mode mode, long untilMillis, long delayMillis) {
  /** How the store handles calls. */
  enum Mode {
    /** Executes all calls without delay. */
    UP,
    /** Rejects all calls with status 503 and without effect. */
    DOWN,
    /** Executes all calls after the delay. */
    SLOW,
    /**
     * Executes all calls at once and responds after the delay. A client with a shorter timeout gets
     * no response although its write was committed.
     */
    DROP_ANSWERS
  }

  /** Returns a fault that has already ended. */
  static StoreFault none() {
    return new StoreFault(Mode.UP, 0, 0);
  }

  /** Returns the mode that applies at {@code nowMillis}: {@code UP} once the fault has ended. */
  Mode modeAt(long nowMillis) {
    return nowMillis < untilMillis ? mode : Mode.UP;
  }
}
