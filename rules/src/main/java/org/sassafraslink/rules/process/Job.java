package org.sassafraslink.rules.process;

import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig.WorkClass;
import org.sassafraslink.api.platform.WorkerControl.Resources;

/**
 * A job as stored in its row of the table service.
 *
 * @param need the resources that the job requires on its worker
 * @param runMillis the run time that the submitter declared
 * @param rerunnable whether the job may be started again when its outcome is unknown
 * @param submittedMillis the time of submission, in Unix milliseconds
 * @param epoch incremented with each placement, so that a worker can distinguish a new start from a
 *     repeated request for the same start
 * @param worker the id of the worker on which the job was last placed; empty while it waits
 * @param reason why the job is in its state, for people; empty if there is nothing to explain
 */
public record Job(
    String id,
    String team,
    String queue,
    WorkClass workClass,
    Resources need,
    long runMillis,
    boolean rerunnable,
    long submittedMillis,
    State state,
    long epoch,
    Optional<String> worker,
    String reason) {
  /** Prefix of the keys of all job rows. */
  public static final String KEY_PREFIX = "job/";

  /** The states of a job. */
  public enum State {
    WAITING,
    RUNNING,
    CANCELLING,
    DONE,
    FAILED,
    CANCELLED;

    /** Returns whether a job in this state never changes its state again. */
    public boolean isFinal() {
      return this == DONE || this == FAILED || this == CANCELLED;
    }
  }

  /** Returns the key of the row of job {@code id}. */
  public static String key(String id) {
    return KEY_PREFIX + id;
  }

  /**
   * Creates a job that waits for a worker.
   *
   * @param nowMillis the time of submission, in Unix milliseconds
   */
  public static Job submit(
      String id,
      String team,
      String queue,
      WorkClass workClass,
      Resources need,
      long runMillis,
      boolean rerunnable,
      long nowMillis) {
    return new Job(
        id,
        team,
        queue,
        workClass,
        need,
        runMillis,
        rerunnable,
        nowMillis,
        State.WAITING,
        0,
        Optional.empty(),
        "");
  }

  /** Returns this job as running on {@code workerId}, with a new epoch. */
  public Job place(String workerId) {
    return withState(State.RUNNING, epoch + 1, Optional.of(workerId), "");
  }

  /** Returns this job as ended in {@code finalState}. */
  public Job end(State finalState, String endReason) {
    return withState(finalState, epoch, worker, endReason);
  }

  /** Returns this job as waiting for a worker again, after its last worker stopped it. */
  public Job requeue(String requeueReason) {
    return withState(State.WAITING, epoch, Optional.empty(), requeueReason);
  }

  /**
   * Returns this job after its team asked to cancel it: a waiting job is cancelled immediately, a
   * running job once its worker has stopped it. A job in another state does not change.
   */
  public Job cancel() {
    return switch (state) {
      case WAITING -> end(State.CANCELLED, "cancelled before it started");
      case RUNNING -> withState(State.CANCELLING, epoch, worker, "cancelled while it ran");
      default -> this;
    };
  }

  private Job withState(
      State nextState, long nextEpoch, Optional<String> nextWorker, String nextReason) {
    return new Job(
        id,
        team,
        queue,
        workClass,
        need,
        runMillis,
        rerunnable,
        submittedMillis,
        nextState,
        nextEpoch,
        nextWorker,
        nextReason);
  }
}
