package org.sassafraslink.rules.request;

import java.util.Optional;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.platform.Row;

/** Decides what to do with a request id, given the claim row that was read. */
public sealed interface ClaimDecision {
  /** Write {@code claim} if the row still has {@code expectedVersion}. */
  record Write(long expectedVersion, Claim claim) implements ClaimDecision {}

  /** The claim is this attempt's own: send the request. */
  record Send() implements ClaimDecision {}

  /** The request ran before: give its answer again. */
  record Replay(Claim.Answer answer) implements ClaimDecision {}

  /** Tell the caller. */
  record Refuse(Failure failure) implements ClaimDecision {}

  /** A claim as it was read. */
  record Found(long version, Claim claim) {}

  /** Decides for the attempt that {@code own} describes. */
  static ClaimDecision decide(Claim own, Optional<Found> found) {
    if (found.isEmpty()) {
      return new Write(Row.ABSENT, own);
    }
    Claim claim = found.get().claim();
    if (claim.operation().equals(own.operation())) {
      return new Send();
    }
    if (!claim.fingerprint().equals(own.fingerprint())) {
      return refuse(
          FailureType.REQUEST_ID_MISMATCH, "This request id belongs to a different request.");
    }
    return switch (claim.standing()) {
      case RELEASED -> new Write(found.get().version(), own);
      case ANSWERED ->
          claim
              .answer()
              .<ClaimDecision>map(Replay::new)
              .orElseGet(
                  () ->
                      refuse(
                          FailureType.REQUEST_ID_IN_USE,
                          "This request id ran before; its answer was not kept."));
      case CLAIMED ->
          refuse(
              FailureType.REQUEST_ID_IN_USE,
              "This request id is claimed; it may be running or may have run.");
    };
  }

  private static ClaimDecision refuse(FailureType type, String detail) {
    return new Refuse(Failure.of(type, detail));
  }
}
