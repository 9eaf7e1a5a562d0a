package org.sassafraslink.scheduler.sim;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerClient.CommandResponse;
import org.sassafraslink.api.fleet.WorkerClient.ReportRequest;
import org.sassafraslink.api.fleet.WorkerClient.Start;
import org.sassafraslink.api.fleet.WorkerClient.TaskReply;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.fleet.WorkerReport.EndKind;

/**
 * A simulated incarnation of a worker. It rejects old fencing tokens, ends its attempts when its
 * lease expires, and reports each end until the scheduler acknowledges it.
 */
final class FakeWorker {
  /** How long the worker takes to stop an attempt, in ms. */
  static final long STOP_DURATION_MILLIS = 400;

  /** An attempt of a task that was started on this worker. */
  private static final class RunningAttempt {
    private final TaskId task;
    private final int attempt;
    private final Resources resources;
    private boolean ended;

    RunningAttempt(TaskId task, int attempt, Resources resources) {
      this.task = task;
      this.attempt = attempt;
      this.resources = resources;
    }
  }

  /** Decides how long an attempt runs, how it ends, and which resources it needs. */
  interface TaskBehavior {
    long runMillis(TaskId task, int attempt);

    boolean fails(TaskId task, int attempt, String workerId);

    Resources resources(TaskId task);

    /** Returns the number of members of the gang of a task; 0 if it is in no gang. */
    int gangSize(TaskId task);
  }

  final String id;
  final long incarnation;
  boolean crashed;

  /** Whether no further task fits, whatever it needs. */
  boolean isFull;

  private final SimClock clock;
  private final TaskBehavior taskBehavior;
  private final GuaranteeChecker guaranteeChecker;
  private final Resources capacity;
  private final Set<DisabledMechanism> disabled;
  private final SimGangs gangs;
  private final double clockRate;

  /** The duration to which the worker shortens a longer lease, in ms on its own clock. */
  private final long maxLeaseMillis;

  final long startedMillis;

  /** Among them may be several of one task, since a worker rejects no higher attempt. */
  private final Set<RunningAttempt> runningAttempts = new LinkedHashSet<>();

  /** By task, the highest attempt that has ended or was stopped; up to it, none may start again. */
  private final Map<TaskId, Integer> highestEndedAttempt = new HashMap<>();

  /** The numbers of the attempts that this incarnation has started. */
  final Set<Integer> startedAttempts = new HashSet<>();

  private final List<WorkerReport.Ended> unacknowledgedEnds = new ArrayList<>();
  private long lastEndSequence;
  private long highestFencingToken;
  private long leaseEndMillis;

  FakeWorker(
      String id,
      long incarnation,
      SimClock clock,
      TaskBehavior taskBehavior,
      GuaranteeChecker guaranteeChecker,
      Resources capacity,
      Set<DisabledMechanism> disabled,
      SimGangs gangs,
      double clockRate,
      long maxLeaseMillis) {
    this.id = id;
    this.incarnation = incarnation;
    this.clock = clock;
    this.taskBehavior = taskBehavior;
    this.guaranteeChecker = guaranteeChecker;
    this.capacity = capacity;
    this.disabled = disabled;
    this.gangs = gangs;
    this.clockRate = clockRate;
    this.maxLeaseMillis = maxLeaseMillis;
    this.startedMillis = clock.nowMillis();
    enforceLease();
  }

  /** Returns the time of this worker's clock, which starts anew in each incarnation. */
  private long clockMillis() {
    return (long) ((clock.nowMillis() - startedMillis) * clockRate);
  }

  /**
   * Ends all running attempts if the lease has expired, which it does also while none runs. Then
   * schedules the next check, unless the worker has crashed.
   */
  private void enforceLease() {
    boolean isEnforced = !disabled.contains(DisabledMechanism.WORKER_LEASE_EXPIRY);
    if (isEnforced && clockMillis() > leaseEndMillis) {
      new ArrayList<>(runningAttempts)
          .forEach(running -> endAttempt(running, EndKind.LEASE_EXPIRED));
      guaranteeChecker.onLeaseExpired(this, unacknowledgedEnds);
    }
    if (!crashed) {
      clock.runAfter(20, this::enforceLease);
    }
  }

  private boolean isFenced(long fencingToken) {
    return fencingToken < highestFencingToken
        && !disabled.contains(DisabledMechanism.FENCING_TOKEN_CHECKS);
  }

