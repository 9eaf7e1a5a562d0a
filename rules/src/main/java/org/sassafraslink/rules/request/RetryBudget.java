package org.sassafraslink.rules.request;

/**
 * Limits retries to a fraction of the requests, so that retries cannot multiply an overload.
 *
 * @param tokens retries that may be made now, at most {@link #MAX_TOKENS}
 */
public record RetryBudget(double tokens) {
  /** Retries earned by each request. */
  public static final double TOKENS_PER_REQUEST = 0.1;

  /** Upper bound on saved retries. */
  public static final double MAX_TOKENS = 20;

  /** The budget of a process that has just started. */
  public static RetryBudget full() {
    return new RetryBudget(MAX_TOKENS);
  }

  /** The budget after one more first attempt. */
  public RetryBudget onRequest() {
    return new RetryBudget(Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST));
  }

  /** Whether a retry may be made. */
  public boolean hasRetry() {
    return tokens >= 1;
  }

  /** The budget after a retry. */
  public RetryBudget onRetry() {
    return new RetryBudget(tokens - 1);
  }
}
