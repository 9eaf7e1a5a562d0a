package org.sassafraslink.daemon.request;

import org.sassafraslink.api.failure.Failure;

/** The outcome of one attempt to send a call to a backend server. */
public sealed interface AttemptOutcome {
  /** The backend server returned a complete answer. */
  record Completed(CallResult.Answered answer) implements AttemptOutcome {}

  /**
   * The attempt failed: the connection failed, the time limit passed, or the answer was incomplete,
   * was not valid or belongs to a different request.
   */
  record Failed(String reason) implements AttemptOutcome {}

  /** The request has run, but its answer cannot be returned to the caller. */
  record UnusableAnswer(Failure failure) implements AttemptOutcome {}
}
