package org.sassafraslink.api.fleet;

/** The state of a job as it is reported to its submitter. */
public enum JobState {
  QUEUED,
  RUNNING,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Returns whether a job in this state never changes its state again. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
