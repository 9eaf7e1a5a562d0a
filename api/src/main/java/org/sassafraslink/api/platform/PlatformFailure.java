package org.sassafraslink.api.platform;

/** Why a call to the platform failed. */
public sealed interface PlatformFailure {
  /** The call had no effect: the platform could not be reached or rejected the call. */
  record Unavailable(String operation) implements PlatformFailure {}

  /**
   * The call may have taken effect or may do so later. The caller must read the current state to
   * find out.
   */
  record OutcomeUnknown(String operation) implements PlatformFailure {}

  /**
   * A check of the transaction did not hold, so nothing was written.
   *
   * @param key the key of the row whose version differed
   * @param actualVersion the version that the row had
   */
  record Conflict(String key, long actualVersion) implements PlatformFailure {}

  /** The platform's answer could not be decoded. */
  record Malformed(String operation, String detail) implements PlatformFailure {}
}
