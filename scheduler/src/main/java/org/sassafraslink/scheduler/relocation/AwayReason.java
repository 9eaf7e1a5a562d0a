package org.sassafraslink.scheduler.relocation;

import java.util.Locale;

/** Why a long-running task that should run does not. */
public enum AwayReason {
  /** An attempt of it is being stopped, or its end is not reported yet. */
  STOPPING,
  /** It is assigned to a worker, and the assignment is not committed. */
  UNCOMMITTED,
  /** Its start is committed, and its worker has not confirmed that it runs. */
  UNANSWERED_START,
  /** Its team is at its upper limit. */
  TEAM_LIMIT,
  /** A worker has room for it, so the next placement round can assign it. */
  PLACEABLE,
  /** Each open worker with room lacks a ticket of the advice service. */
  NO_TICKET,
  // Reasons why a worker is closed, those that usually end first before the others.
  /** Only workers have room that get no tasks for a short time, since a start has failed there. */
  AVOIDED,
  /** Only workers have room, or its own worker is one, that do not respond or report. */
  UNREPORTED,
  /** Only workers have room that may have been replaced. */
  REPLACEMENT_SUSPECTED,
  /** Only workers have room on which tasks keep failing. */
  QUARANTINED,
  /** Only workers have room that are drained, for a wave, a move or by the platform. */
  CORDONED,
  /** Only workers in evacuated zones have room. */
  EVACUATED,
  /** Each worker with room has as many tasks of the step as it may have. */
  SPREAD,
  /** No worker has room, and at least one is open. */
  NO_ROOM,
  /** No worker that may run it is open. */
  NO_WORKER;

  /** Returns the name in log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
