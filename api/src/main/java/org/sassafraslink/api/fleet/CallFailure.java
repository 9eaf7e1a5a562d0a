package org.sassafraslink.api.fleet;

/** Why a call to the platform or to a worker did not return a usable answer. */
public enum CallFailure {
  /** The call is known to have had no effect, and will not have one later. */
  NOT_PERFORMED,
  /** The call may have taken effect, or may still do so seconds later. */
  OUTCOME_UNKNOWN,
  /** The store has already discarded the requested changes. */
  HISTORY_DISCARDED,
  /** The answer could not be decoded. */
  UNREADABLE,
  /** The answer is larger than this process accepts. */
  TOO_LARGE,
  /** A different incarnation of the worker now uses the address. */
  WRONG_INCARNATION,
  /** The receiver rejected the call as invalid; it had no effect. */
  REJECTED
}
