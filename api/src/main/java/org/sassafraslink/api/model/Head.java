package org.sassafraslink.api.model;

import java.util.Optional;

/**
 * The one row that says which configuration is accepted.
 *
 * <p>An intent names the configuration that an operator is about to have accepted. It is written
 * first, so that a process which learns of it can refuse what the next version withdraws, whether
 * or not that version is accepted in the end.
 */
public record Head(long version, String digest, String author, Optional<Intent> intent) {
  /** The key of the head row. */
  public static final String KEY = "head";

  /** A configuration that is about to be accepted. */
  public record Intent(String operation, String digest, String author, long atMillis) {}

  /** The head of a fleet that has no configuration yet. */
  public static Head initial() {
    return new Head(0, "", "", Optional.empty());
  }

  /** This head with an intent in place of any earlier one. */
  public Head announce(Intent next) {
    return new Head(version, digest, author, Optional.of(next));
  }

  /** This head without its intent. */
  public Head withdrawIntent() {
    return new Head(version, digest, author, Optional.empty());
  }

  /** The head after its intent is accepted. */
  public Head accept(Intent accepted) {
    return new Head(version + 1, accepted.digest(), accepted.author(), Optional.empty());
  }
}
