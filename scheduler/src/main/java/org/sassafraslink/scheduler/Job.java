package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.cancellation.ClockTimes;
import org.sassafraslink.scheduler.queue.SizeClass;

/**
 * A live job: its state, its tasks, and which of its changes are committed.
 *
 * <p>The steps of a job on a schedule run several times; each run is an occurrence. Not
 * thread-safe: used only on the scheduler's thread.
 */
final class Job {
  final JobSpec spec;
  final TeamUsage teamUsage;

  /** Whether it has a step whose tasks run until it is cancelled. */
  final boolean isLongRunning;

  /** When this process first read the job, monotonic ms. */
  final long firstSeenMillis;

  /** The partition that holds its progress, its cancellation and its final state. */
  String decisionPartition;

  /** The version of its progress row; {@link RowStore#ABSENT} before the first commit. */
  long progressRowVersion = RowStore.ABSENT;

  JobState state = JobState.QUEUED;

  /** Whether it exceeded the job rate of its team when it was accepted; see {@link TeamRate}. */
  boolean isExcess;

  /**
   * Whether its need for workers goes before that of late and excess jobs: it is long-running, or
   * could still meet its objective when it was last ranked.
   */
  boolean justifiesMoreWorkers = true;

  /** Its size among the jobs of its queue; empty until it is first ranked as in time. */
  Optional<SizeClass> sizeClass = Optional.empty();

  /** Whether its submitter has requested its cancellation. */
  boolean cancelRequested;

  /**
   * The latest moment at which a transaction has shown that no cancellation of it was stored;
   * {@link JobFeed#readAt} may be later.
   */
  ClockTimes notCancelledAt = ClockTimes.NEVER;

  /**
   * Whether a worker is known to have accepted the start of one of its tasks. A start that may have
   * been accepted does not count: if its worker is lost, nobody runs the job.
   */
  boolean startAccepted;

  /** The value of {@link #lastChange} when the first start was accepted. */
  long changeBeforeBegin;

  /** When its final state was set, monotonic ms. */
  long finishedMillis;

  /** Whether its final state is committed. */
  boolean finalCommitted;

  /** The number of the newest change, counted from 1 since this process first read the job. */
  long lastChange;

  /** The number of the newest change that is committed. */
  long lastCommittedChange;

  /** Since when a change has been waiting for a commit, monotonic ms; 0 if none is. */
  long uncommittedSinceMillis;

  /** Workers with an end that they may be told to forget once a change of this job is committed. */
  private final Set<Worker> workersAwaitingCommit = new LinkedHashSet<>();

  /** The tasks by occurrence, step and index. */
  private final ImmutableList<ImmutableList<ImmutableList<Task>>> occurrences;

  private Job(JobSpec spec, TeamUsage team, long firstSeenMillis) {
    this.spec = spec;
    this.decisionPartition = JobRows.decisionPartition(spec.id());
    this.teamUsage = team;
    this.isLongRunning = spec.steps().stream().anyMatch(StepSpec::longRunning);
    this.firstSeenMillis = firstSeenMillis;
    ImmutableList.Builder<ImmutableList<ImmutableList<Task>>> builder = ImmutableList.builder();
    for (int occurrence = 0; occurrence < spec.occurrences(); occurrence++) {
      builder.add(createTasks(occurrence));
    }
    this.occurrences = builder.build();
  }

  /** Creates a queued job, none of whose tasks has started. */
  static Job create(JobSpec spec, TeamUsage team, long nowMillis) {
    return new Job(spec, team, nowMillis);
  }

  private ImmutableList<ImmutableList<Task>> createTasks(int occurrence) {
    ImmutableList.Builder<ImmutableList<Task>> steps = ImmutableList.builder();
    for (int stepNumber = 0; stepNumber < spec.steps().size(); stepNumber++) {
      StepSpec step = spec.steps().get(stepNumber);
      ImmutableList.Builder<Task> tasks = ImmutableList.builder();
      for (int index = 0; index < step.count(); index++) {
        tasks.add(new Task(this, new TaskId(spec.id(), occurrence, stepNumber, index), step));
      }
      steps.add(tasks.build());
    }
    return steps.build();
  }

  /** Returns the tasks by occurrence, step and index. */
  ImmutableList<ImmutableList<ImmutableList<Task>>> occurrences() {
    return occurrences;
  }

  /** Returns the task with this id, or null if the job has none. */
  Task task(TaskId id) {
    boolean exists =
        id.occurrence() >= 0
            && id.occurrence() < occurrences.size()
            && id.step() >= 0
            && id.step() < spec.steps().size()
            && id.index() >= 0
            && id.index() < spec.steps().get(id.step()).count();
    return exists ? occurrences.get(id.occurrence()).get(id.step()).get(id.index()) : null;
  }

