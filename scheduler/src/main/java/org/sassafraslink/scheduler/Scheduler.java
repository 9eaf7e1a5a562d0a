package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.sassafraslink.api.fleet.AdviceClient;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.api.fleet.WorkerClient;
import org.sassafraslink.api.fleet.WorkerReport;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.incarnation.SilentWorkers;
import org.sassafraslink.scheduler.placement.EvacuatedZones;
import org.sassafraslink.scheduler.relocation.Absences;

/**
 * Schedules all jobs while this process holds the scheduling lease.
 *
 * <p>Each entry VM runs one scheduler; those without the lease only try to acquire it. All methods
 * and all callbacks of the clients run on one thread.
 */
public final class Scheduler {
  private final FleetClock clock;
  private final EventLog log;
  private final WorkerLeaseLog leaseLog;
  private final JobRegistry jobs;
  private final SchedulerLease lease;
  private final DecisionFences fences;
  private final WorkerLeaseRecorder leaseRecorder;
  private final WorkerRegistry workers;
  private final JobFeed jobFeed;
  private final AnnouncedJobs announcedJobs;
  private final JobProgressWriter progressWriter;
  private final TaskCommandSender commandSender;
  private final WorkerLeaseRenewer leaseRenewer;
  private final VmInventory vmInventory;
  private final VmCommandLog commandLog;
  private final ZoneEvacuations evacuations;
  private final LongRunningRelocations relocations;
  private final MaintenanceController maintenance;
  private final VmMover vmMover;
  private final PoolAutoscaler autoscaler;
  private final PoolStateLog poolStateLog;
  private final LongRunningStateLog longRunningStateLog;
  private final SilentWorkerWatch silentWorkers;
  private final SchedulerLoad load;
  private final PendingJobCounts pendingCounts;
  private final FinishedJobCleaner jobCleaner;
  private final AdviceTicketCache adviceTickets;
  private final Quarantine quarantine;
  private final Placement placement;
  private final PlacementRounds placementRounds;
  private final WorkerReportReconciler workerReportReconciler;
  private final WaveStatusWriter waveStatusWriter;
  private final PublishedConfig config = new PublishedConfig();
  private final DurationModel durationModel = new DurationModel();
  private final DemandRate demandRate = new DemandRate(durationModel);
  private ImmutableList<Wave> waves = ImmutableList.of();

  /** Rows of jobs that were read before the jobs could be restored. */
  private ImmutableList<StoredRow> earlyRows = ImmutableList.of();

  /** Whether the jobs have been restored from their rows under the current lease. */
  private boolean jobsRestored;

  private long leaseAcquiredMillis; // monotonic

  /** When the scheduler before this one sends no more commands, monotonic ms. */
  private long predecessorEndMillis;