  private void extendLease(long endMillis) {
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(endMillis, clockMillis() + maxLeaseMillis));
  }

  /** Returns a response of this incarnation. */
  Either<CallFailure, CommandResponse> reply(TaskReply reply) {
    return Either.right(new CommandResponse(reply, OptionalLong.of(clockMillis())));
  }

  Either<CallFailure, CommandResponse> start(Start start) {
    if (isFenced(start.fencingToken())) {
      return reply(TaskReply.FENCED);
    }
    highestFencingToken = Math.max(highestFencingToken, start.fencingToken());
    if (start.leaseEndMillis() < clockMillis()) {
      return reply(TaskReply.TOO_LATE);
    }
    extendLease(start.leaseEndMillis());
    boolean isRunning =
        runningAttempts.stream()
            .anyMatch(
                running -> running.task.equals(start.task()) && running.attempt == start.attempt());
    if (isRunning) {
      return reply(TaskReply.ACCEPTED);
    }
    if (start.attempt() <= highestEndedAttempt.getOrDefault(start.task(), 0)) {
      return reply(TaskReply.OUTDATED);
    }
    Resources need = taskBehavior.resources(start.task());
    if (isFull || !freeCapacity().covers(need)) {
      return reply(TaskReply.NO_ROOM);
    }
    RunningAttempt started = new RunningAttempt(start.task(), start.attempt(), need);
    runningAttempts.add(started);
    startedAttempts.add(start.attempt());
    guaranteeChecker.onStart(this, start.task(), start.attempt());
    EndKind endKind =
        taskBehavior.fails(started.task, started.attempt, id) ? EndKind.FAILED : EndKind.DONE;
    long runMillis = taskBehavior.runMillis(started.task, started.attempt);
    int gangSize = taskBehavior.gangSize(start.task());
    if (gangSize > 0) {
      gangs.join(
          started.task,
          started.attempt,
          start.checkpoint(),
          gangSize,
          runMillis,
          kind -> endAttempt(started, kind));
    } else {
      clock.runAfter(runMillis, () -> endAttempt(started, endKind));
    }
    return reply(TaskReply.ACCEPTED);
  }

  private Resources freeCapacity() {
    Resources free = capacity;
    for (RunningAttempt running : runningAttempts) {
      free = free.minus(running.resources);
    }
    return free;
  }

  Either<CallFailure, CommandResponse> stop(TaskId task, int attempt, long fencingToken) {
    if (isFenced(fencingToken)) {
      return reply(TaskReply.FENCED);
    }
    highestFencingToken = Math.max(highestFencingToken, fencingToken);
    highestEndedAttempt.merge(task, attempt, Math::max);
    runningAttempts.stream()
        .filter(running -> running.task.equals(task) && running.attempt <= attempt)
        .forEach(
            running ->
                clock.runAfter(STOP_DURATION_MILLIS, () -> endAttempt(running, EndKind.STOPPED)));
    return reply(TaskReply.ACCEPTED);
  }

  /** Extends the lease, removes acknowledged ends, and responds to a long poll. */
  void pollReport(ReportRequest request, Consumer<Either<CallFailure, WorkerReport>> done) {
    if (isFenced(request.fencingToken())) {
      done.accept(Either.left(CallFailure.REJECTED));
      return;
    }
    highestFencingToken = Math.max(highestFencingToken, request.fencingToken());
    request.leaseEndMillis().ifPresent(this::extendLease);
    guaranteeChecker.onAcknowledged(this, unacknowledgedEnds, request.acknowledgedSequence());
    unacknowledgedEnds.removeIf(end -> end.sequence() <= request.acknowledgedSequence());
    respondToPoll(request.waitMillis(), done);
  }

  /** Responds as soon as an end is unacknowledged, or when {@code waitMillis} have passed. */
  private void respondToPoll(int waitMillis, Consumer<Either<CallFailure, WorkerReport>> done) {
    if (crashed) {
      clock.runAfter(waitMillis, () -> done.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
    } else if (waitMillis <= 0 || !unacknowledgedEnds.isEmpty()) {
      done.accept(Either.right(createReport()));
      if (disabled.contains(DisabledMechanism.ENDS_KEPT_UNTIL_ACKNOWLEDGED)) {
        guaranteeChecker.onAcknowledged(this, unacknowledgedEnds, lastEndSequence);
        unacknowledgedEnds.clear();
      }
    } else {
      clock.runAfter(10, () -> respondToPoll(waitMillis - 10, done));
    }
  }

  private WorkerReport createReport() {
    ImmutableList.Builder<WorkerReport.Running> reported = ImmutableList.builder();
    for (RunningAttempt running : runningAttempts) {
      gangs.onReported(running.task, running.attempt);
      reported.add(
          new WorkerReport.Running(
              running.task, running.attempt, gangs.saved(running.task, running.attempt), 100, 0));
    }
    return new WorkerReport(
        incarnation, clockMillis(), reported.build(), ImmutableList.copyOf(unacknowledgedEnds));
  }

  private void endAttempt(RunningAttempt running, EndKind kind) {
    if (running.ended || crashed) {
      return;
    }
    running.ended = true;
    runningAttempts.remove(running);
    highestEndedAttempt.merge(running.task, running.attempt, Math::max);
    lastEndSequence++;
    unacknowledgedEnds.add(
        new WorkerReport.Ended(
            lastEndSequence,
            running.task,
            running.attempt,
            kind,
            gangs.saved(running.task, running.attempt)));
    gangs.leave(running.task, running.attempt);
    guaranteeChecker.onEnd(this, running.task, running.attempt, kind);
  }

  /** Ends this incarnation and all attempts that run on it, without reporting their ends. */
  void crash() {
    crashed = true;
    runningAttempts.forEach(
        running -> guaranteeChecker.onNoLongerRunning(this, running.task, running.attempt));
    List<RunningAttempt> lost = List.copyOf(runningAttempts);
    runningAttempts.clear();
    lost.forEach(running -> gangs.leave(running.task, running.attempt));
  }

  int runningAttemptCount() {
    return runningAttempts.size();
  }

  boolean runsTask(TaskId task) {
    return runningAttempts.stream().anyMatch(running -> running.task.equals(task));
  }

  long countOfJob(String job) {
    return runningAttempts.stream().filter(running -> running.task.job().equals(job)).count();
  }

  /** Returns how many tasks of the same job, occurrence and step it runs. */
  int countOfSameStep(TaskId task) {
    return (int)
        runningAttempts.stream()
            .map(running -> running.task)
            .filter(
                other ->
                    other.job().equals(task.job())
                        && other.occurrence() == task.occurrence()
                        && other.step() == task.step())
            .count();
  }

  /** Returns how often {@code need} fits into what is free, at most {@code limit} times. */
  int countRoomFor(Resources need, int limit) {
    int count = 0;
    Resources free = isFull ? Resources.NONE.minus(need) : freeCapacity();
    while (count < limit && free.covers(need)) {
      free = free.minus(need);
      count++;
    }
    return count;
  }
}
