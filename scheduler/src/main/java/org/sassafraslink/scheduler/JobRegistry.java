package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.TreeMap;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Holds the live jobs and updates their state from stored rows and from the reports of workers.
 *
 * <p>A job is live from the time its submission is read until its final state is committed and none
 * of its attempts occupies a worker. Not thread-safe: used only on the scheduler's thread.
 */
final class JobRegistry implements WorkerReportReconciler.Listener, JobProgressWriter.Listener {
  /**
   * How long a job may have begun before its row says so, in ms: callers may see counts of pending
   * jobs that are this old.
   */
  private static final long MAX_UNRECORDED_BEGIN_MILLIS = 2_000;

  /** A job that began at {@code sinceMillis}, monotonic ms. */
  private record BegunJob(Job job, long sinceMillis) {}

  private final FleetClock clock;
  private final EventLog log;
  private final LongRunningTaskLog longRunningLog;
  private final RowFormats rowFormats;
  private final WorkerRegistry workers;
  private final PublishedConfig config;
  private final FinishedJobCleaner finishedJobCleaner;
  private final Quarantine quarantine;
  private final DurationModel durationModel;
  private final DemandRate demandRate;
  private final InheritedLeaseEnds inheritedLeaseEnds;
  private final Runnable onLeaseCheckFailed;
  private final TeamRate teamRate = new TeamRate();
  private final Map<String, Job> jobsById = new LinkedHashMap<>();
  private final Map<String, TeamUsage> usageByTeam = new TreeMap<>();

  /** The jobs whose rows may not say yet that they have begun, in the order of their beginnings. */
  private final Queue<BegunJob> begunJobs = new ArrayDeque<>();

  private JobProgressWriter progressWriter;
  private TaskCommandSender commandSender;
  private boolean placementRequested;

  JobRegistry(
      FleetClock clock,
      EventLog log,
      RowFormats rowFormats,
      WorkerRegistry workers,
      PublishedConfig config,
      FinishedJobCleaner finishedJobCleaner,
      Quarantine quarantine,
      DurationModel durationModel,
      DemandRate demandRate,
      InheritedLeaseEnds inheritedLeaseEnds,
      Runnable onLeaseCheckFailed) {
    this.clock = clock;
    this.log = log;
    this.longRunningLog = new LongRunningTaskLog(log);
    this.rowFormats = rowFormats;
    this.workers = workers;
    this.config = config;
    this.finishedJobCleaner = finishedJobCleaner;
    this.quarantine = quarantine;
    this.durationModel = durationModel;
    this.demandRate = demandRate;
    this.inheritedLeaseEnds = inheritedLeaseEnds;
    this.onLeaseCheckFailed = onLeaseCheckFailed;
  }

  /**
   * Sets the writer and the sender that this registry calls. They cannot be constructor arguments,
   * since they call this registry as their listener.
   */
  void setWriterAndSender(
      JobProgressWriter jobProgressWriter, TaskCommandSender taskCommandSender) {
    progressWriter = jobProgressWriter;
    commandSender = taskCommandSender;
  }

  void reset(long takeoverMillis) {
    longRunningLog.reset(takeoverMillis);
    jobsById.clear();
    begunJobs.clear();
    usageByTeam.clear();
    teamRate.reset();
    demandRate.reset();
  }

  Collection<Job> all() {
    return jobsById.values();
  }

  /** Returns the live job with this id, or null if there is none. */
  Job findJob(String id) {
    return jobsById.get(id);
  }

  /** Returns whether a placement round has been requested, and clears the request. */
  boolean consumePlacementRequest() {
    boolean wasRequested = placementRequested;
    placementRequested = false;
    return wasRequested;
  }

  /** Requests a placement round after a change outside this registry, such as a new worker. */
  void requestPlacement() {
    placementRequested = true;
  }

