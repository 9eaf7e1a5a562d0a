package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.AdvicePort;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.MachinePort;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.api.fleet.WorkerPort;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Schedules all jobs while this process holds the scheduling lease.
 *
 * <p>Each entry VM has one; those without the lease only wait for it. All methods are called on one
 * thread, on which the ports' answers also arrive.
 */
public final class Scheduler {
  /** Workers' clocks may be this much slow; leases of earlier schedulers are waited for longer. */
  private static final double CLOCK_MARGIN = 1.04;

  /** Added to the expiry of leases that earlier schedulers granted, in ms. */
  private static final long EARLIER_LEASE_SLACK_MILLIS = 300;

  /** Bound on an order to the platform about a VM, in ms. */
  private static final long ORDER_TIMEOUT_MILLIS = 900;

  /** Pause between two rounds of placement, in ms, so that events that come together share one. */
  private static final long PLACEMENT_MILLIS = 5;

  /** A round of placement is made at least this often, in ms. */
  private static final long PLACEMENT_MAX_MILLIS = 100;

  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerSettings settings;
  private final RowFormats formats;
  private final SchedulerLease lease;
  private final WorkerRegistry workers;
  private final JobFeed feed;
  private final Committer committer;
  private final Orders orders;
  private final WorkerHolds holds;
  private final MachineList machineList;
  private final Maintenance maintenance;
  private final PoolSizer poolSizer;
  private final PendingCounts pendingCounts;
  private final FinalRows finalRows;
  private final AdviceDesk advice;
  private final Quarantine quarantine;
  private final Placement placement;
  private final RunLists runLists;
  private final WaveStatus waveStatus;
  private final QueueBook queues = new QueueBook();
  private final TeamRate teamRate = new TeamRate();
  private final DurationModel durations = new DurationModel();

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, TeamUse> teams = new TreeMap<>();
  private ImmutableList<Wave> waves = ImmutableList.of();
  private ImmutableList<StoredRow> loadedRows = ImmutableList.of();

  /** Whether the jobs of the rows are taken over. */
  private boolean active;

  private boolean placementWanted;
  private long placedMillis;
  private long acquiredMillis;

  private Scheduler(
      RowStore store,
      WorkerPort workerPort,
      MachinePort machinePort,
      Optional<AdvicePort> advicePort,
      FleetClock clock,
      EventLog log,
      RowFormats formats,
      SchedulerSettings settings,
      HolderWatch watch) {
    this.clock = clock;
    this.log = log;
    this.settings = settings;
    this.formats = formats;
    AnsweredStore answered = new AnsweredStore(store, clock);
    this.lease = new SchedulerLease(answered, clock, log, settings, watch, new LeaseListener());
    this.workers = new WorkerRegistry(answered, clock, log, formats, this::onWorkerGone);
    this.feed = new JobFeed(answered, clock, log, new FeedListener());
    this.committer = new Committer(answered, clock, log, lease, new CommitListener());
    this.orders = new Orders(workerPort, clock, log, lease, settings, new OrderListener());
    this.runLists =
        new RunLists(
            workerPort,
            clock,
            log,
            lease,
            new Pacer(workerPort, clock, log, lease),
            jobs::get,
            new TaskListener());
    this.holds = new WorkerHolds(workerPort, clock, log, lease, settings, new HoldListener());
    this.machineList = new MachineList(machinePort, clock, log);
    MaintenanceActions actions = new MaintenanceActions();
    this.maintenance =
        new Maintenance(machinePort, clock, log, lease, settings, workers, machineList, actions);
    this.poolSizer =
        new PoolSizer(
            machinePort, clock, log, lease, settings, workers, queues, machineList, actions);
    this.pendingCounts = new PendingCounts(store, lease);
    this.finalRows = new FinalRows(store, clock, lease, settings.stateKeptMillis());
    this.waveStatus = new WaveStatus(store, clock, lease, formats);
    this.advice = new AdviceDesk(advicePort, clock, log);
    this.quarantine = new Quarantine(log);
    this.placement =
        new Placement(queues, workers, new JobOrder(durations), quarantine, advice, log);
  }

  /** A scheduler that does not hold the lease yet. */
  public static Scheduler create(
      RowStore store,
      WorkerPort workerPort,
      MachinePort machinePort,
      Optional<AdvicePort> advicePort,
      FleetClock clock,
      EventLog log,
      RowFormats formats,
      SchedulerSettings settings,
      HolderWatch watch) {
    return new Scheduler(
        store, workerPort, machinePort, advicePort, clock, log, formats, settings, watch);
  }

  /** Takes a version of the configuration that is in force. */
  public void onConfig(FleetSettings newest) {
    queues.accept(newest);
    placementWanted = true;
  }

