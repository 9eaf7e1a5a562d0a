package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;

/**
 * A worker's report of the attempts that are running on it and that have ended there.
 *
 * @param incarnation the incarnation of the worker that reported, which is the time of its start in
 *     Unix milliseconds
 * @param clockMillis the time of the report, on the worker's own monotonic clock
 */
public record WorkerReport(
    long incarnation,
    long clockMillis,
    ImmutableList<Running> running,
    ImmutableList<Ended> ended) {

  /**
   * A running attempt.
   *
   * @param checkpoint the last saved progress; empty if none
   * @param speedPercent the speed at which the attempt works, as a percentage; 100 for full speed
   * @param load the tail latency in ms for a serving task, otherwise the number of processors in
   *     use
   */
  public record Running(
      TaskId task, int attempt, String checkpoint, int speedPercent, double load) {}

  /**
   * An ended attempt.
   *
   * @param sequence numbers the ended attempts of an incarnation of the worker, from 1
   * @param checkpoint the last saved progress; empty if none
   */
  public record Ended(long sequence, TaskId task, int attempt, EndKind kind, String checkpoint) {}

  /** How an attempt ended. */
  public enum EndKind {
    DONE,
    /** The task or the worker failed. */
    FAILED,
    /** The scheduler ordered the worker to stop the attempt. */
    STOPPED,
    /** The worker's lease expired. */
    LEASE_EXPIRED,
    /** Another task of its gang ended. */
    GANG_BROKEN,
    /** The other tasks of its gang did not start in time. */
    GANG_INCOMPLETE
  }
}
