package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerClient.CommandResponse;
import org.sassafraslink.api.fleet.WorkerClient.Start;
import org.sassafraslink.api.fleet.WorkerClient.TaskReply;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.cancellation.ClockTimes;
import org.sassafraslink.scheduler.cancellation.StartBound;
import org.sassafraslink.scheduler.command.CommandPermission;
import org.sassafraslink.scheduler.incarnation.LateCommandBounds;
import org.sassafraslink.scheduler.placement.EvacuatedZones;
import org.sassafraslink.scheduler.placement.EvacuatedZones.StartAction;

/**
 * Sends start and stop commands to workers and repeats them until their outcome is known.
 *
 * <p>A command without a response may still be executed seconds later. A start is therefore
 * repeated unchanged, because a worker starts the same attempt only once. If the outcome remains
 * unknown, the attempt is stopped, because a worker rejects a start that arrives after the stop of
 * the same attempt.
 */
final class TaskCommandSender {
  /** Delay before a command whose outcome is unknown is sent again, in ms. */
  private static final long RETRY_DELAY_MILLIS = 150;

  /**
   * Number of starts with unknown outcome after which the attempt is stopped instead. It does not
   * apply to long-running tasks, whose start is repeated without limit, because a stop would
   * interrupt the task if it is running already.
   */
  private static final int MAX_INCONCLUSIVE_STARTS = 3;

  /** How long a worker gets no new tasks after a start command failed, in ms. */
  private static final long AVOID_AFTER_FAILURE_MILLIS = 700;

  /** How long a worker gets no new tasks after it had no free capacity for a task, in ms. */
  private static final long AVOID_AFTER_NO_ROOM_MILLIS = 200;

  /**
   * How long a long-running task may run on a draining worker without another place, in ms. The
   * worker continues for longer than that.
   */
  private static final long MAX_WAIT_ON_DRAINING_MILLIS = 1_000;

  /** Decides whether the start of a task may be sent or repeated at the time given, in ms. */
  @FunctionalInterface
  interface StartPolicy {
    StartAction startAction(Task task, long nowMillis);
  }

  /** Receives the outcomes of commands; called on the scheduler's thread. */
  interface Listener {
    /** Called when the attempt has not started and can no longer start. */
    void onNotStarted(Task task, String reason);

    /**
     * Called when a start is not sent because the job may have been cancelled since it was last
     * known not to be.
     */
    void onCancellationUnknown(Job job);

    /** Called when a start that was not sent must not be sent to its worker any more. */
    void onStartWithdrawn(Task task);

    /** Called when the worker has accepted the start. */
    void onStarted(Task task);

    /** Called when the worker has rejected a command because it has seen a higher fencing token. */
    void onFenced(Worker worker);

    /** Called when another incarnation has responded at the worker's address. */
    void onWrongIncarnation(Worker worker);

    /** Called when a later incarnation of the worker has responded to a start. */
    void onLaterIncarnation(Worker worker);
  }

  private final WorkerClient client;
  private final FleetClock clock;
  private final EventLog log;
  private final WorkerLeaseLog leaseLog;
  private final SchedulerLease lease;
  private final SchedulerSettings settings;
  private final LateCommandBounds lateCommands;
  private final WorkerRegistry workers;
  private final StartPolicy startPolicy;
  private final Supplier<ClockTimes> feedReadAt;
  private final StartBound startBound;
  private final Listener listener;

