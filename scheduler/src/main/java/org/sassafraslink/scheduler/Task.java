package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.incarnation.StartDoubt;
import org.sassafraslink.scheduler.relocation.AwaySince;

/**
 * A task of one occurrence of a job, with its current attempt.
 *
 * <p>Not thread-safe: used only on the scheduler's thread.
 */
final class Task {
  final Job job;
  final TaskId id;
  final StepSpec step;

  TaskPhase phase = TaskPhase.WAITING;

  /** The number of the current or last attempt; 0 before the first one. */
  int attempt;

  /** The number of attempts that failed. */
  int failures;

  /**
   * The last checkpoint that a worker reported; empty if none. All members of a gang have the same,
   * see {@link Job#recordCheckpoint}.
   */
  String checkpoint = "";

  /**
   * The checkpoint with which the current attempt is started. It stays the same while the start is
   * repeated, since all members of a gang must be started with the same one.
   */
  String startCheckpoint = "";

  /** The worker of the current attempt; null while there is none. */
  Worker worker;

  /**
   * The worker that holds room for the next attempt of a long-running task; null if there is none.
   * See {@link LongRunningRelocations}.
   */
  Worker destination;

  /** The ticket of the advice service for the current attempt; empty if none is needed. */
  String ticket = "";

  /**
   * The change of the job, as numbered by {@link Job#lastChange}, that must be committed before the
   * start is sent; 0 if none must.
   */
  long startAfterChange;

  /** When the placement round that assigned the current attempt ended, monotonic ms. */
  long assignedMillis;

  /**
   * Whether the attempt was restored from the job's progress row. An earlier scheduler may have
   * sent its start, which the worker rejects once it knows this scheduler's fencing token.
   */
  boolean restored;

  /**
   * Whether the worker has restarted and has not reported the attempt since. The present
   * incarnation may have executed the start, but is of any kind and capacity, so the start is not
   * repeated there.
   */
  boolean movedToRestartedWorker;

  /**
   * The incarnation to which the attempt was assigned, or that has reported it since. A later one
   * to which the attempt has moved may never have reported, so it stays in doubt.
   */
  long assignedIncarnation;

  /** What later incarnations of the worker may do with the starts of the attempt. */
  StartDoubt startDoubt = StartDoubt.NONE;

  /** Whether a start of the attempt was sent, to whichever incarnation of the worker. */
  boolean startSent;

  /**
   * Since when the start is not repeated because the worker's zone is evacuated, monotonic ms; 0 if
   * it may be repeated.
   */
  long startWithheldMillis;

  /**
   * Until when no attempt is assigned, because a worker runs an attempt that is not the current one
   * and is being stopped, monotonic ms.
   */
  long orphanEndMillis;

  /** When the worker confirmed that it runs the attempt, monotonic ms; 0 before. */
  long confirmedMillis;

  /** How often the current start or stop command was sent without its outcome becoming known. */
  int inconclusiveSends;

  /** Whether a start or stop command has no response yet. */
  boolean commandPending;

  /** When the worker accepted the stop command, monotonic ms; 0 before. */
  long stopAcceptedMillis;

  /** The earliest time for sending the next start or stop command, monotonic ms. */
  long nextCommandMillis;

  /** How long the successful attempt ran, in ms; 0 before, or if that is unknown. */
  long ranMillis;

  /** When the last attempt ended, monotonic ms. */
  long endedMillis;

  /**
   * Since when a long-running task that has run before does not run; empty if it runs or has never
   * run. For the log only.
   */
  Optional<AwaySince> awaySince = Optional.empty();

  /**
   * When the earlier incarnation of the worker last responded, if the attempt was moved from it to
   * the present one, monotonic ms; 0 if it never did. For the log only.
   */
  long heardBeforeMoveMillis;

  /** The speed of the task as last reported, in percent of full speed. */
  int speedPercent;

  /** The speed in the last command with a response, in percent of full speed. */
  int requestedSpeedPercent = 100;

  /** The last reported load: tail latency in ms for a serving task, else processors in use. */
  double reportedLoad;

  /** The earliest time for changing the speed again, monotonic ms. */
  long nextSpeedChangeMillis;