  /** Takes all waves of maintenance that the operator has asked for. */
  public void onWaves(ImmutableList<Wave> known) {
    waves = known;
    if (active) {
      maintenance.onWaves(waves, clock.monotonicMillis());
    }
  }

  /** Whether this process schedules now. */
  public boolean isScheduling() {
    return active && lease.isValid();
  }

  /** The node that holds the lease, as far as known; empty if nobody does. */
  public String holderNode() {
    return lease.holderNode();
  }

  /** Gives up the lease for good: the process stops. */
  public void stop() {
    lease.release();
  }

  /** Does what is due. Called after events and at least every 20 ms. */
  public void tick() {
    long now = clock.monotonicMillis();
    lease.tick(now);
    if (!lease.isHolding()) {
      return;
    }
    workers.tick(now);
    feed.tick(now);
    if (!active) {
      activateIfLoaded();
    }
    if (!active || !lease.isValid()) {
      return;
    }
    for (Worker worker : workers.all()) {
      holds.tick(worker, now);
    }
    orders.tick(now);
    maintenance.tick(now);
    leaveDrainingWorkers();
    place(now);
    poolSizer.tick(placement.backlog(), now);
    committer.tick(now);
    pendingCounts.tick(jobs.values(), now);
    waveStatus.tick(now);
    finalRows.tick(now);
  }

  private void place(long now) {
    boolean isDue = placementWanted && now - placedMillis >= PLACEMENT_MILLIS;
    if (isDue || now - placedMillis >= PLACEMENT_MAX_MILLIS) {
      placedMillis = now;
      placementWanted = false;
      for (Job job : placement.run(jobs.values(), now, clock.wallMillis())) {
        if (job.state == JobState.QUEUED) {
          job.state = JobState.RUNNING;
        }
        committer.add(job, true);
        job.forEachTask(
            task -> {
              if (task.phase == TaskPhase.ASSIGNED && task.startAfterChange <= 0) {
                task.startAfterChange = job.changes;
              }
            });
      }
    }
  }

  /** Lasting tasks leave a worker that is about to go; short ones may still end there. */
  private void leaveDrainingWorkers() {
    for (Worker worker : workers.all()) {
      if (worker.entry.draining() && !worker.isEmpty()) {
        for (Task task : worker.tasks()) {
          if (task.step.lasting() && task.phase == TaskPhase.RUNNING) {
            orders.stop(task, "worker_draining");
          }
        }
      }
    }
  }

  private void activateIfLoaded() {
    if (!feed.isLoaded() || !workers.isLoaded() || !queues.isKnown()) {
      return;
    }
    active = true;
    placementWanted = true;
    restore(loadedRows);
    loadedRows = ImmutableList.of();
    maintenance.onWaves(waves, clock.monotonicMillis());
    log.log(
        "scheduler.active",
        "epoch",
        lease.epoch(),
        "jobs",
        jobs.size(),
        "workers",
        workers.all().size(),
        "millis",
        clock.monotonicMillis() - acquiredMillis);
  }

  private void restore(ImmutableList<StoredRow> rows) {
    Map<String, List<StoredRow>> byJob = new LinkedHashMap<>();
    for (StoredRow row : rows) {
      if (!row.deleted()) {
        byJob.computeIfAbsent(JobRows.jobOf(row.key()), id -> new ArrayList<>()).add(row);
      }
    }
    byJob.forEach((id, own) -> restore(id, ImmutableList.copyOf(own)));
  }

  private void restore(String id, ImmutableList<StoredRow> rows) {
    Optional<StoredRow> submission = JobRows.find(rows, Kind.SUBMISSION);
    if (submission.isEmpty()) {
      if (JobRows.find(rows, Kind.FINAL).isPresent()) {
        finalRows.add(id);
      }
      return;
    }
    Optional<Job> job = accept(id, submission.get());
    if (job.isEmpty()) {
      return;
    }
    JobRows.find(rows, Kind.PROGRESS).ifPresent(row -> resume(job.get(), row));
    if (JobRows.find(rows, Kind.CANCELLATION).isPresent()) {
      cancel(job.get());
    }
  }

  private void resume(Job job, StoredRow progress) {
    job.progressVersion = progress.version();
    for (ProgressRow.Placed placed : ProgressRow.decodeInto(progress.value(), job)) {
      Worker worker = workers.named(placed.worker(), placed.incarnation());
      Task task = placed.task();
      task.assign(worker, task.attempt, "");
      task.phase = TaskPhase.ORDERED;
      task.recovered = true;
    }
    if (job.allDone()) {
      finish(job, JobState.COMPLETED);
    }
  }

