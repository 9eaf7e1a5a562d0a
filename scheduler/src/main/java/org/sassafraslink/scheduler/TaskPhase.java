package org.sassafraslink.scheduler;

/** The phase of a task's current attempt. */
enum TaskPhase {
  /** The task has no current attempt. */
  WAITING,
  /** The attempt is assigned to a worker; the assignment is not committed yet. */
  ASSIGNED,
  /** The assignment is committed, and the start may have reached the worker. */
  ORDERED,
  /** The worker has confirmed that it runs the attempt. */
  RUNNING,
  /** The stop of the attempt may have reached the worker, or its end is not reported yet. */
  STOPPING,
  /** The task has ended successfully. */
  DONE;

  /** Returns whether the attempt uses capacity of its worker. */
  boolean occupiesWorker() {
    return this != WAITING && this != DONE;
  }

  /** Returns whether a start of the attempt may have reached the worker. */
  boolean mayBeKnownToWorker() {
    return this == ORDERED || this == RUNNING || this == STOPPING;
  }
}