  /**
   * Restores all jobs from their rows: adds the unfinished ones in the order of their acceptance,
   * and passes the finished ones to the {@link FinishedJobCleaner}.
   *
   * @param rows may hold several versions of a row, in any order, of which the newest counts
   */
  void restore(ImmutableList<StoredRow> rows) {
    Map<String, Map<RowKey, StoredRow>> rowsByJobId = new LinkedHashMap<>();
    for (StoredRow row : rows) {
      rowsByJobId
          .computeIfAbsent(JobRows.jobIdOf(row.key()), id -> new LinkedHashMap<>())
          .merge(row.key(), row, JobRegistry::newer);
    }
    Map<JobSpec, ImmutableList<StoredRow>> rowsByLiveJob = new LinkedHashMap<>();
    rowsByJobId.forEach(
        (id, rowsOfJob) -> {
          ImmutableList<StoredRow> jobRows = ImmutableList.copyOf(rowsOfJob.values());
          Optional<StoredRow> submission = JobRows.findRow(jobRows, Kind.SUBMISSION);
          Optional<JobState> finalState = JobRows.jobState(jobRows).filter(JobState::isFinal);
          Optional<StoredRow> finalRow = JobRows.findRow(jobRows, Kind.FINAL);
          Optional<StoredRow> endedRow = JobRows.findRow(jobRows, Kind.ENDED);
          if (endedRow.map(JobRows::isCancelledId).orElse(false)) {
            finishedJobCleaner.addCancelledId(id, endedRow.get());
          } else if (finalRow.isPresent() || endedRow.isPresent()) {
            String decisionPartition =
                finalRow
                    .map(row -> row.key().partition())
                    .orElseGet(() -> JobRows.decisionPartition(id));
            finalState.ifPresent(
                state -> finishedJobCleaner.add(id, state, decisionPartition, endedRow));
          } else if (submission.isPresent()) {
            decodeSubmission(id, submission.get())
                .ifPresent(spec -> rowsByLiveJob.put(spec, jobRows));
          }
        });
    rowsByLiveJob.entrySet().stream()
        .sorted(Comparator.comparingLong(entry -> entry.getKey().acceptedMillis()))
        .forEach(
            entry -> {
              ImmutableList<StoredRow> jobRows = entry.getValue();
              StoredRow submission = JobRows.findRow(jobRows, Kind.SUBMISSION).orElseThrow();
              restore(addJob(entry.getKey(), submission), jobRows);
            });
  }

  private static StoredRow newer(StoredRow row, StoredRow other) {
    return other.version() >= row.version() ? other : row;
  }

  private void restore(Job job, ImmutableList<StoredRow> rows) {
    JobRows.findRow(rows, Kind.PROGRESS).ifPresent(row -> restoreProgress(job, row));
    JobRows.findRow(rows, Kind.CANCELLATION)
        .ifPresent(row -> cancel(job, "restore", row.version()));
  }

  private void restoreProgress(Job job, StoredRow progress) {
    job.progressRowVersion = progress.version();
    for (ProgressRow.StoredAttempt attempt : ProgressRow.decodeInto(progress.value(), job)) {
      Worker worker = workers.findOrAddFromJobRow(attempt.workerId(), attempt.workerIncarnation());
      Task task = attempt.task();
      task.assign(worker, task.attempt, "");
      task.phase = TaskPhase.ORDERED;
      task.restored = true;
      task.assignedIncarnation = attempt.workerIncarnation();
      task.movedToRestartedWorker = worker.entry.incarnation() != attempt.workerIncarnation();
      if (!task.movedToRestartedWorker) {
        restoreInheritedLeaseEnd(worker, attempt.inheritedLeaseEnd());
      }
      task.startDoubt = workers.doubtAboutPredecessor();
    }
    job.forEachTask(longRunningLog::recordRestored);
    if (job.allTasksDone()) {
      finish(job, JobState.COMPLETED);
    }
  }