  private Scheduler(
      RowStore store,
      WorkerClient workerClient,
      VmClient vmClient,
      Optional<AdviceClient> adviceClient,
      FleetClock clock,
      EventLog log,
      RowFormats formats,
      SchedulerSettings settings,
      LeaseHolderWatch holderWatch) {
    this.clock = clock;
    this.log = log;
    this.leaseLog = new WorkerLeaseLog(log);
    ResponseTrackingRowStore tracked = new ResponseTrackingRowStore(store, clock);
    InheritedLeaseEnds inheritedLeaseEnds = InheritedLeaseEnds.of(tracked::storeTime);
    this.lease =
        new SchedulerLease(tracked, clock, log, settings, holderWatch, new LeaseListener());
    this.fences = new DecisionFences(tracked, clock, log, lease, settings.process());
    this.leaseRecorder = new WorkerLeaseRecorder(tracked, clock, log, lease, this::renewLeaseOf);
    this.workers =
        new WorkerRegistry(
            tracked,
            clock,
            log,
            formats,
            settings.longestOwnLeaseMillis(),
            settings.lateCommandBounds(),
            leaseRecorder::withholds,
            new WorkerListener());
    this.jobCleaner =
        new FinishedJobCleaner(tracked, clock, lease, fences, settings.finalStateRetentionMillis());
    this.quarantine = new Quarantine(log);
    this.jobs =
        new JobRegistry(
            clock,
            log,
            formats,
            workers,
            config,
            jobCleaner,
            quarantine,
            durationModel,
            demandRate,
            inheritedLeaseEnds,
            lease::onFenced);
    this.jobFeed = new JobFeed(tracked, clock, log, new JobFeedListener());
    this.announcedJobs =
        new AnnouncedJobs(
            tracked,
            log,
            id -> jobs.findJob(id) != null || jobCleaner.contains(id),
            this::applyJobRows);
    this.load = new SchedulerLoad(log);
    this.progressWriter =
        new JobProgressWriter(tracked, clock, log, lease, fences, load, inheritedLeaseEnds, jobs);
    this.evacuations =
        new ZoneEvacuations(
            log, workers::all, settings.maxEvacuationDelayMillis(), new EvacuationActions());
    this.commandSender =
        new TaskCommandSender(
            workerClient,
            clock,
            log,
            lease,
            settings,
            workers,
            evacuations::startAction,
            jobFeed::readAt,
            new TaskCommandListener());
    jobs.setWriterAndSender(progressWriter, commandSender);
    this.workerReportReconciler =
        new WorkerReportReconciler(
            workerClient,
            clock,
            log,
            lease,
            new BackfillThrottle(workerClient, clock, log, lease),
            jobs::findJob,
            jobs,
            settings.maxStopMillis());
    this.leaseRenewer =
        new WorkerLeaseRenewer(
            workerClient, clock, log, lease, settings, workers, new RenewerListener());
    this.vmInventory = new VmInventory(vmClient, clock, log);
    this.commandLog = new VmCommandLog(tracked, clock, log, lease, settings.handoverPauseMillis());
    MaintenanceActions actions = new MaintenanceActions();
    this.adviceTickets = new AdviceTicketCache(adviceClient, clock, log, jobs::requestPlacement);
    this.relocations =
        new LongRunningRelocations(config, workers, quarantine, adviceTickets, durationModel);
    this.maintenance =
        new MaintenanceController(
            vmClient,
            clock,
            log,
            lease,
            settings,
            workers,
            vmInventory,
            commandLog,
            relocations,
            new WaveProgressRows(tracked, clock, log, lease),
            actions);
    PoolDemand poolDemand = new PoolDemand(demandRate);
    this.vmMover =
        new VmMover(
            vmClient,
            clock,
            log,
            settings,
            workers,
            config,
            vmInventory,
            commandLog,
            actions,
            evacuations::contains);
    this.autoscaler =
        new PoolAutoscaler(
            log,
            lease,
            workers,
            config,
            poolDemand,
            durationModel,
            vmInventory,
            vmMover,
            relocations,
            maintenance::isDueForMaintenance);
    this.poolStateLog =
        new PoolStateLog(
            log, config, workers::listedInPool, autoscaler::neededInTime, vmMover::countMovesTo);
    this.longRunningStateLog =
        new LongRunningStateLog(
            log,
            config,
            workers::listedInPool,
            quarantine,
            adviceTickets::ticketsFor,
            relocations::tasksWithoutPlace);
    this.silentWorkers = new SilentWorkerWatch(workers);
    this.pendingCounts = new PendingJobCounts(store, lease);
    this.waveStatusWriter = new WaveStatusWriter(store, clock, lease, formats);
    this.placement =
        new Placement(
            config,
            workers,
            durationModel,
            quarantine,
            adviceTickets,
            autoscaler::isSurplus,
            relocations::hold,
            settings.longestOwnLeaseMillis(),
            log);
    this.placementRounds = new PlacementRounds(clock, jobs, placement, progressWriter, load);
  }

  /** Creates a scheduler that does not hold the lease yet. */
  public static Scheduler create(
      RowStore store,
      WorkerClient workerClient,
      VmClient vmClient,
      Optional<AdviceClient> adviceClient,
      FleetClock clock,
      EventLog log,
      RowFormats formats,
      SchedulerSettings settings,
      LeaseHolderWatch holderWatch) {
    return new Scheduler(
        store, workerClient, vmClient, adviceClient, clock, log, formats, settings, holderWatch);
  }

