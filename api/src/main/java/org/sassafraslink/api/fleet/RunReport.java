package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;

/**
 * What runs on a worker and what has ended there, in one answer.
 *
 * @param incarnation the incarnation that answered, Unix milliseconds of its start
 * @param clockMillis the worker's own steady clock
 */
public record RunReport(
    long incarnation,
    long clockMillis,
    ImmutableList<Running> running,
    ImmutableList<Ended> ended) {

  /**
   * A running attempt.
   *
   * @param checkpoint the last saved progress; empty if none
   * @param percent the share at which it works; 100 when it is at work
   * @param load the tail of response times in ms for a serving task, else processors in use
   */
  public record Running(TaskId task, int attempt, String checkpoint, int percent, double load) {}

  /**
   * An ended attempt.
   *
   * @param sequence numbers the ends of an incarnation from 1
   */
  public record Ended(long sequence, TaskId task, int attempt, EndKind kind, String checkpoint) {}

  /** How an attempt ended. */
  public enum EndKind {
    DONE,
    /** By the task's own fault or the worker's. */
    FAILED,
    /** On an order. */
    STOPPED,
    /** The worker's lease expired. */
    LEASE_EXPIRED,
    /** Another member of its gang ended. */
    GANG_BROKEN,
    /** The rest of its gang did not come in time. */
    GANG_INCOMPLETE
  }
}
