package org.sassafraslink.daemon.request;

import org.sassafraslink.api.failure.Failure;

/** How one attempt at a backend server ended. */
public sealed interface ExchangeOutcome {
  /** A whole answer came back. */
  record Whole(CallResult.Answered answer) implements ExchangeOutcome {}

  /** The connection failed, or the answer was not whole or not of this request. */
  record Broken(String reason) implements ExchangeOutcome {}

  /** The request ran, but its answer cannot be handed on. */
  record Unusable(Failure failure) implements ExchangeOutcome {}
}