  private void restoreInheritedLeaseEnd(Worker worker, OptionalLong stored) {
    if (stored.isPresent()) {
      inheritedLeaseEnds
          .fromStore(stored.getAsLong(), clock.monotonicMillis())
          .ifPresent(worker::limitInheritedLeases);
    }
  }

  /**
   * Adds the job of a new submission, cancels the job of a cancellation, or adds a cancelled id.
   * Other rows are ignored, since the scheduler itself wrote them.
   */
  void applyRow(StoredRow row) {
    String id = JobRows.jobIdOf(row.key());
    Job job = jobsById.get(id);
    Optional<Kind> kind = JobRows.kindOf(row.key());
    if (kind.equals(Optional.of(Kind.SUBMISSION)) && job == null) {
      // A full read of the rows may still find the submission of a job that has finished.
      if (!finishedJobCleaner.isOfFinishedJob(id, row)) {
        finishedJobCleaner.remove(id);
        decodeSubmission(id, row).ifPresent(spec -> addJob(spec, row));
      }
    } else if (kind.equals(Optional.of(Kind.CANCELLATION)) && job != null) {
      cancel(job, "feed", row.version());
    } else if (kind.equals(Optional.of(Kind.ENDED)) && JobRows.isCancelledId(row)) {
      finishedJobCleaner.addCancelledId(id, row);
    }
  }

  private Optional<JobSpec> decodeSubmission(String id, StoredRow submission) {
    Either<Failure, JobSpec> spec = rowFormats.decodeJob(id, submission.value());
    if (spec.isLeft()) {
      log.log("job.unreadable", "job", id, "failure", spec.getLeft().detail());
    }
    return spec.toJavaOptional();
  }

  private Job addJob(JobSpec spec, StoredRow submission) {
    TeamUsage teamUsage = usageByTeam.computeIfAbsent(spec.team(), TeamUsage::new);
    Job job = Job.create(spec, teamUsage, clock.monotonicMillis());
    if (!rowFormats.hasDecisionPartition(submission.value())) {
      job.decisionPartition = JobRows.MAIN_PARTITION;
    }
    job.isExcess =
        teamRate.isExcess(spec.team(), spec.acceptedMillis(), config.weightOf(spec.team()));
    jobsById.put(spec.id(), job);
    placementRequested = true;
    long ageMillis = clock.wallMillis() - spec.acceptedMillis();
    if (!job.isExcess && !spec.scheduled()) {
      String pool = config.queueOf(spec).pool();
      demandRate.addArrival(pool, job, ageMillis, clock.monotonicMillis());
    }
    log.log(
        "job.seen",
        "job",
        spec.id(),
        "queue",
        spec.queue(),
        "team",
        spec.team(),
        "excess",
        job.isExcess,
        "lasting",
        spec.steps().stream().filter(StepSpec::longRunning).count(),
        "backfill",
        spec.steps().stream().filter(StepSpec::backfill).count(),
        "serving",
        spec.steps().stream().filter(StepSpec::serving).count(),
        "sinceAccepted",
        ageMillis);
    return job;
  }

  private void cancel(Job job, String source, long rowVersion) {
    if (job.cancelRequested || (job.state.isFinal() && job.finalCommitted)) {
      return;
    }
    log.log(
        "job.cancellation_found",
        "job",
        job.spec.id(),
        "source",
        source,
        "version",
        rowVersion,
        "state",
        job.state);
    job.cancelRequested = true;
    finish(job, JobState.CANCELLED);
  }

  /** Sets the final state of a job, releases its assigned tasks and stops its started attempts. */
  private void finish(Job job, JobState state) {
    job.state = state;
    job.finishedMillis = clock.monotonicMillis();
    progressWriter.recordChange(job, true);
    job.forEachTask(
        task -> {
          if (task.phase == TaskPhase.ASSIGNED) {
            release(task, TaskPhase.WAITING, "job_" + state);
          } else {
            commandSender.stop(task, "job_" + state);
          }
        });
    log.log(
        "job.finished",
        "job",
        job.spec.id(),
        "state",
        state,
        "sinceAccepted",
        clock.wallMillis() - job.spec.acceptedMillis());
  }

