package org.sassafraslink.api.fleet;

/** Why a call to the platform or to a worker gave no usable answer. */
public enum CallFailure {
  /** The call certainly had no effect and never will. */
  NOT_PERFORMED,
  /** The call may have had its effect, or may have it seconds later. */
  OUTCOME_UNKNOWN,
  /** The store no longer has the changes that were asked for. */
  HISTORY_DISCARDED,
  /** The answer could not be understood. */
  UNREADABLE,
  /** Another incarnation has the address now. */
  WRONG_INCARNATION,
  /** The receiver found the call invalid; it had no effect. */
  REJECTED
}
