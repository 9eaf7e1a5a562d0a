package org.sassafraslink.rules.process;

import java.util.Optional;
import org.sassafraslink.api.model.FleetConfig.WorkClass;
import org.sassafraslink.api.platform.WorkerControl.Resources;

/**
 * The row of a job.
 *
 * @param epoch rises with each placement, so that a worker tells a new start from a repeated one
 * @param rerunnable whether the job may be started again after its outcome was lost
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
  /** The prefix of the keys of job rows. */
  public static final String PREFIX = "job/";

  /** The states of a job. */
  public enum State {
    WAITING,
    RUNNING,
    CANCELLING,
    DONE,
    FAILED,
    CANCELLED;

    /** Whether the job will not change any more. */
    public boolean isFinal() {
      return this == DONE || this == FAILED || this == CANCELLED;
    }
  }

  /** The key of the row of job {@code id}. */
  public static String key(String id) {
    return PREFIX + id;
  }

  /** A job that was just submitted. */
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

  /** This job placed on {@code chosen}. */
  public Job place(String chosen) {
    return with(State.RUNNING, epoch + 1, Optional.of(chosen), "");
  }

  /** This job in a final state. */
  public Job end(State end, String why) {
    return with(end, epoch, worker, why);
  }

  /** This job waiting again after its worker stopped it. */
  public Job requeue(String why) {
    return with(State.WAITING, epoch, Optional.empty(), why);
  }

  /** This job after its team asked to cancel it. */
  public Job cancel() {
    return switch (state) {
      case WAITING -> end(State.CANCELLED, "cancelled before it started");
      case RUNNING -> with(State.CANCELLING, epoch, worker, "cancelled while it ran");
      default -> this;
    };
  }

  private Job with(State nextState, long nextEpoch, Optional<String> nextWorker, String why) {
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
        why);
  }
}
