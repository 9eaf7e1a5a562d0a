package org.sassafraslink.api.fleet;

/** The state of a job as its submitter sees it. */
public enum JobState {
  QUEUED,
  RUNNING,
  COMPLETED,
  FAILED,
  CANCELLED;

  /** Whether the state never changes again. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
