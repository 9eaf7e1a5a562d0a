package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.api.platform.WorkerControl;
import org.sassafraslink.api.platform.WorkerControl.Resources;
import org.sassafraslink.api.platform.WorkerControl.Start;
import org.sassafraslink.api.platform.WorkerControl.Task;
import org.sassafraslink.api.platform.WorkerControl.Worker;
import org.sassafraslink.daemon.process.LeaderElector.Fence;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.process.Job;
import org.sassafraslink.rules.process.Job.State;
import org.sassafraslink.rules.process.JobPlacement;
import org.sassafraslink.rules.process.QuotaRow;
import org.sassafraslink.rules.process.WorkerQuarantine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leadership task that places jobs on workers and records how their tasks end.
 *
 * <p>A job is placed by one fenced transaction that also takes a permit of its team's upper limit.
 * Only then is the task started on the worker. If the placer stops in between, its successor finds
 * the job's row and starts the task again, which is idempotent for the same epoch.
 */
final class Placer {
  private static final Logger LOG = LoggerFactory.getLogger("placer");
  private static final long TASK_LEASE_MILLIS = 10_000;

  /** Number of starts after which the failure of a rerunnable job is final. */
  private static final long MAX_JOB_STARTS = 3;

  /**
   * The dependencies of a placer.
   *
   * @param activeConfig supplies the configuration to apply; empty if it was not verified within
   *     the lease
   */
  record Dependencies(
      Platform platform,
      LeaderElector elector,
      Clock clock,
      Supplier<Optional<ActiveConfig>> activeConfig) {}

  /**
   * The inputs of one round.
   *
   * @param fence fences the transactions of the round
   * @param tasks the tasks that the platform reports, by job id
   * @param jobs the jobs that have not ended, with the versions of their rows
   */
  private record Inputs(
      Fence fence,
      FleetConfig config,
      long configVersion,
      ImmutableList<Worker> workers,
      ImmutableMap<String, Task> tasks,
      List<Versioned<Job>> jobs) {}

  private final Dependencies dependencies;
  private WorkerQuarantine quarantine = WorkerQuarantine.create();
  private volatile ImmutableMap<String, Integer> jobsLackingPermits = ImmutableMap.of();

  private Placer(Dependencies dependencies) {
    this.dependencies = dependencies;
  }

  static Placer create(Dependencies dependencies) {
    return new Placer(dependencies);
  }

  /**
   * Returns the number of waiting jobs, by team, that have a suitable worker but could not be
   * placed, normally for lack of a permit. The number is that of the last round that this process
   * ran as the leader.
   */
  ImmutableMap<String, Integer> jobsLackingPermits() {
    return jobsLackingPermits;
  }

  /**
   * Updates the placed jobs from the state of their tasks and places the waiting ones. Does nothing
   * unless this process is the leader and can read the jobs, workers and tasks.
   */
  void runIfLeader() {
    Optional<ActiveConfig> active = dependencies.activeConfig().get();
    if (active.isEmpty()) {
      return;
    }
    dependencies
        .elector()
        .acquireOrRenew()
        .flatMap(fence -> readInputs(fence, active.get()))
        .ifPresent(this::updateJobs);
  }

  private Optional<Inputs> readInputs(Fence fence, ActiveConfig active) {
    WorkerControl control = dependencies.platform().workers();
    Either<PlatformFailure, ImmutableList<Row>> rows = table().scan(Job.KEY_PREFIX);
    Either<PlatformFailure, ImmutableList<Worker>> workers = control.listWorkers();
    Either<PlatformFailure, ImmutableList<Task>> tasks = control.listTasks();
    if (rows.isLeft() || workers.isLeft() || tasks.isLeft()) {
      return Optional.empty();
    }
    List<Versioned<Job>> jobs =
        rows.get().stream()
            .map(row -> new Versioned<>(Json.readTrusted(row.value(), Job.class), row.version()))
            .filter(job -> !job.value().state().isFinal())
            .toList();
    Map<String, Task> taskByJob = new LinkedHashMap<>();
    tasks.get().forEach(task -> taskByJob.put(task.job(), task));
    return Optional.of(
        new Inputs(
            fence,
            active.config(),
            active.version(),
            workers.get(),
            ImmutableMap.copyOf(taskByJob),
            jobs));
  }

