package org.sassafraslink.scheduler.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerReport.EndKind;
import org.sassafraslink.api.fleet.WorkerReport.Ended;

/**
 * Checks that the guarantees given to callers hold for the starts and ends of attempts on workers
 * and for the responses to callers, and collects the violations.
 */
public final class GuaranteeChecker {
  /** Longest time after an acknowledged cancellation for which tasks may still start, in ms. */
  private static final long MAX_START_AFTER_CANCEL_MILLIS = 3_000;

  /** Longest time without a fault for which a task of a cancelled job may run on, in ms. */
  private static final long MAX_RUN_AFTER_CANCEL_MILLIS =
      MAX_START_AFTER_CANCEL_MILLIS + FakeWorker.STOP_DURATION_MILLIS;

  private final SimClock clock;
  private final Map<String, JobSpec> submittedJobs = new HashMap<>();
  private final Map<String, Long> cancelledMillisByJob = new HashMap<>();
  private final Map<TaskId, Set<FakeWorker>> runningWorkersByTask = new HashMap<>();
  private final Set<TaskId> doneTasks = new HashSet<>();
  private final Set<TaskId> tasksThatRanOn = new HashSet<>();
  private final Set<TaskId> acknowledgedDoneTasks = new HashSet<>();
  private final Map<TaskId, Integer> failuresByTask = new HashMap<>();
  private final Map<String, Long> firstStartMillisByJob = new HashMap<>();
  private final Map<String, Long> lastStartMillisByJob = new HashMap<>();
  private final Map<String, Resources> limitByTeam = new HashMap<>();
  private final Map<String, Resources> usedByTeam = new HashMap<>();

  /**
   * By worker, the sequence numbers of the ends that were unacknowledged when its lease expired.
   */
  private final Map<FakeWorker, Set<Long>> endsBeforeLeaseExpiry = new HashMap<>();

  private final Map<FakeWorker, Map<Long, Ended>> seenEnds = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final RunHistory runHistory;
  private boolean executingLateCommand;
  private int maxFailuresPerTask = Integer.MAX_VALUE;

  public GuaranteeChecker(SimClock clock) {
    this.clock = clock;
    this.runHistory = new RunHistory(clock);
  }

  /** Returns all runs of tasks in true time. */
  public RunHistory runHistory() {
    return runHistory;
  }

  /**
   * Sets whether a worker is executing a command that was delayed on its way. Such a command may
   * start a task at any time after the cancellation of its job.
   */
  void setExecutingLateCommand(boolean isExecuting) {
    executingLateCommand = isExecuting;
  }

  public List<String> violations() {
    return violations;
  }

  public void setTeamLimit(String team, Resources limit) {
    limitByTeam.put(team, limit);
  }

  /** Sets after how many failures a task must not start again. */
  public void setMaxFailuresPerTask(int limit) {
    maxFailuresPerTask = limit;
  }

  public void onSubmitted(JobSpec job) {
    submittedJobs.put(job.id(), job);
  }

  public void onCancelAcknowledged(String job) {
    cancelledMillisByJob.putIfAbsent(job, clock.nowMillis());
  }

  /**
   * Checks that no task of a cancelled job runs on, though there has been no fault since {@code
   * calmSinceMillis}.
   */
  void checkCancelledJobs(long calmSinceMillis) {
    cancelledMillisByJob.forEach(
        (job, cancelledMillis) -> {
          long sinceMillis = Math.max(cancelledMillis, calmSinceMillis);
          if (clock.nowMillis() - sinceMillis > MAX_RUN_AFTER_CANCEL_MILLIS) {
            runningWorkersByTask.forEach((task, workers) -> checkNotRunning(job, task, workers));
          }
        });
  }

  private void checkNotRunning(String cancelledJob, TaskId task, Set<FakeWorker> workers) {
    if (task.job().equals(cancelledJob) && !workers.isEmpty() && tasksThatRanOn.add(task)) {
      addViolation(
          "UNREQUESTED_RUN",
          task,
          "runs on although its job was cancelled "
              + (clock.nowMillis() - cancelledMillisByJob.get(cancelledJob))
              + " ms ago");
    }
  }

  /** Records the start of an attempt, and checks that it was allowed after all earlier events. */
  void onStart(FakeWorker worker, TaskId task, int attempt) {
    runHistory.onStart(worker, task, attempt);
    JobSpec job = submittedJobs.get(task.job());
    if (job == null) {
      addViolation("UNREQUESTED_START", task, "its job was never submitted");
      return;
    }
    Set<FakeWorker> runningWorkers =
        runningWorkersByTask.computeIfAbsent(task, id -> new HashSet<>());
    if (!runningWorkers.isEmpty()) {
      addViolation(
          "DUPLICATE_RUN",
          task,
          "runs on " + runningWorkers.iterator().next().id + " and " + worker.id);
    }
    if (acknowledgedDoneTasks.contains(task)) {
      addViolation(
          "DUPLICATE_RUN",
          task,
          "attempt " + attempt + " starts after the successful end of the task was acknowledged");
    }
    runningWorkers.add(worker);
    firstStartMillisByJob.putIfAbsent(task.job(), clock.nowMillis());
    lastStartMillisByJob.put(task.job(), clock.nowMillis());
    for (int dependency : job.steps().get(task.step()).after()) {
      for (int index = 0; index < job.steps().get(dependency).count(); index++) {
        if (!doneTasks.contains(new TaskId(task.job(), task.occurrence(), dependency, index))) {
          addViolation("DEPENDENCY", task, "starts although step " + dependency + " is not done");
        }
      }
    }
    Long cancelledMillis = cancelledMillisByJob.get(task.job());
    if (cancelledMillis != null
        && !executingLateCommand
        && clock.nowMillis() - cancelledMillis > MAX_START_AFTER_CANCEL_MILLIS) {
      addViolation(
          "UNREQUESTED_START",
          task,
          "starts although its job was cancelled "
              + (clock.nowMillis() - cancelledMillis)
              + " ms ago");
    }
    if (failuresByTask.getOrDefault(task, 0) >= maxFailuresPerTask) {
      addViolation(
          "FAILURE_LIMIT", task, "starts after it failed " + failuresByTask.get(task) + " times");
    }
    Resources need = job.steps().get(task.step()).need();
    Resources usedByTeamNow = usedByTeam.merge(job.team(), need, Resources::plus);
    Resources limit = limitByTeam.get(job.team());
    // Exceeding the limit by 10 percent and one task is not counted as a violation.
    if (limit != null && usedByTeamNow.cpuMillis() > limit.cpuMillis() * 1.1 + need.cpuMillis()) {
      addViolation("TEAM_LIMIT", task, job.team() + " uses " + usedByTeamNow + " of " + limit);
    }
  }

