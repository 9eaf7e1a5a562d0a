package org.sassafraslink.scheduler.queue;

/** Why a job is deferred rather than another one. */
public enum DeferralReason {
  /** A queue with a higher priority has jobs that wait for the same pool. */
  LOWER_PRIORITY,
  /** The job's team has more than its share of the pool without it. */
  TEAM_ABOVE_SHARE,
  /** Among equals, the most room for other callers is gained by deferring it. */
  MOST_WORK,
  /** Only jobs that have started are before it, and it can't be in time behind them. */
  NO_ROOM
}