  private Optional<Job> accept(String id, StoredRow submission) {
    Either<Failure, JobSpec> spec = formats.job(id, submission.value());
    if (spec.isLeft()) {
      log.log("job.unreadable", "job", id, "failure", spec.getLeft().detail());
      return Optional.empty();
    }
    TeamUse team = teams.computeIfAbsent(spec.get().team(), TeamUse::new);
    Job job = Job.create(spec.get(), team, clock.monotonicMillis());
    job.isExcess =
        teamRate.isExcess(
            spec.get().team(), spec.get().acceptedMillis(), queues.weightOf(spec.get().team()));
    jobs.put(id, job);
    placementWanted = true;
    log.log(
        "job.seen",
        "job",
        id,
        "queue",
        spec.get().queue(),
        "team",
        spec.get().team(),
        "excess",
        job.isExcess,
        "lasting",
        spec.get().steps().stream().filter(StepSpec::lasting).count(),
        "backfill",
        spec.get().steps().stream().filter(StepSpec::backfill).count(),
        "serving",
        spec.get().steps().stream().filter(StepSpec::serving).count(),
        "sinceAccepted",
        clock.wallMillis() - spec.get().acceptedMillis());
    return Optional.of(job);
  }

  private void cancel(Job job) {
    if (job.cancelRequested || (job.state.isFinal() && job.finalCommitted)) {
      return;
    }
    job.cancelRequested = true;
    finish(job, JobState.CANCELLED);
  }