  void forEachTask(Consumer<Task> action) {
    occurrences.forEach(steps -> steps.forEach(tasks -> tasks.forEach(action)));
  }

  /** Records a change that must be committed. */
  void recordChange(long nowMillis) {
    lastChange++;
    if (uncommittedSinceMillis == 0) {
      uncommittedSinceMillis = nowMillis;
    }
  }

  boolean hasUncommittedChange() {
    return lastChange > lastCommittedChange;
  }

  /** Records that a worker's end is acknowledged only after a change of this job is committed. */
  void addWorkerAwaitingCommit(Worker worker) {
    workersAwaitingCommit.add(worker);
  }

  /**
   * Advances {@link Worker#lastCommittedEnd} of the workers that waited for a commit of this job.
   * Only these can advance; visiting the whole fleet for each job would cost the product of both.
   */
  void advanceWorkersAwaitingCommit() {
    workersAwaitingCommit.removeIf(
        worker -> {
          worker.advanceLastCommittedEnd();
          return !worker.awaitsCommitOf(this);
        });
  }

  /**
   * Returns whether a task has ever been assigned to a worker. Also true for a job that was
   * cancelled while it was queued.
   */
  boolean hasStarted() {
    return state != JobState.QUEUED;
  }

  /** Returns whether a task has succeeded, failed or had a checkpoint. */
  boolean hasTaskKnownToHaveRun() {
    return hasTask(
        task -> task.phase == TaskPhase.DONE || task.failures > 0 || !task.checkpoint.isEmpty());
  }

  /**
   * Returns whether an earlier scheduler may have sent a start about which its worker has neither
   * reported nor failed to respond yet.
   */
  boolean hasUncheckedStart() {
    return hasTask(
        task ->
            task.restored
                && task.phase.mayBeKnownToWorker()
                && !task.worker.hasReported
                && task.worker.consecutiveCallFailures == 0);
  }

  private boolean hasTask(Predicate<Task> condition) {
    return occurrences.stream().flatMap(List::stream).flatMap(List::stream).anyMatch(condition);
  }

  /** Returns whether none of its tasks has an attempt that may occupy a worker. */
  boolean hasNoActiveAttempt() {
    return !hasTask(task -> task.phase.occupiesWorker());
  }

  /**
   * Records the newest checkpoint of a task. That of any member of a gang is valid for the whole
   * gang, so it becomes that of all its members, also of one whose worker is lost.
   */
  void recordCheckpoint(Task task, String checkpoint) {
    if (task.step.gang()) {
      tasksOfStep(task).forEach(member -> member.checkpoint = checkpoint);
    } else {
      task.checkpoint = checkpoint;
    }
  }

  /** Returns the tasks of the same occurrence and step. */
  ImmutableList<Task> tasksOfStep(Task task) {
    return occurrences.get(task.id.occurrence()).get(task.id.step());
  }

  /** Returns whether all tasks have ended successfully. */
  boolean allTasksDone() {
    return occurrences.stream()
        .flatMap(List::stream)
        .flatMap(List::stream)
        .allMatch(task -> task.phase == TaskPhase.DONE);
  }

  /** Returns whether an occurrence is due and all steps on which its step depends are done. */
  boolean isStepReady(int occurrence, int stepNumber, long wallMillis) {
    if (spec.dueMillis(occurrence) > wallMillis) {
      return false;
    }
    ImmutableList<ImmutableList<Task>> steps = occurrences.get(occurrence);
    for (int earlierStep : spec.steps().get(stepNumber).after()) {
      for (Task task : steps.get(earlierStep)) {
        if (task.phase != TaskPhase.DONE) {
          return false;
        }
      }
    }
    return true;
  }

  /** Returns the waiting tasks that may start now. */
  List<Task> startableTasks(long nowMillis, long wallMillis) {
    List<Task> result = new ArrayList<>();
    for (int occurrence = 0; occurrence < occurrences.size(); occurrence++) {
      ImmutableList<ImmutableList<Task>> steps = occurrences.get(occurrence);
      for (int stepNumber = 0; stepNumber < steps.size(); stepNumber++) {
        if (isStepReady(occurrence, stepNumber, wallMillis)) {
          for (Task task : steps.get(stepNumber)) {
            if (task.phase == TaskPhase.WAITING && nowMillis >= task.orphanEndMillis) {
              result.add(task);
            }
          }
        }
      }
    }
    return result;
  }
}