  /** Records how an attempt on a worker has ended. */
  void onEnd(FakeWorker worker, TaskId task, int attempt, EndKind kind) {
    runHistory.onEnd(worker, task, attempt, Optional.of(kind));
    removeRunning(worker, task);
    if (kind == EndKind.DONE) {
      doneTasks.add(task);
    } else if (kind == EndKind.FAILED) {
      failuresByTask.merge(task, 1, Integer::sum);
    }
  }

  /** Records that an attempt no longer runs on a worker, which has crashed. */
  void onNoLongerRunning(FakeWorker worker, TaskId task, int attempt) {
    runHistory.onEnd(worker, task, attempt, Optional.empty());
    removeRunning(worker, task);
  }

  private void removeRunning(FakeWorker worker, TaskId task) {
    Set<FakeWorker> runningWorkers = runningWorkersByTask.getOrDefault(task, Set.of());
    if (runningWorkers.remove(worker)) {
      JobSpec job = submittedJobs.get(task.job());
      usedByTeam.merge(job.team(), job.steps().get(task.step()).need(), Resources::minus);
    }
  }

  /**
   * Records the unacknowledged ends on a worker whose lease has expired. Their later
   * acknowledgement does not forbid another run, since their tasks may have been started again in
   * the meantime.
   */
  void onLeaseExpired(FakeWorker worker, List<Ended> unacknowledgedEnds) {
    runHistory.onLeaseExpired(worker);
    Set<Long> endsBeforeExpiry =
        endsBeforeLeaseExpiry.computeIfAbsent(worker, key -> new HashSet<>());
    unacknowledgedEnds.forEach(end -> endsBeforeExpiry.add(end.sequence()));
  }

  /**
   * Records that the scheduler has acknowledged the ends on a worker up to {@code highestSequence},
   * and checks that no task whose successful end it acknowledges is running.
   */
  void onAcknowledged(FakeWorker worker, List<Ended> unacknowledgedEnds, long highestSequence) {
    Map<Long, Ended> seen = seenEnds.computeIfAbsent(worker, key -> new HashMap<>());
    for (Ended end : unacknowledgedEnds) {
      seen.put(end.sequence(), end);
      if (end.sequence() <= highestSequence) {
        runHistory.onAcknowledged(worker, end);
      }
      boolean endedBeforeLeaseExpiry =
          endsBeforeLeaseExpiry.getOrDefault(worker, Set.of()).contains(end.sequence());
      if (end.sequence() <= highestSequence
          && end.kind() == EndKind.DONE
          && !endedBeforeLeaseExpiry) {
        acknowledgedDoneTasks.add(end.task());
        if (runningWorkersByTask.getOrDefault(end.task(), Set.of()).size() > 0) {
          addViolation(
              "DUPLICATE_RUN", end.task(), "is running while its successful end is acknowledged");
        }
      }
    }
  }

  /** Returns whether a task has ended successfully or its job was cancelled. */
  boolean isSettled(TaskId task) {
    return doneTasks.contains(task) || cancelledMillisByJob.containsKey(task.job());
  }

  /** Returns when a worker first started a task of a job; empty if none has. */
  public Optional<Long> firstStartMillis(String job) {
    return Optional.ofNullable(firstStartMillisByJob.get(job));
  }

  /** Returns when a worker last started a task of a job; empty if none has. */
  public Optional<Long> lastStartMillis(String job) {
    return Optional.ofNullable(lastStartMillisByJob.get(job));
  }

  /** Returns whether all tasks of the first occurrence of a job have ended successfully. */
  public boolean allTasksDone(JobSpec job) {
    for (int step = 0; step < job.steps().size(); step++) {
      for (int index = 0; index < job.steps().get(step).count(); index++) {
        if (!doneTasks.contains(new TaskId(job.id(), 0, step, index))) {
          return false;
        }
      }
    }
    return true;
  }

  void addViolation(String rule, TaskId task, String detail) {
    violations.add(clock.nowMillis() + " " + rule + " " + task + ": " + detail);
  }

  void addViolation(String rule, String detail) {
    violations.add(clock.nowMillis() + " " + rule + ": " + detail);
  }
}