  /** Ends the current attempt of a task and sets the task's next phase, waiting or done. */
  void release(Task task, TaskPhase nextPhase, String reason) {
    if (nextPhase == TaskPhase.WAITING) {
      log.log(
          "task.released",
          "job",
          task.id.job(),
          "task",
          task.id,
          "attempt",
          task.attempt,
          "worker",
          task.worker == null ? "" : task.worker.entry.id(),
          "phase",
          task.phase,
          "reason",
          reason);
    }
    longRunningLog.recordRelease(task, nextPhase, reason, clock.monotonicMillis());
    task.startAfterChange = 0;
    task.release(nextPhase, clock.monotonicMillis());
    placementRequested = true;
    if (task.step.longRunning() && nextPhase == TaskPhase.WAITING) {
      // The next scheduler would wait for the leases of its worker again.
      progressWriter.recordChange(task.job, false);
    }
    removeIfFinished(task.job);
  }

  private void removeIfFinished(Job job) {
    if (job.finalCommitted && job.hasNoActiveAttempt()) {
      jobsById.remove(job.spec.id(), job);
    }
  }

  /** Ends the attempts of all tasks on a worker that no longer runs any of them. */
  void releaseTasksOf(Worker worker, String reason) {
    for (Task task : worker.tasks()) {
      release(task, TaskPhase.WAITING, reason);
    }
  }

  /**
   * Ends the attempts of the tasks on a worker whose lease has expired, other than those that a
   * later incarnation of the worker may run.
   *
   * @return how many attempts have ended
   */
  int releaseTasksNotInDoubt(Worker worker, String reason, long nowMillis) {
    int released = 0;
    for (Task task : worker.tasks()) {
      workers.prolongDoubt(task, worker);
      boolean isInDoubt =
          task.startDoubt.mayRun(nowMillis)
              && (task.movedToRestartedWorker || workers.hasLaterIncarnation(worker));
      if (!isInDoubt) {
        release(task, TaskPhase.WAITING, reason);
        released++;
      }
    }
    return released;
  }

  @Override
  public void onOrphan(Task task, long endMillis) {
    task.orphanEndMillis = endMillis;
    if (task.phase == TaskPhase.ASSIGNED) {
      task.membersOfAttempt().stream()
          .filter(member -> member.phase == TaskPhase.ASSIGNED)
          .forEach(member -> release(member, TaskPhase.WAITING, "orphan"));
    }
  }

  @Override
  public void onStarted(Task task) {
    task.phase = TaskPhase.RUNNING;
    recordBegin(task.job);
    task.restored = false;
    task.confirmedMillis = clock.monotonicMillis();
    log.log(
        "task.started",
        "job",
        task.id.job(),
        "task",
        task.id,
        "attempt",
        task.attempt,
        "worker",
        task.worker.entry.id(),
        "sinceAccepted",
        clock.wallMillis() - task.job.spec.acceptedMillis());
    longRunningLog.recordStart(task, clock.monotonicMillis());
  }

  /** Records that a worker has accepted a start of a job, in its row only after some time. */
  private void recordBegin(Job job) {
    if (!job.startAccepted) {
      job.startAccepted = true;
      job.changeBeforeBegin = job.lastChange;
      begunJobs.add(new BegunJob(job, clock.monotonicMillis()));
    }
  }

  /**
   * Has the rows of jobs written that began {@link #MAX_UNRECORDED_BEGIN_MILLIS} ago and have not
   * changed since, so that the next scheduler knows that they have begun also if their workers do
   * not respond.
   */
  void recordBegunJobsIfDue(long nowMillis) {
    while (!begunJobs.isEmpty()
        && nowMillis - begunJobs.peek().sinceMillis() >= MAX_UNRECORDED_BEGIN_MILLIS) {
      Job job = begunJobs.poll().job();
      if (job.lastChange == job.changeBeforeBegin && !job.state.isFinal()) {
        progressWriter.recordChange(job, false);
      }
    }
  }

