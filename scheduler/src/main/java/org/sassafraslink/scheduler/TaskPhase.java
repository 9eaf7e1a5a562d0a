package org.sassafraslink.scheduler;

/** How far the current attempt of a task has come. */
enum TaskPhase {
  /** No attempt is under way. */
  WAITING,
  /** An attempt has a worker; its start is not committed yet. */
  ASSIGNED,
  /** The start is committed and may have reached the worker. */
  ORDERED,
  /** The worker has confirmed the attempt. */
  RUNNING,
  /** The worker has been told to stop the attempt. */
  STOPPING,
  /** An attempt has ended successfully. */
  DONE;

  /** Whether the attempt takes room on its worker. */
  boolean occupiesWorker() {
    return this != WAITING && this != DONE;
  }

  /** Whether the worker may know of the attempt. */
  boolean maySeeWorker() {
    return this == ORDERED || this == RUNNING || this == STOPPING;
  }
}
