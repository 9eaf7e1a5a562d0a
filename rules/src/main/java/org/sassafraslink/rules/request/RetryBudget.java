package org.sassafraslink.rules.request;

/**
 * Limits retries to a fraction of all requests, so that retries do not amplify an overload.
 *
 * @param tokens the number of retries that may be made now, rounded down; at most {@link
 *     #MAX_TOKENS}
 */
public record RetryBudget(double tokens) {
  /** Tokens added for each request; a retry costs one token. */
  public static final double TOKENS_PER_REQUEST = 0.1;

  /** Maximum number of tokens. */
  public static final double MAX_TOKENS = 20;

  /** Returns the budget of a process that has just started, which has the maximum of tokens. */
  public static RetryBudget full() {
    return new RetryBudget(MAX_TOKENS);
  }

  /** Returns the budget after the first attempt of a request. */
  public RetryBudget recordRequest() {
    return new RetryBudget(Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST));
  }

  /** Returns whether a retry may be made. */
  public boolean canRetry() {
    return tokens >= 1;
  }

  /** Returns the budget after a retry. */
  public RetryBudget recordRetry() {
    return new RetryBudget(tokens - 1);
  }
}