  /** Gives a job its final state and ends what still runs of it. */
  private void finish(Job job, JobState state) {
    job.state = state;
    committer.add(job, true);
    job.forEachTask(
        task -> {
          if (task.phase == TaskPhase.ASSIGNED) {
            release(task, TaskPhase.WAITING, "job_" + state);
          } else {
            orders.stop(task, "job_" + state);
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

  private void release(Task task, TaskPhase next, String reason) {
    if (next == TaskPhase.WAITING) {
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
    task.startAfterChange = 0;
    task.release(next, clock.monotonicMillis());
    placementWanted = true;
    forgetIfOver(task.job);
  }

  private void forgetIfOver(Job job) {
    if (job.finalCommitted && job.isQuiet()) {
      jobs.remove(job.spec.id(), job);
    }
  }

  private void onWorkerGone(Worker worker) {
    for (Task task : worker.tasks()) {
      release(task, TaskPhase.WAITING, "worker_gone");
    }
  }

  private void reset() {
    active = false;
    jobs.clear();
    teams.clear();
    loadedRows = ImmutableList.of();
    committer.reset();
    orders.reset();
    holds.reset();
    feed.reset();
    advice.reset();
    quarantine.reset();
    teamRate.reset();
    pendingCounts.reset();
    finalRows.reset();
    waveStatus.reset();
  }

  private final class LeaseListener implements SchedulerLease.Listener {
    @Override
    public void onAcquired(long epoch, boolean afterSilence) {
      long now = clock.monotonicMillis();
      acquiredMillis = now;
      long leases = (long) (settings.maxLeaseMillis() * CLOCK_MARGIN);
      reset();
      workers.reset(now + leases + EARLIER_LEASE_SLACK_MILLIS);
      // A holder that is gone gives no more orders, and those under way are answered or lost.
      long ordersFrom =
          now
              + EARLIER_LEASE_SLACK_MILLIS
              + (afterSilence ? settings.orderPauseMillis() : ORDER_TIMEOUT_MILLIS);
      machineList.reset();
      maintenance.reset(ordersFrom);
      poolSizer.reset(ordersFrom);
    }

    @Override
    public void onGivingUp() {
      // What runs gets all the time it may have until another scheduler takes over.
      for (Worker worker : workers.all()) {
        holds.extend(worker, clock.monotonicMillis());
      }
    }

    @Override
    public void onLost() {
      reset();
      workers.reset(0);
    }
  }

  private final class FeedListener implements JobFeed.Listener {
    @Override
    public void onLoaded(ImmutableList<StoredRow> rows) {
      loadedRows = rows;
    }

    @Override
    public void onChanged(ImmutableList<StoredRow> rows) {
      if (!active) {
        loadedRows = ImmutableList.<StoredRow>builder().addAll(loadedRows).addAll(rows).build();
        return;
      }
      for (StoredRow row : rows) {
        if (!row.deleted()) {
          JobRows.kindOf(row.key()).ifPresent(kind -> onRow(kind, row));
        }
      }
    }

    private void onRow(Kind kind, StoredRow row) {
      String id = JobRows.jobOf(row.key());
      Job job = jobs.get(id);
      if (kind == Kind.SUBMISSION && job == null) {
        accept(id, row);
      } else if (kind == Kind.CANCELLATION && job != null) {
        cancel(job);
      }
    }
  }

  private final class CommitListener implements Committer.Listener {
    @Override
    public void onCommitted(Job job) {
      if (job.finalCommitted) {
        finalRows.add(job.spec.id());
        forgetIfOver(job);
      } else if (!job.state.isFinal()) {
        job.forEachTask(
            task -> {
              boolean isCommitted =
                  task.phase == TaskPhase.ASSIGNED
                      && task.startAfterChange > 0
                      && task.startAfterChange <= job.committedChanges;
              if (isCommitted) {
                task.startAfterChange = 0;
                orders.start(task);
              }
            });
      }
      workers.all().forEach(Worker::updateCommittedEnds);
    }

    @Override
    public void onCancellationFound(Job job) {
      cancel(job);
    }

    @Override
    public void onGuardFailed() {
      lease.onFenced();
    }
  }

  private final class OrderListener implements Orders.Listener {
    @Override
    public void onNotStarted(Task task, String reason) {
      advice.drop(task);
      release(task, TaskPhase.WAITING, reason);
    }

    @Override
    public void onStarted(Task task) {
      started(task);
    }

    @Override
    public void onFenced(Worker worker) {
      fenced(worker);
    }

    @Override
    public void onWrongIncarnation(Worker worker) {
      wrongIncarnation(worker);
    }
  }

  private final class HoldListener implements WorkerHolds.Listener {
    @Override
    public void onReport(
        Worker worker, org.sassafraslink.api.fleet.RunReport report, long sentMillis) {
      if (!worker.known) {
        placementWanted = true;
      }
      runLists.onReport(worker, report, sentMillis);
      worker.updateCommittedEnds();
    }

    @Override
    public void onRestart(Worker worker, long incarnation) {
      workers.onRestart(worker, incarnation);
    }

    @Override
    public void onWrongIncarnation(Worker worker) {
      wrongIncarnation(worker);
    }

    @Override
    public void onFenced(Worker worker) {
      fenced(worker);
    }

    @Override
    public void onLeaseExpired(Worker worker) {
      log.log("worker.lease_expired", "worker", worker.entry.id(), "tasks", worker.tasks().size());
      for (Task task : worker.tasks()) {
        release(task, TaskPhase.WAITING, "lease_expired");
      }
      // When it answers again, its lists are read before it gets new tasks.
      worker.known = false;
    }
  }

  private void fenced(Worker worker) {
    log.log("worker.fenced_us", "worker", worker.entry.id(), "epoch", lease.epoch());
    lease.onFenced();
  }

  private void wrongIncarnation(Worker worker) {
    log.log("worker.other_incarnation", "worker", worker.entry.id());
    workers.end(worker);
  }

  private void started(Task task) {
    task.phase = TaskPhase.RUNNING;
    task.recovered = false;
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
  }

  private final class TaskListener implements RunLists.Listener {
    @Override
    public void onStarted(Task task) {
      started(task);
    }

    @Override
    public void onVanished(Task task) {
      release(task, TaskPhase.WAITING, "not_listed");
    }

    @Override
    public void onDone(Task task, long runMillis) {
      if (task.confirmedMillis > 0) {
        durations.learn(task.job.spec.queue(), task.step, runMillis);
      }
      quarantine.onEnd(task.worker, task, false, clock.monotonicMillis());
      release(task, TaskPhase.DONE, "done");
      if (task.job.state.isFinal()) {
        return;
      }
      if (task.job.allDone()) {
        finish(task.job, JobState.COMPLETED);
      } else {
        committer.add(task.job, false);
      }
    }

    @Override
    public void onFailed(Task task) {
      quarantine.onEnd(task.worker, task, true, clock.monotonicMillis());
      task.failures++;
      task.failedOn.add(task.worker.entry.id());
      release(task, TaskPhase.WAITING, "failed");
      if (task.job.state.isFinal()) {
        return;
      }
      int maxFailures = queues.queueOf(task.job.spec).maxFailures();
      if (!task.step.lasting() && task.failures >= maxFailures) {
        finish(task.job, JobState.FAILED);
      } else {
        committer.add(task.job, false);
      }
    }

    @Override
    public void onEnded(Task task, String how) {
      release(task, TaskPhase.WAITING, how);
      if (!task.job.state.isFinal()) {
        committer.add(task.job, false);
      }
    }
  }

  private final class MaintenanceActions implements Maintenance.Actions {
    @Override
    public void stop(Task task, String reason) {
      orders.stop(task, reason);
    }

    @Override
    public void ended(Worker worker) {
      workers.end(worker);
    }

    @Override
    public void onFenced() {
      lease.onFenced();
    }

    @Override
    public void tell(long wave, boolean completed) {
      waveStatus.tell(wave, completed);
    }
  }
}
