package org.sassafraslink.rules.request;

import java.util.Optional;

/**
 * The record that a request id is in use or was used, as stored in its row of the table service.
 *
 * <p>An entry daemon writes the claim before it sends the request, so that a request with the same
 * id runs at most once, even if the caller repeats it at another entry daemon.
 *
 * @param operation identifies the attempt that wrote the claim, so that a writer recognizes its own
 *     row after the answer to the write was lost
 * @param holder the id of the process that wrote the claim
 * @param fingerprint digest of the request, so that its id cannot be reused for a different request
 * @param standing the state of the request
 * @param atMillis when the claim was written, in Unix milliseconds
 * @param answer the stored answer to the request; empty if there is none yet or it was not stored
 */
public record Claim(
    String operation,
    String holder,
    String fingerprint,
    ClaimState standing,
    long atMillis,
    Optional<Answer> answer) {
  private static final String KEY_PREFIX = "claim/";

  /** The state of the claimed request. */
  public enum ClaimState {
    /** The request may have been sent to a backend server. */
    CLAIMED,
    /** The request was not sent; its id may be claimed again. */
    RELEASED,
    /** The request was answered; the answer is stored if it was small enough. */
    ANSWERED
  }

  /** A stored answer; {@code body} is encoded in Base64. */
  public record Answer(int status, String contentType, String body) {}

  /**
   * Returns the key of the claim of {@code requestId}. Request ids of different teams or services
   * are independent of each other.
   */
  public static String key(String team, String service, String requestId) {
    return KEY_PREFIX + service + "/" + team + "/" + requestId;
  }

  /** Returns the prefix of the keys of all claim rows. */
  public static String prefix() {
    return KEY_PREFIX;
  }

  /** Creates the claim that an attempt writes before it sends the request. */
  public static Claim create(String operation, String holder, String fingerprint, long nowMillis) {
    return new Claim(
        operation, holder, fingerprint, ClaimState.CLAIMED, nowMillis, Optional.empty());
  }

  /** Returns this claim after it is known that the request was not sent. */
  public Claim release() {
    return new Claim(
        operation, holder, fingerprint, ClaimState.RELEASED, atMillis, Optional.empty());
  }

  /**
   * Returns this claim after the request was answered.
   *
   * @param storedAnswer the answer to store; empty if it is not stored
   */
  public Claim recordAnswer(Optional<Answer> storedAnswer) {
    return new Claim(operation, holder, fingerprint, ClaimState.ANSWERED, atMillis, storedAnswer);
  }
}