  private void updateJobs(Inputs inputs) {
    Map<String, Resources> usedByWorker = new HashMap<>();
    for (Versioned<Job> job : inputs.jobs()) {
      if (job.value().state() != State.WAITING) {
        updateFromTask(inputs, job);
        addUsage(usedByWorker, job.value());
      }
    }
    Map<String, Integer> jobsLackingPermitsByTeam = new HashMap<>();
    inputs.jobs().stream()
        .filter(job -> job.value().state() == State.WAITING)
        .sorted((left, right) -> JobPlacement.waitingOrder().compare(left.value(), right.value()))
        .filter(job -> tryPlaceAndReportMissingPermit(inputs, job, usedByWorker))
        .forEach(job -> jobsLackingPermitsByTeam.merge(job.value().team(), 1, Integer::sum));
    jobsLackingPermits = ImmutableMap.copyOf(jobsLackingPermitsByTeam);
  }

  private static void addUsage(Map<String, Resources> usedByWorker, Job job) {
    Resources none = new Resources(0, 0, 0);
    String worker = job.worker().orElse("");
    Resources before = usedByWorker.getOrDefault(worker, none);
    // Resources has no addition; subtracting the negated need adds it.
    usedByWorker.put(worker, before.minus(none.minus(job.need())));
  }

  /** Records the end of a placed job if its task has ended; otherwise renews or stops the task. */
  private void updateFromTask(Inputs inputs, Versioned<Job> row) {
    Job job = row.value();
    Task task = inputs.tasks().get(job.id());
    boolean isReported = task != null && task.epoch() == job.epoch();
    if (!isReported) {
      // The start was not sent, or its outcome is unknown. It is idempotent for the same epoch.
      startOrRenewTask(job);
      return;
    }
    switch (task.state()) {
      case RUNNING -> {
        if (job.state() == State.CANCELLING) {
          stopTask(inputs, row);
        } else {
          startOrRenewTask(job);
        }
      }
      case DONE -> commitTaskEnd(inputs, row, job.end(State.DONE, ""), false);
      case FAILED -> commitTaskEnd(inputs, row, afterFailure(job), true);
      case STOPPED -> commitTaskEnd(inputs, row, afterStop(job), false);
    }
  }

  private static Job afterFailure(Job job) {
    return job.rerunnable() && job.epoch() < MAX_JOB_STARTS
        ? job.requeue("it failed; it waits to run again")
        : job.end(State.FAILED, "the task failed");
  }

  private static Job afterStop(Job job) {
    if (job.state() == State.CANCELLING) {
      return job.end(State.CANCELLED, "cancelled while it ran");
    }
    return job.rerunnable()
        ? job.requeue("its lease lapsed; it waits to run again")
        : job.end(State.FAILED, "its lease lapsed; it may have run in part");
  }

  /** Starts the task of a placed job, or renews the task's lease if it was already started. */
  private void startOrRenewTask(Job job) {
    var unused =
        dependencies
            .platform()
            .workers()
            .start(
                new Start(
                    job.id(),
                    job.epoch(),
                    job.worker().orElseThrow(),
                    job.need(),
                    job.runMillis(),
                    TASK_LEASE_MILLIS));
  }

  private void stopTask(Inputs inputs, Versioned<Job> row) {
    Job job = row.value();
    dependencies
        .platform()
        .workers()
        .stop(job.id(), job.epoch())
        .forEach(
            task ->
                commitTaskEnd(
                    inputs,
                    row,
                    task.state() == WorkerControl.TaskState.DONE
                        ? job.end(State.DONE, "it ended before it could be cancelled")
                        : job.end(State.CANCELLED, "cancelled while it ran"),
                    false));
  }