  /** Tasks with a start or stop command that the worker has not accepted. */
  private final Set<Task> unconfirmedTasks = new LinkedHashSet<>();

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  TaskCommandSender(
      WorkerClient client,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      SchedulerSettings settings,
      WorkerRegistry workers,
      StartPolicy startPolicy,
      Supplier<ClockTimes> feedReadAt,
      Listener listener) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.leaseLog = new WorkerLeaseLog(log);
    this.lease = lease;
    this.settings = settings;
    this.lateCommands = settings.lateCommandBounds();
    this.workers = workers;
    this.startPolicy = startPolicy;
    this.feedReadAt = feedReadAt;
    this.startBound = new StartBound(settings.maxCancellationMillis());
    this.listener = listener;
  }

  void reset() {
    generation++;
    unconfirmedTasks.clear();
  }

  /** Sends the start command of a task whose assignment is committed. */
  void start(Task task) {
    task.phase = TaskPhase.ORDERED;
    unconfirmedTasks.add(task);
    send(task);
  }

  /**
   * Stops long-running tasks on workers that are draining, each as soon as it has another place or
   * the worker may end soon; others are left to end there.
   */
  void stopLongRunningOnDraining(
      Iterable<Worker> workers, Predicate<Task> hasPlace, long nowMillis) {
    for (Worker worker : workers) {
      if (!worker.entry.draining()) {
        worker.drainSeenMillis = 0;
      } else if (!worker.isEmpty()) {
        if (worker.drainSeenMillis == 0) {
          worker.drainSeenMillis = nowMillis;
        }
        long drainedMillis = nowMillis - worker.drainSeenMillis;
        for (Task task : worker.tasks()) {
          if (task.step.longRunning()
              && task.phase == TaskPhase.RUNNING
              && (drainedMillis >= MAX_WAIT_ON_DRAINING_MILLIS || hasPlace.test(task))) {
            stop(task, "worker_draining");
          }
        }
      }
    }
  }

  /** Stops the current attempt of a task, whether or not its start has reached the worker. */
  void stop(Task task, String reason) {
    if (!task.phase.mayBeKnownToWorker() || task.phase == TaskPhase.STOPPING) {
      return;
    }
    log.log(
        "task.stop",
        "job",
        task.id.job(),
        "task",
        task.id,
        "attempt",
        task.attempt,
        "worker",
        task.worker.entry.id(),
        "incarnation",
        task.worker.entry.incarnation(),
        "reason",
        reason);
    task.phase = TaskPhase.STOPPING;
    task.stopAcceptedMillis = 0;
    task.inconclusiveSends = 0;
    unconfirmedTasks.add(task);
    send(task);
  }

  /** Sends again the commands whose outcome is unknown and whose delay has passed. */
  void resendIfDue(long nowMillis) {
    for (Task task : new ArrayList<>(unconfirmedTasks)) {
      boolean isUnconfirmed =
          task.phase == TaskPhase.ORDERED
              || (task.phase == TaskPhase.STOPPING && task.stopAcceptedMillis == 0);
      if (!isUnconfirmed) {
        unconfirmedTasks.remove(task);
      } else if (!task.commandPending && nowMillis >= task.nextCommandMillis) {
        send(task);
      }
    }
  }

  private void send(Task task) {
    if (!lease.isValid() || task.commandPending || task.worker.ended) {
      return;
    }
    boolean isStart = task.phase == TaskPhase.ORDERED;
    boolean isResend = task.inconclusiveSends > 0;
    boolean shouldStopInstead =
        (task.inconclusiveSends >= MAX_INCONCLUSIVE_STARTS && !task.step.longRunning())
            || (isResend && task.worker.entry.draining());
    if (isStart && shouldStopInstead) {
      stop(task, "start_unanswered");
      return;
    }
    Worker worker = task.worker;
    if (isStart
        && (task.movedToRestartedWorker || !worker.hasReported || worker.laterIncarnationSeen)) {
      // The worker's next report shows whether it runs the attempt.
      return;
    }
    if (isStart && !maySendStart(task)) {
      return;
    }
    Optional<Long> leaseEnd = isStart ? leaseEndOfStart(worker, isResend) : Optional.empty();
    if (isStart && leaseEnd.isEmpty()) {
      return;
    }
    task.commandPending = true;
    int attempt = task.attempt;
    long sentGeneration = generation;
    long sentMillis = clock.monotonicMillis();
    long sentRegistration = worker.registration;
    long fencingToken = worker.fencingToken(lease.epoch());
    CommandPermission permission = isStart ? startPermission(task.job) : lease.commandPermission();
    java.util.function.Consumer<Either<CallFailure, CommandResponse>> onResponse =
        response -> {
          if (response.isRight()) {
            recordResponder(worker, isStart, task.id, attempt, response.get(), sentMillis);
          }
          boolean isCurrent =
              generation == sentGeneration && task.worker == worker && task.attempt == attempt;
          if (isCurrent) {
            task.commandPending = false;
            if (permission.wasDenied()) {
              retryUnsent(task, isStart, sentMillis);
            } else if (isStart) {
              applyStartResponse(task, response, sentMillis, sentRegistration);
            } else {
              applyStopResponse(task, response, sentRegistration);
            }
          }
        };
    if (isStart) {
      Start start =
          new Start(
              task.id,
              attempt,
              task.job.spec.payload(),
              leaseEnd.get(),
              fencingToken,
              task.startCheckpoint,
              task.ticket);
      task.startSent = true;
      task.startDoubt = task.startDoubt.afterSending(lateCommands, sentMillis);
      client.start(worker.entry, start, permission, onResponse);
    } else {
      client.stop(worker.entry, task.id, attempt, fencingToken, permission, onResponse);
    }
  }

  private Optional<Long> leaseEndOfStart(Worker worker, boolean isResend) {
    long now = clock.monotonicMillis();
    return isResend
        ? worker.repeatLease(now)
        : worker.grantLease(
            lease.grantableMillis(settings.leaseMillis(), ClockTimes.read(clock)), now);
  }

  /**
   * Records that a worker has responded to a command, or that a later incarnation has done so,
   * which decides nothing.
   */
  private void recordResponder(
      Worker worker,
      boolean isStart,
      TaskId task,
      int attempt,
      CommandResponse response,
      long sentMillis) {
    if (worker.isOwnClock(response.clockMillis(), sentMillis)) {
      worker.lastCommandResponseMillis = clock.monotonicMillis();
    } else {
      String command = isStart ? "start" : "stop";
      leaseLog.logLaterIncarnation(worker, command, task, attempt, response, sentMillis);
    }
  }

  /** Returns whether a start may be sent or repeated now, and deals with one that may not. */
  private boolean maySendStart(Task task) {
    long now = clock.monotonicMillis();
    StartAction action = startPolicy.startAction(task, now);
    if (action == StartAction.WITHDRAW) {
      listener.onStartWithdrawn(task);
    } else if (action == StartAction.AWAIT_REPORT) {
      awaitReportOfStart(task, now);
    } else {
      task.startWithheldMillis = 0;
    }
    return action == StartAction.SEND && confirmUncancelled(task.job);
  }

  /**
   * Returns whether a job is known not to have been cancelled long ago, and has that found out
   * otherwise.
   */
  private boolean confirmUncancelled(Job job) {
    boolean isKnown = startBound.maySend(notCancelledAt(job), ClockTimes.read(clock));
    if (!isKnown) {
      listener.onCancellationUnknown(job);
    }
    return isKnown;
  }

  private CommandPermission startPermission(Job job) {
    ClockTimes notCancelledAt = notCancelledAt(job);
    return lease.commandPermission(
        () -> startBound.maySend(notCancelledAt, ClockTimes.read(clock)));
  }

  private ClockTimes notCancelledAt(Job job) {
    return ClockTimes.later(job.notCancelledAt, feedReadAt.get());
  }

  /**
   * Handles a start that must not be repeated although its outcome is unknown. A task that has done
   * little work by now is stopped at once. The stop of a long-running task would interrupt it, and
   * that of a gang all its members, so the worker's next report decides about those.
   */
  private void awaitReportOfStart(Task task, long nowMillis) {
    if (!task.step.longRunning() && !task.step.gang()) {
      stop(task, EvacuatedZones.REASON);
    } else if (task.startWithheldMillis == 0) {
      task.startWithheldMillis = nowMillis;
    }
  }

  private void applyStartResponse(
      Task task,
      Either<CallFailure, CommandResponse> response,
      long sentMillis,
      long sentRegistration) {
    boolean isOfLaterIncarnation =
        response.isRight() && !task.worker.isOwnClock(response.get().clockMillis(), sentMillis);
    if (isOfLaterIncarnation && response.get().reply() == TaskReply.ACCEPTED) {
      task.startDoubt =
          task.startDoubt.afterExecutionElsewhere(lateCommands, clock.monotonicMillis());
    } else if (isConclusive(response)) {
      task.startDoubt = task.startDoubt.afterResolving();
    }
    if (isOfLaterIncarnation) {
      listener.onLaterIncarnation(task.worker);
    }
    if (task.phase == TaskPhase.STOPPING) {
      // The stop was not sent while the response to the start was pending.
      send(task);
      return;
    }
    if (task.phase != TaskPhase.ORDERED) {
      return;
    }
    if (isOfLaterIncarnation) {
      scheduleResend(task);
      return;
    }
    if (response.isLeft()) {
      applyStartFailure(task, response.getLeft());
      return;
    }
    switch (response.get().reply()) {
      case ACCEPTED -> {
        unconfirmedTasks.remove(task);
        listener.onStarted(task);
      }
      case FENCED -> applyFenced(task, sentRegistration);
      case TOO_LATE -> scheduleResend(task);
      case NO_ROOM -> reportNotStarted(task, "no_room", AVOID_AFTER_NO_ROOM_MILLIS);
      case NO_TICKET -> reportNotStarted(task, "no_ticket", 0);
      case OUTDATED -> awaitReportedEnd(task);
      case ABSENT -> reportNotStarted(task, "refused", 0);
    }
  }

  /** Sends a command again, if it is still allowed then, that its permission has kept back. */
  private void retryUnsent(Task task, boolean wasStart, long decidedMillis) {
    long now = clock.monotonicMillis();
    log.log(
        "task.command_withheld",
        "job",
        task.id.job(),
        "task",
        task.id,
        "attempt",
        task.attempt,
        "worker",
        task.worker.entry.id(),
        "command",
        wasStart ? "start" : "stop",
        "waited",
        now - decidedMillis);
    if (wasStart) {
      task.startDoubt = task.startDoubt.afterResolving();
      task.startSent = task.inconclusiveSends > 0;
    }
    if (wasStart && task.phase == TaskPhase.STOPPING) {
      // The stop was not sent while the response to the start was pending.
      send(task);
    } else {
      task.nextCommandMillis = now + RETRY_DELAY_MILLIS;
    }
  }

  /** Returns whether a response shows that no other incarnation runs the task or will run it. */
  private static boolean isConclusive(Either<CallFailure, CommandResponse> response) {
    return response.fold(
        failure ->
            switch (failure) {
              case NOT_PERFORMED, REJECTED, WRONG_INCARNATION -> true;
              default -> false;
            },
        ignored -> true);
  }

  private void applyFenced(Task task, long sentRegistration) {
    if (workers.isSuperseded(task.worker, sentRegistration)) {
      scheduleResend(task);
    } else {
      listener.onFenced(task.worker);
    }
  }

  private void applyStartFailure(Task task, CallFailure failure) {
    switch (failure) {
      case WRONG_INCARNATION -> listener.onWrongIncarnation(task.worker);
      case NOT_PERFORMED -> {
        if (task.inconclusiveSends == 0) {
          reportNotStarted(task, "not_performed", AVOID_AFTER_FAILURE_MILLIS);
        } else {
          // An earlier start command for the same attempt may still arrive.
          scheduleResend(task);
        }
      }
      case REJECTED -> reportNotStarted(task, "rejected", AVOID_AFTER_FAILURE_MILLIS);
      default -> {
        task.worker.avoidUntilMillis = clock.monotonicMillis() + AVOID_AFTER_FAILURE_MILLIS;
        scheduleResend(task);
      }
    }
  }

  /**
   * Waits for a worker report that lists how an attempt ended that the worker has said to have
   * ended. In phase {@link TaskPhase#STOPPING} the attempt also counts as over if a report
   * requested later does not list it.
   */
  private void awaitReportedEnd(Task task) {
    unconfirmedTasks.remove(task);
    task.phase = TaskPhase.STOPPING;
    task.stopAcceptedMillis = clock.monotonicMillis();
  }

  private void scheduleResend(Task task) {
    task.inconclusiveSends++;
    task.nextCommandMillis = clock.monotonicMillis() + RETRY_DELAY_MILLIS;
  }

  private void reportNotStarted(Task task, String reason, long avoidMillis) {
    unconfirmedTasks.remove(task);
    task.worker.avoidUntilMillis =
        Math.max(task.worker.avoidUntilMillis, clock.monotonicMillis() + avoidMillis);
    if (task.startDoubt.unresolvedStarts() > 0) {
      // An earlier start command for the same attempt may still arrive.
      stop(task, reason);
    } else {
      listener.onNotStarted(task, reason);
    }
  }

  private void applyStopResponse(
      Task task, Either<CallFailure, CommandResponse> response, long sentRegistration) {
    if (task.phase != TaskPhase.STOPPING) {
      return;
    }
    if (response.isLeft()) {
      if (response.getLeft() == CallFailure.WRONG_INCARNATION) {
        listener.onWrongIncarnation(task.worker);
      } else {
        scheduleResend(task);
      }
    } else if (response.get().reply() == TaskReply.FENCED) {
      applyFenced(task, sentRegistration);
    } else {
      // If the attempt ever ran, the worker's report lists how it ended.
      task.stopAcceptedMillis = clock.monotonicMillis();
      unconfirmedTasks.remove(task);
    }
  }
}
