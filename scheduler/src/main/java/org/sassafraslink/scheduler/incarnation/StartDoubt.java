package org.sassafraslink.scheduler.incarnation;

/**
 * The start commands of an attempt that a later incarnation of its worker may have executed, or may
 * still execute.
 *
 * @param unresolvedStarts how many have no response that shows what became of them
 * @param runEndMillis when a run that one of them began has ended, monotonic ms
 */
public record StartDoubt(int unresolvedStarts, long runEndMillis) {
  /** No start was sent, or each was executed by the incarnation for which it was meant. */
  public static final StartDoubt NONE = new StartDoubt(0, 0);

  /** Returns the doubt after another start was sent. */
  public StartDoubt afterSending(LateCommandBounds bounds, long nowMillis) {
    return new StartDoubt(
        unresolvedStarts + 1, Math.max(runEndMillis, bounds.lateRunEndMillis(nowMillis)));
  }

  /** Returns the doubt after a response has shown that no other incarnation executes a start. */
  public StartDoubt afterResolving() {
    return unresolvedStarts <= 1 ? NONE : new StartDoubt(unresolvedStarts - 1, runEndMillis);
  }

  /** Returns the doubt after a response has shown that another incarnation executed a start. */
  public StartDoubt afterExecutionElsewhere(LateCommandBounds bounds, long nowMillis) {
    return unresolvedStarts == 1 ? new StartDoubt(1, bounds.runEndMillis(nowMillis)) : this;
  }

  /** Returns the doubt after another command with a lease was sent to the same incarnation. */
  public StartDoubt prolongedBy(LateCommandBounds bounds, long sentMillis) {
    return unresolvedStarts == 0
        ? this
        : new StartDoubt(
            unresolvedStarts, Math.max(runEndMillis, bounds.lateRunEndMillis(sentMillis)));
  }

  /** Returns whether a run on a later incarnation may still begin or last. */
  public boolean mayRun(long nowMillis) {
    return unresolvedStarts > 0 && nowMillis <= runEndMillis;
  }
}
