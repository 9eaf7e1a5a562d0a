package org.sassafraslink.api.model;

import java.util.Optional;

/**
 * The accepted configuration and the intent for the next one, as stored in one row of the table
 * service.
 *
 * <p>An intent names the configuration that is about to be accepted. It is written first, so that a
 * process that reads it can already reject requests that the next configuration does not allow,
 * even though that configuration may never be accepted.
 *
 * @param version the version of the accepted configuration; 0 if there is none
 * @param digest the digest of the accepted configuration; empty if there is none
 * @param author the operator who published it
 */
public record Head(long version, String digest, String author, Optional<Intent> intent) {
  /** Key of the head row. */
  public static final String KEY = "head";

  /**
   * A configuration that is about to be accepted.
   *
   * @param operation identifies the attempt to publish the configuration
   * @param atMillis when the intent was written, in Unix milliseconds
   */
  public record Intent(String operation, String digest, String author, long atMillis) {}

  /** Returns the head of a fleet that has no configuration yet. */
  public static Head initial() {
    return new Head(0, "", "", Optional.empty());
  }

  /** Returns this head with {@code newIntent} in place of any previous intent. */
  public Head withIntent(Intent newIntent) {
    return new Head(version, digest, author, Optional.of(newIntent));
  }

  /** Returns this head without its intent. */
  public Head withoutIntent() {
    return new Head(version, digest, author, Optional.empty());
  }

  /** Returns the head after {@code accepted} was accepted as the next version. */
  public Head accept(Intent accepted) {
    return new Head(version + 1, accepted.digest(), accepted.author(), Optional.empty());
  }
}
