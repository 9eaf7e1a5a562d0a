package org.sassafraslink.rules.request;

import java.util.Optional;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.platform.Row;

/** What to do with a request that has a request id, given the claim row that was read. */
public sealed interface ClaimDecision {
  /**
   * Write {@code claim} if the row still has {@code expectedVersion}, and send the request if that
   * succeeds.
   */
  record Write(long expectedVersion, Claim claim) implements ClaimDecision {}

  /** Send the request, because the claim was written by this attempt. */
  record Send() implements ClaimDecision {}

  /** Return the stored answer, because the request has already run. */
  record Replay(Claim.Answer answer) implements ClaimDecision {}

  /** Reject the request with {@code failure}. */
  record Reject(Failure failure) implements ClaimDecision {}

  /** A claim that was read from the table service, with the version of its row. */
  record StoredClaim(long version, Claim claim) {}

  /**
   * Decides what an attempt does next.
   *
   * @param own the claim that this attempt writes or has written
   * @param stored the claim that was read; empty if the row is absent
   */
  static ClaimDecision decide(Claim own, Optional<StoredClaim> stored) {
    if (stored.isEmpty()) {
      return new Write(Row.ABSENT, own);
    }
    Claim claim = stored.get().claim();
    if (claim.operation().equals(own.operation())) {
      return new Send();
    }
    if (!claim.fingerprint().equals(own.fingerprint())) {
      return reject(
          FailureType.REQUEST_ID_MISMATCH, "This request id belongs to a different request.");
    }
    return switch (claim.standing()) {
      case RELEASED -> new Write(stored.get().version(), own);
      case ANSWERED ->
          claim
              .answer()
              .<ClaimDecision>map(Replay::new)
              .orElseGet(
                  () ->
                      reject(
                          FailureType.REQUEST_ID_IN_USE,
                          "A request with this id ran before; its answer was not stored."));
      case CLAIMED ->
          reject(
              FailureType.REQUEST_ID_IN_USE,
              "A request with this id may be running or may have run.");
    };
  }

  private static ClaimDecision reject(FailureType type, String detail) {
    return new Reject(Failure.of(type, detail));
  }
}
