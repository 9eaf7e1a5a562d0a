package org.sassafraslink.entry.job;

/**
 * A limit on how often something may be done.
 *
 * @param tokensPerMillis how many tokens accrue in one ms
 * @param maxTokens the most tokens that can accrue
 * @param tokens the tokens at {@code refilledMillis}
 * @param refilledMillis monotonic ms
 */
record TokenBucket(double tokensPerMillis, double maxTokens, double tokens, long refilledMillis) {
  /** Returns a full bucket. */
  static TokenBucket full(double tokensPerSecond, double maxTokens, long nowMillis) {
    return new TokenBucket(tokensPerSecond / 1_000, maxTokens, maxTokens, nowMillis);
  }

  /** Returns this bucket with the tokens that have accrued until {@code nowMillis}. */
  TokenBucket refill(long nowMillis) {
    double accrued = Math.max(0, nowMillis - refilledMillis) * tokensPerMillis;
    return new TokenBucket(
        tokensPerMillis,
        maxTokens,
        Math.min(maxTokens, tokens + accrued),
        Math.max(refilledMillis, nowMillis));
  }

  /** Returns whether a token can be taken. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Returns this bucket without one token. */
  TokenBucket take() {
    return new TokenBucket(tokensPerMillis, maxTokens, tokens - 1, refilledMillis);
  }
}