  /** Replaces the configuration by a newly published version. */
  public void onConfig(FleetSettings fleetSettings) {
    config.applySettings(fleetSettings);
    jobs.requestPlacement();
  }

  /** Replaces the list of waves of maintenance that the operator has requested. */
  public void onWaves(ImmutableList<Wave> requested) {
    waves = requested;
    if (jobsRestored) {
      maintenance.addWaves(waves);
    }
  }

  /** Replaces the evacuations that the operator has requested by those of a newer read. */
  public void onEvacuations(Evacuations requested) {
    evacuations.update(requested);
    if (jobsRestored) {
      evacuations.apply(clock.monotonicMillis());
    }
  }

  /**
   * Announces that an entry VM has accepted a job, which this process then reads if it schedules
   * and the store's changes do not show the job soon.
   */
  public void onJobAnnounced(String jobId) {
    if (jobsRestored) {
      announcedJobs.announce(jobId, clock.monotonicMillis());
    }
  }

  /** Returns whether this process holds a valid lease and has restored the jobs. */
  public boolean isScheduling() {
    return jobsRestored && lease.isValid();
  }

  /** Returns the measurements of the thread that calls {@link #runDueWork}. */
  public SchedulerLoad load() {
    return load;
  }

  /**
   * Returns the long-running tasks that should run and do not, as of the last second; none if this
   * process does not schedule. May be called on any thread.
   */
  public Absences longRunningAbsences() {
    return isScheduling() ? longRunningStateLog.lastSecond() : Absences.NONE;
  }

  /**
   * Returns the workers with tasks that are waited for, as of the last second; none if this process
   * does not schedule. May be called on any thread.
   */
  public SilentWorkers silentWorkers() {
    return isScheduling() ? silentWorkers.lastSecond() : SilentWorkers.NONE;
  }

  /** Returns the last known holder of the lease, by node name; empty if there is none. */
  public String holderNode() {
    return lease.holderNode();
  }

  /** Releases the lease and never acquires it again, because the process is stopping. */
  public void stop() {
    lease.release();
  }

  /** Performs all work that is due. Must be called after each callback and at least every 20 ms. */
  public void runDueWork() {
    long now = clock.monotonicMillis();
    lease.callStoreIfDue(now);
    if (!lease.isHolding()) {
      return;
    }
    if (workers.isEpochUsedUp()) {
      lease.onFenced();
      return;
    }
    workers.pollIfDue(now, vmMover.hasOverdueMove(now));
    // Their rows are guarded by the lease itself, so they need no fence.
    commandLog.readOrWriteIfDue(now);
    leaseRecorder.readOrWriteIfDue(workers, now);
    fences.writeIfDue(now);
    // Until then a predecessor may still change the rows of jobs.
    if (!fences.areWritten()) {
      return;
    }
    jobFeed.readIfDue(now);
    if (!jobsRestored) {
      restoreJobsIfLoaded();
    }
    if (!jobsRestored || !lease.isValid()) {
      return;
    }
    evacuations.apply(now);
    announcedJobs.readIfDue(now);
    for (Worker worker : workers.all()) {
      leaseRenewer.renewIfDue(worker, now);
    }
    commandSender.resendIfDue(now);
    relocations.planIfDue(
        jobs.all(), now, clock.wallMillis(), maintenance::mayReopen, maintenance::reopen);
    maintenance.advanceWaves(placement.backlog(), autoscaler.isAnyPoolGrowing(), now);
    commandSender.stopLongRunningOnDraining(
        workers.all(), task -> relocations.hasPlace(task, now), now);
    placementRounds.placeIfDue(now);
    autoscaler.adjustPools(placement.backlog(), now);
    jobs.recordBegunJobsIfDue(now);
    progressWriter.commitIfDue(now);
    pendingCounts.writeIfDue(jobs.all(), now);
    waveStatusWriter.writeIfDue(now);
    jobCleaner.cleanIfDue(now);
    poolStateLog.writeIfDue(jobs.all(), placement.backlog(), now, clock.wallMillis());
    longRunningStateLog.writeIfDue(jobs.all(), now, clock.wallMillis());
    silentWorkers.countIfDue(now);
  }

