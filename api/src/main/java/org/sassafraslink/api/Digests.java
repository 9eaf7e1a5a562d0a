package org.sassafraslink.api;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import java.security.MessageDigest;

/** SHA-256 digests of keys and objects. */
public final class Digests {
  private static final String PREFIX = "sha256:";

  private Digests() {}

  /** Returns the digest of {@code text} in the form {@code sha256:hex}. */
  public static String of(String text) {
    return PREFIX + Hashing.sha256().hashString(text, UTF_8);
  }

  /**
   * Returns whether two digests are equal. The time that the comparison takes does not depend on
   * where they differ, so that a caller cannot find a digest by measuring it.
   */
  public static boolean matches(String left, String right) {
    return MessageDigest.isEqual(left.getBytes(US_ASCII), right.getBytes(US_ASCII));
  }

  /** Returns whether {@code digest} has the form that {@link #of} returns. */
  public static boolean isWellFormed(String digest) {
    return digest.matches(PREFIX + "[0-9a-f]{64}");
  }
}
