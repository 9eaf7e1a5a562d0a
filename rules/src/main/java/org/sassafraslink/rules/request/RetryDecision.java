package org.sassafraslink.rules.request;

import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;

/**
 * Decides whether to retry a request after an attempt to send it to a backend server has failed.
 */
public final class RetryDecision {
  /** What to do with the request. */
  public sealed interface Action {
    /** Send the request again, preferably to another instance. */
    record Retry() implements Action {}

    /** Return {@code failure} to the caller. */
    record Fail(Failure failure) implements Action {}
  }

  /**
   * The request after its last attempt has failed.
   *
   * @param mayHaveBeenSent whether a byte of any attempt may have reached an instance
   * @param idempotent whether the request may run more than once without harm
   * @param attempts the number of attempts made so far
   */
  public record FailedRequest(
      boolean mayHaveBeenSent,
      boolean idempotent,
      int attempts,
      long nowMillis,
      long deadlineMillis) {}

  /** Maximum number of attempts for one request, including the first. */
  public static final int MAX_ATTEMPTS = 3;

  private RetryDecision() {}

  /**
   * Decides whether to retry the request or to return a failure. A request is retried only if it is
   * idempotent or was not sent, its deadline has not passed, and neither {@link #MAX_ATTEMPTS} nor
   * the retry budget is used up.
   *
   * @param hasRetryBudget whether the {@link RetryBudget} allows a retry
   */
  public static Action decide(FailedRequest failedRequest, boolean hasRetryBudget) {
    boolean isSafeToRepeat = failedRequest.idempotent() || !failedRequest.mayHaveBeenSent();
    boolean isBeforeDeadline = failedRequest.nowMillis() < failedRequest.deadlineMillis();
    if (isSafeToRepeat
        && isBeforeDeadline
        && hasRetryBudget
        && failedRequest.attempts() < MAX_ATTEMPTS) {
      return new Action.Retry();
    }
    return new Action.Fail(failureOf(failedRequest.mayHaveBeenSent()));
  }

  /**
   * Returns the failure of a request that is not sent again. It says whether the request may have
   * run.
   */
  public static Failure failureOf(boolean mayHaveBeenSent) {
    return mayHaveBeenSent
        ? Failure.of(
            FailureType.OUTCOME_UNKNOWN,
            "The request may have been sent, but no complete answer was received; it may have run.")
        : Failure.of(FailureType.NO_INSTANCE, "No instance could be reached; nothing was sent.");
  }
}