  /**
   * Replaces a placed job by {@code next}, which has ended or waits again, and releases the job's
   * permit.
   *
   * @param failed whether the task failed, which may put the worker in quarantine
   */
  private void commitTaskEnd(Inputs inputs, Versioned<Job> row, Job next, boolean failed) {
    long nowMillis = dependencies.clock().monotonicMillis();
    quarantine = quarantine.recordOutcome(row.value().worker().orElse(""), failed, nowMillis);
    commitWithQuotaRow(
        inputs,
        row.value().team(),
        quotaRow ->
            Optional.of(
                replaceJob(row, next)
                    .check(QuotaRow.key(next.team()), quotaRow.version())
                    .put(
                        QuotaRow.key(next.team()),
                        Json.write(quotaRow.value().addRunningJobs(-1)))));
  }

  /**
   * Tries to place a waiting job; ends the job if it can never run.
   *
   * @return true if a worker is free but the placement was not confirmed, normally because the
   *     team's upper limit has no free permit
   */
  private boolean tryPlaceAndReportMissingPermit(
      Inputs inputs, Versioned<Job> row, Map<String, Resources> usedByWorker) {
    Job job = row.value();
    Team team = inputs.config().teams().get(job.team());
    if (team == null || JobPlacement.isNeverRunnable(inputs.workers(), job.need())) {
      String reason = team == null ? "its team is gone" : "no worker is large enough";
      boolean unused = inputs.fence().commit(replaceJob(row, job.end(State.FAILED, reason)));
      return false;
    }
    long nowMillis = dependencies.clock().monotonicMillis();
    Optional<Worker> worker =
        JobPlacement.chooseWorker(
            inputs.workers(),
            ImmutableMap.copyOf(usedByWorker),
            quarantine.quarantinedWorkers(nowMillis),
            job.need());
    if (worker.isEmpty()) {
      return false;
    }
    Job placed = job.place(worker.get().id());
    boolean committed =
        commitWithQuotaRow(
            inputs,
            job.team(),
            quotaRow -> {
              QuotaRow currentQuota =
                  quotaRow.value().withLimit(team.limit(), inputs.configVersion());
              return currentQuota.hasPermitForJob()
                  ? Optional.of(
                      replaceJob(row, placed)
                          .check(QuotaRow.key(job.team()), quotaRow.version())
                          .put(
                              QuotaRow.key(job.team()), Json.write(currentQuota.addRunningJobs(1))))
                  : Optional.empty();
            });
    if (committed) {
      LOG.info("Starting job {} on worker {}.", job.id(), worker.get().id());
      quarantine = quarantine.recordStart(worker.get().id(), nowMillis);
      addUsage(usedByWorker, placed);
      startOrRenewTask(placed);
    }
    return !committed;
  }

  private static Transaction replaceJob(Versioned<Job> row, Job next) {
    return Transaction.compareAndSet(Job.key(next.id()), row.version(), Json.write(next));
  }

  /** Creates a transaction from a team's quota row, or empty if nothing should be written. */
  @FunctionalInterface
  private interface QuotaRowChange {
    Optional<Transaction> toTransaction(Versioned<QuotaRow> row);
  }

  /**
   * Reads the quota row of {@code team} and commits the transaction that {@code change} creates
   * from it. Returns whether a transaction was committed.
   */
  private boolean commitWithQuotaRow(Inputs inputs, String team, QuotaRowChange change) {
    Either<PlatformFailure, Optional<Row>> read = table().read(QuotaRow.key(team));
    if (read.isLeft()) {
      return false;
    }
    Versioned<QuotaRow> row =
        read.get()
            .map(
                found ->
                    new Versioned<>(
                        Json.readTrusted(found.value(), QuotaRow.class), found.version()))
            .orElse(new Versioned<>(QuotaRow.create(team, 0, 0), Row.ABSENT));
    return change.toTransaction(row).filter(inputs.fence()::commit).isPresent();
  }

  private TableService table() {
    return dependencies.platform().table();
  }
}