  /** Has the row of a job written, which shows whether its cancellation has been stored. */
  void checkCancellation(Job job) {
    if (!job.hasUncommittedChange()) {
      log.log("job.cancellation_unknown", "job", job.spec.id());
      progressWriter.recordChange(job, true);
    }
  }

  @Override
  public void onRunningAfterRestart(Task task) {
    task.movedToRestartedWorker = false;
    task.assignedIncarnation = task.worker.entry.incarnation();
    if (!task.job.state.isFinal()) {
      // The next scheduler needs to know on which incarnation the attempt runs.
      progressWriter.recordChange(task.job, false);
    }
  }

  /** Releases the tasks on a worker whose start has not been sent. */
  void releaseUnsentTasksOf(Worker worker, String reason) {
    for (Task task : worker.tasks()) {
      if (!task.phase.mayBeKnownToWorker()) {
        release(task, TaskPhase.WAITING, reason);
      }
    }
  }

  @Override
  public void onUnreportedStart(Task task, String reason) {
    // The start may still arrive, and the worker rejects it only after a stop.
    commandSender.stop(task, reason);
  }

  @Override
  public void onOutcomeUnknown(Task task) {
    release(task, TaskPhase.WAITING, "not_listed");
  }

  @Override
  public void onDone(Task task, long runMillis) {
    // The duration of an attempt is known only if its start was confirmed.
    if (task.confirmedMillis > 0) {
      durationModel.recordDuration(task.job.spec.queue(), task.step, runMillis);
      task.ranMillis = runMillis;
    }
    recordBegin(task.job);
    quarantine.recordEnd(task.worker, task, false, clock.monotonicMillis());
    release(task, TaskPhase.DONE, "done");
    if (task.job.state.isFinal()) {
      return;
    }
    if (task.job.allTasksDone()) {
      finish(task.job, JobState.COMPLETED);
    } else {
      progressWriter.recordChange(task.job, false);
    }
  }

  @Override
  public void onFailed(Task task) {
    recordBegin(task.job);
    quarantine.recordEnd(task.worker, task, true, clock.monotonicMillis());
    task.failures++;
    task.failedWorkerIds.add(task.worker.entry.id());
    release(task, TaskPhase.WAITING, "failed");
    if (task.job.state.isFinal()) {
      return;
    }
    int maxFailures = config.queueOf(task.job.spec).maxFailures();
    if (!task.step.longRunning() && task.failures >= maxFailures) {
      finish(task.job, JobState.FAILED);
    } else {
      progressWriter.recordChange(task.job, false);
    }
  }

  @Override
  public void onInterrupted(Task task, String reason) {
    recordBegin(task.job);
    release(task, TaskPhase.WAITING, reason);
    if (!task.job.state.isFinal()) {
      progressWriter.recordChange(task.job, false);
    }
  }

  @Override
  public void onCommitted(Job job) {
    if (job.finalCommitted) {
      finishedJobCleaner.add(job.spec.id(), job.state, job.decisionPartition, Optional.empty());
      log.log(
          "job.shown",
          "job",
          job.spec.id(),
          "state",
          job.state,
          "sinceFinished",
          clock.monotonicMillis() - job.finishedMillis);
      removeIfFinished(job);
    } else if (!job.state.isFinal()) {
      job.forEachTask(
          task -> {
            if (task.isStartCommitted()) {
              task.startAfterChange = 0;
              commandSender.start(task);
            }
          });
    }
    job.advanceWorkersAwaitingCommit();
  }

  @Override
  public void onCancellationFound(Job job) {
    cancel(job, "conflict", RowStore.ABSENT);
  }

  @Override
  public void onLeaseCheckFailed() {
    onLeaseCheckFailed.run();
  }
}
