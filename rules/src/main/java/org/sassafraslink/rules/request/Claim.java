package org.sassafraslink.rules.request;

import java.util.Optional;

/**
 * The row that makes a request id run at most once, at whichever entry daemon it is repeated.
 *
 * @param operation the attempt that holds the claim; tells a writer its own row after a lost answer
 * @param fingerprint digest of the request, so that an id cannot be reused for another one
 */
public record Claim(
    String operation,
    String holder,
    String fingerprint,
    Standing standing,
    long atMillis,
    Optional<Answer> answer) {
  private static final String KEY_PREFIX = "claim/";

  /** How far the claimed request has come. */
  public enum Standing {
    /** May have been sent. */
    CLAIMED,
    /** Certainly not sent; the id may be claimed again. */
    RELEASED,
    /** Answered; the answer is kept if it was small. */
    ANSWERED
  }

  /** A kept answer; the body is Base64. */
  public record Answer(int status, String contentType, String body) {}

  /** The key of the claim of {@code requestId}, which each team and service have for themselves. */
  public static String key(String team, String service, String requestId) {
    return KEY_PREFIX + service + "/" + team + "/" + requestId;
  }

  /** The prefix of the keys of all claims. */
  public static String prefix() {
    return KEY_PREFIX;
  }

  /** A claim that is about to be written. */
  public static Claim create(String operation, String holder, String fingerprint, long nowMillis) {
    return new Claim(operation, holder, fingerprint, Standing.CLAIMED, nowMillis, Optional.empty());
  }

  /** This claim after the request was certainly not sent. */
  public Claim release() {
    return new Claim(operation, holder, fingerprint, Standing.RELEASED, atMillis, Optional.empty());
  }

  /** This claim after the request was answered. */
  public Claim answered(Optional<Answer> kept) {
    return new Claim(operation, holder, fingerprint, Standing.ANSWERED, atMillis, kept);
  }
}
