package org.sassafraslink.api.platform;

/** Why a call to the platform did not succeed. */
public sealed interface PlatformFailure {
  /** The call certainly had no effect: no connection was made, or the platform refused it. */
  record Unavailable(String operation) implements PlatformFailure {}

  /** The call may or may not have taken effect, now or later. The caller reads back. */
  record OutcomeUnknown(String operation) implements PlatformFailure {}

  /** A check of the transaction did not hold; nothing was written. */
  record Conflict(String key, long actualVersion) implements PlatformFailure {}

  /** The platform's answer could not be understood. */
  record Malformed(String operation, String detail) implements PlatformFailure {}
}