  private void restoreJobsIfLoaded() {
    if (!jobFeed.isLoaded()
        || !workers.isLoaded()
        || !leaseRecorder.isLoaded()
        || !config.hasSettings()
        || !evacuations.areKnown()) {
      return;
    }
    long now = clock.monotonicMillis();
    if (now < predecessorEndMillis && !commandLog.arePredecessorCommandsOver(now)) {
      // A task must not start on a VM that the predecessor may still move or take down.
      return;
    }
    jobsRestored = true;
    jobs.requestPlacement();
    jobs.restore(earlyRows);
    earlyRows = ImmutableList.of();
    leaseRecorder.onJobsRestored(workers);
    maintenance.onJobsRestored(clock.monotonicMillis());
    pendingCounts.onJobsRestored(clock.monotonicMillis());
    maintenance.addWaves(waves);
    SilentWorkers silent = silentWorkers.count(clock.monotonicMillis());
    log.log(
        "scheduler.active",
        "epoch",
        lease.epoch(),
        "jobs",
        jobs.all().size(),
        "startsInDoubt",
        jobs.all().stream().filter(job -> !job.startAccepted && job.hasUncheckedStart()).count(),
        "workers",
        workers.all().size(),
        "silentWorkers",
        silent.count(),
        "ownLeaseLeft",
        silent.longestOwnMillis(),
        "inheritedLeaseLeft",
        silent.longestInheritedMillis(),
        "leaseLeft",
        silent.longestMillis(),
        "millis",
        clock.monotonicMillis() - leaseAcquiredMillis);
  }

  private final class WorkerListener implements WorkerRegistry.Listener {
    @Override
    public void onEnded(Worker worker) {
      jobs.releaseTasksOf(worker, "worker_gone");
    }

    @Override
    public void onRestarted(Worker earlier) {
      jobs.releaseUnsentTasksOf(earlier, "worker_restarted");
    }
  }

  private void reset() {
    jobsRestored = false;
    jobs.reset(leaseAcquiredMillis);
    fences.reset();
    earlyRows = ImmutableList.of();
    progressWriter.reset();
    commandSender.reset();
    evacuations.reset();
    leaseRenewer.reset();
    leaseRecorder.reset();
    jobFeed.reset();
    announcedJobs.reset();
    relocations.reset();
    longRunningStateLog.reset(leaseAcquiredMillis);
    silentWorkers.reset();
    adviceTickets.reset();
    quarantine.reset();
    pendingCounts.reset();
    jobCleaner.reset();
    waveStatusWriter.reset();
  }

  private final class LeaseListener implements SchedulerLease.Listener {
    @Override
    public void onAcquired(long epoch, long predecessorEndMillis, long predecessorGrantMillis) {
      long now = clock.monotonicMillis();
      leaseAcquiredMillis = now;
      Scheduler.this.predecessorEndMillis = predecessorEndMillis;
      reset();
      workers.reset(Math.max(now, predecessorEndMillis), predecessorGrantMillis);
      vmInventory.reset();
      commandLog.reset();
      maintenance.reset();
      autoscaler.reset();
    }

    @Override
    public void onGivingUp() {
      // Extends the leases, so that no task is killed before another scheduler takes over.
      for (Worker worker : workers.all()) {
        leaseRenewer.renewNow(worker, clock.monotonicMillis());
      }
    }

    @Override
    public void onLost() {
      reset();
      workers.reset(0, 0);
    }
  }

  private final class JobFeedListener implements JobFeed.Listener {
    @Override
    public void onLoaded(ImmutableList<StoredRow> rows) {
      earlyRows = rows;
    }

    @Override
    public void onChanged(ImmutableList<StoredRow> rows) {
      if (!jobsRestored) {
        earlyRows = ImmutableList.<StoredRow>builder().addAll(earlyRows).addAll(rows).build();
        return;
      }
      applyJobRows(rows);
    }
  }