  /** The ids of the workers on which the task has failed. */
  final Set<String> failedWorkerIds = new HashSet<>();

  Task(Job job, TaskId id, StepSpec step) {
    this.job = job;
    this.id = id;
    this.step = step;
  }

  /**
   * Returns the resources of an attempt that count towards the upper limit of its team. These
   * include the processors of a backfill task, although none are reserved for it on its worker.
   */
  Resources teamResources() {
    return step.need();
  }

  /** Returns whether the task runs at full speed, according to a recent report. */
  boolean isAtFullSpeed(long nowMillis) {
    return phase == TaskPhase.RUNNING && speedPercent >= 100 && worker.hasRecentReport(nowMillis);
  }

  /** Returns whether its assignment was committed and its first start is still to be sent. */
  boolean isStartCommitted() {
    return phase == TaskPhase.ASSIGNED
        && startAfterChange > 0
        && startAfterChange <= job.lastCommittedChange;
  }

  /** Returns whether a start of the current attempt may have reached the worker. */
  boolean mayBeKnown() {
    return phase.mayBeKnownToWorker() && (phase != TaskPhase.ORDERED || startSent || restored);
  }

  /**
   * Returns from when its last run counts as ended if its worker runs it no longer.
   *
   * @param takeoverMillis when this process acquired the scheduling lease, monotonic ms
   */
  AwaySince lastKnownRun(long takeoverMillis, long nowMillis) {
    if (movedToRestartedWorker) {
      return AwaySince.ofSilentWorker(heardBeforeMoveMillis, takeoverMillis);
    }
    return worker != null && (worker.ended || worker.isSilentOrUnreported())
        ? AwaySince.ofSilentWorker(worker.heardMillis(), takeoverMillis)
        : AwaySince.ofRelease(nowMillis);
  }

  /** Returns the members of its gang that have the same attempt, or only itself without a gang. */
  ImmutableList<Task> membersOfAttempt() {
    return step.gang()
        ? job.tasksOfStep(this).stream()
            .filter(member -> member.phase.occupiesWorker() && member.attempt == attempt)
            .collect(ImmutableList.toImmutableList())
        : ImmutableList.of(this);
  }

  /** Replaces the worker that holds room for the next attempt. */
  void changeDestination(Optional<Worker> newDestination) {
    if (destination != null) {
      destination.releaseHold(this);
    }
    destination = newDestination.orElse(null);
    newDestination.ifPresent(worker -> worker.hold(this));
  }

  /** Assigns the task to a worker for its next attempt. */
  void assign(Worker targetWorker, int nextAttempt, String adviceTicket) {
    changeDestination(Optional.empty());
    phase = TaskPhase.ASSIGNED;
    worker = targetWorker;
    assignedIncarnation = targetWorker.entry.incarnation();
    attempt = nextAttempt;
    ticket = adviceTicket;
    startCheckpoint = checkpoint;
    inconclusiveSends = 0;
    restored = false;
    startSent = false;
    startWithheldMillis = 0;
    movedToRestartedWorker = false;
    heardBeforeMoveMillis = 0;
    startDoubt = StartDoubt.NONE;
    stopAcceptedMillis = 0;
    nextCommandMillis = 0;
    confirmedMillis = 0;
    speedPercent = 0;
    requestedSpeedPercent = 100;
    targetWorker.add(this);
    job.teamUsage.acquire(teamResources());
  }

  /**
   * Moves the attempt to the new incarnation of its worker, which has restarted. Responses of the
   * earlier incarnation are ignored from now on.
   */
  void moveToRestartedWorker(Worker restartedWorker) {
    heardBeforeMoveMillis = Math.max(heardBeforeMoveMillis, worker.heardMillis());
    worker = restartedWorker;
    commandPending = false;
    movedToRestartedWorker = true;
    requestedSpeedPercent = 100;
    restartedWorker.add(this);
  }

  /** Ends the current attempt and releases its resources on the worker and of the team. */
  void release(TaskPhase nextPhase, long nowMillis) {
    if (worker != null) {
      worker.remove(this);
      worker = null;
      job.teamUsage.release(teamResources());
    }
    phase = nextPhase;
    endedMillis = nowMillis;
    commandPending = false;
    speedPercent = 0;
  }
}
