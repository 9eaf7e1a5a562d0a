package org.sassafraslink.scheduler;

/**
 * Limits how many moves of VMs are requested in a second, with a token bucket.
 *
 * <p>The limit is a fraction of the rate that the platform accepts, which grows with the fleet. A
 * fixed number of moves in progress would let a large pool follow its demand more slowly than a
 * small one.
 */
final class VmMoveRate {
  /**
   * The fraction of the platform's rate that moves use. The rest is left to maintenance commands
   * and to those of the previous holder of the scheduling lease.
   */
  private static final double MOVE_FRACTION = 0.5;

  /** The moves that may be requested at once, as the time in which their tokens accrue, in ms. */
  private static final double BURST_MILLIS = 250;

  private final double tokensPerMillis;
  private final double maxTokens;
  private double tokens;
  private long refilledMillis;

  private VmMoveRate(double tokensPerMillis) {
    this.tokensPerMillis = tokensPerMillis;
    this.maxTokens = Math.max(1, tokensPerMillis * BURST_MILLIS);
    this.tokens = maxTokens;
  }

  /** Returns a limit for a platform that accepts {@code commandsPerSecond} commands to VMs. */
  static VmMoveRate of(double commandsPerSecond) {
    return new VmMoveRate(commandsPerSecond * MOVE_FRACTION / 1_000);
  }

  /** Returns whether a move may be requested now. */
  boolean allowsMove(long nowMillis) {
    if (nowMillis > refilledMillis) {
      tokens = Math.min(maxTokens, tokens + (nowMillis - refilledMillis) * tokensPerMillis);
      refilledMillis = nowMillis;
    }
    return tokens >= 1;
  }

  /** Counts a move that is requested now. */
  void countMove() {
    tokens--;
  }
}