  private void applyJobRows(ImmutableList<StoredRow> rows) {
    for (StoredRow row : JobRows.submissionsFirst(rows)) {
      if (!row.deleted()) {
        jobs.applyRow(row);
      }
    }
  }

  private final class TaskCommandListener implements TaskCommandSender.Listener {
    @Override
    public void onNotStarted(Task task, String reason) {
      adviceTickets.discardTickets(task);
      jobs.release(task, TaskPhase.WAITING, reason);
    }

    @Override
    public void onCancellationUnknown(Job job) {
      jobs.checkCancellation(job);
    }

    @Override
    public void onStartWithdrawn(Task task) {
      evacuations.withdraw(task);
    }

    @Override
    public void onStarted(Task task) {
      jobs.onStarted(task);
    }

    @Override
    public void onFenced(Worker worker) {
      handleFencing(worker);
    }

    @Override
    public void onWrongIncarnation(Worker worker) {
      endReplacedIncarnation(worker);
    }

    @Override
    public void onLaterIncarnation(Worker worker) {
      worker.recordLaterIncarnation(clock.monotonicMillis());
    }
  }

  private final class EvacuationActions implements ZoneEvacuations.Actions {
    @Override
    public void releaseUnsent(Task task) {
      jobs.release(task, TaskPhase.WAITING, EvacuatedZones.REASON);
    }

    @Override
    public void stopSent(Task task) {
      commandSender.stop(task, EvacuatedZones.REASON);
    }
  }

  private final class RenewerListener implements WorkerLeaseRenewer.Listener {
    @Override
    public void onReport(Worker worker, WorkerReport report, long sentMillis) {
      if (!worker.hasReported || worker.hasHolds()) {
        jobs.requestPlacement();
      }
      if (!worker.hasReported) {
        long unknownAttempts = workerReportReconciler.countUnknownAttempts(worker, report);
        leaseLog.logConfirmed(worker, report, unknownAttempts, clock.monotonicMillis());
      }
      workerReportReconciler.applyReport(worker, report, sentMillis);
      worker.advanceLastCommittedEnd();
    }

    @Override
    public void onIncarnation(Worker worker, long incarnation, long sentMillis) {
      workers.confirmIncarnation(worker, incarnation, sentMillis);
    }

    @Override
    public void onWrongIncarnation(Worker worker) {
      endReplacedIncarnation(worker);
    }

    @Override
    public void onFenced(Worker worker) {
      handleFencing(worker);
    }

    @Override
    public void onLeaseExpired(Worker worker, long nowMillis) {
      // Before it gets new tasks, it must report again which tasks it runs.
      worker.hasReported = false;
      int released = jobs.releaseTasksNotInDoubt(worker, "lease_expired", nowMillis);
      if (released > 0) {
        // One that has not responded to this scheduler counts as silent since the takeover at
        // least.
        long silentSinceMillis = Math.max(leaseAcquiredMillis, worker.silentSinceMillis());
        leaseLog.logExpired(
            worker, released, workers.unknownLeasesOf(worker), silentSinceMillis, nowMillis);
      }
    }
  }

  /** Renews the lease of a worker at once, since none was granted for some time. */
  private void renewLeaseOf(String workerId) {
    workers
        .findById(workerId)
        .ifPresent(worker -> leaseRenewer.renewNow(worker, clock.monotonicMillis()));
  }

  private void handleFencing(Worker worker) {
    log.log("worker.fenced_us", "worker", worker.entry.id(), "epoch", lease.epoch());
    lease.onFenced();
  }

  private void endReplacedIncarnation(Worker worker) {
    log.log("worker.other_incarnation", "worker", worker.entry.id());
    workers.endIncarnation(worker);
  }

  private final class MaintenanceActions implements MaintenanceController.Actions {
    @Override
    public void stopTask(Task task, String reason) {
      commandSender.stop(task, reason);
    }

    @Override
    public void onWorkerEnded(Worker worker) {
      workers.endIncarnation(worker);
    }

    @Override
    public void onFenced() {
      lease.onFenced();
    }

    @Override
    public void writeWaveStatus(long wave, boolean completed) {
      waveStatusWriter.requestWrite(wave, completed);
    }
  }
}
