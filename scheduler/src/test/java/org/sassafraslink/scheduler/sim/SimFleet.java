package org.sassafraslink.scheduler.sim;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobSpec.QueueTerms;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.RowFormats;

/** Simulates schedulers on several nodes, a row store and workers, all on one simulated clock. */
public final class SimFleet {
  public static final String POOL = "desk";
  public static final String QUEUE = "orders";
  public static final String TEAM = "bakery";
  public static final Resources TEAM_LIMIT = new Resources(40_000, 0, 0);
  private static final long FAULT_CHECK_INTERVAL_MILLIS = 20;
  private static final String WORKER_TABLE = "workers";

  /** Precedes the id of a worker in the name of the host on which it listens. */
  private static final String HOST_PREFIX = "worker-";

  final SimLayout layout;
  private FleetSettings settings;
  public final SimClock clock = new SimClock();
  public final Random random;
  public final FakeRowStore rowStore;
  public final GuaranteeChecker guaranteeChecker;
  private final SimGangs gangs;
  private final LongRunningTaskChecker longRunningTasks;
  public final SimNetwork network;
  public final Map<String, SimNode> nodes = new LinkedHashMap<>();
  final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  private final Map<String, String> poolByWorkerId = new HashMap<>();
  private final Map<String, String> vmByWorkerId = new HashMap<>();

  /** The capacities of workers that differ from the layout's, by incarnation. */
  private final Map<Long, Resources> capacityByIncarnation = new HashMap<>();

  /** The incarnations that have announced their end. */
  private final Set<Long> drainingIncarnations = new HashSet<>();

  private final Map<String, JobSpec> submittedJobs = new LinkedHashMap<>();
  private final Set<String> jobsOfPreviousVersion = new HashSet<>();
  private long taskTimeFactor = 1;
  final Set<DisabledMechanism> disabledMechanisms = EnumSet.noneOf(DisabledMechanism.class);

  /** The platform's interface for VMs; empty if it is not available. */
  private final Optional<FakeVmPlatform> vmPlatform;

  /** The newest incarnation of a worker. Real ones are times in Unix ms. */
  private long lastIncarnation;

  /** Workers whose entries the platform has deleted although they may run. */
  private final Set<String> unlistedWorkers = new HashSet<>();

  /** When the last fault was noticed. */
  private long lastFaultMillis;

  /** When VMs could last not be commanded as usual, or workers failed all tasks. */
  private long lastFaultOfPlacesMillis;

  /** Whether the advice service lets a job run on a worker; both are given by their ids. */
  public BiPredicate<String, String> advicePolicy = (job, worker) -> true;

  /**
   * Rate of the clocks of the workers that start from now on, as a fraction of true time, from 0.98
   * to 1.
   */
  public double workerClockRate = 0.98;

  /** How long after its start a worker that starts from now on writes its entry, in ms. */
  public long workerEntryDelayMillis;

  /** Tasks of which every attempt fails. */
  public final List<TaskId> tasksThatAlwaysFail = new ArrayList<>();

  /** Receives the events in the logs of all nodes. */
  public EventLog.Observer eventObserver = (event, fields) -> {};

  /** The availability zones of VMs that are not in the usual one, by VM. */
  public final Map<String, String> zoneByVm = new HashMap<>();

  /** The zones that the operator has asked to evacuate. */
  private ImmutableSet<String> evacuatedZones = ImmutableSet.of();

  /** The bound for starts in evacuated zones that processes get which start from now on. */
  public Optional<Long> maxEvacuationDelayMillis = Optional.of(5_000L);

  /** All start commands that schedulers have sent, whether or not they arrived. */
  public final List<StartCommand> startCommands = new ArrayList<>();

  /** The ids of the workers to which report requests were sent, one for each request. */
  public final List<String> reportRequests = new ArrayList<>();

  /** A start command that was sent at {@code millis} and meant for an incarnation. */
  public record StartCommand(
      long millis, String worker, long incarnation, TaskId task, int attempt) {}

  /** Ids of workers on which every attempt fails. */
  public final List<String> workersThatFailAllTasks = new ArrayList<>();

  private SimFleet(long seed, SimLayout layout) {
    this.layout = layout;
    this.settings = layout.settings();
    random = new Random(seed);
    network = new SimNetwork(random);
    guaranteeChecker = new GuaranteeChecker(clock);
    gangs = new SimGangs(clock, guaranteeChecker);
    longRunningTasks =
        new LongRunningTaskChecker(guaranteeChecker, this::isRunning, this::openWorkersIn);
    rowStore = new FakeRowStore(clock, random, guaranteeChecker);
    guaranteeChecker.setTeamLimit(TEAM, TEAM_LIMIT);
    guaranteeChecker.setMaxFailuresPerTask(SimLayout.MAX_FAILURES);
    vmPlatform =
        layout.movesPerSecond().isPresent()
            ? Optional.of(new FakeVmPlatform(this, layout.movesPerSecond().getAsInt()))
            : Optional.empty();
  }

  /**
   * Creates a fleet of nodes n0, n1 ... and workers w0, w1 ... in one pool, and starts them all.
   */
  public static SimFleet start(long seed, int nodeCount, int workerCount) {
    return start(seed, nodeCount, SimLayout.singlePool(workerCount));
  }

  /** Creates a fleet of nodes n0, n1 ... and of VMs with workers, and starts them all. */
  public static SimFleet start(long seed, int nodeCount, SimLayout layout) {
    return start(seed, nodeCount, layout, ImmutableSet.of());
  }

  /** As {@link #start(long, int, SimLayout)}, without some mechanisms. */
  public static SimFleet start(
      long seed, int nodeCount, SimLayout layout, Set<DisabledMechanism> disabled) {
    SimFleet fleet = new SimFleet(seed, layout);
    disabled.forEach(fleet::disable);
    layout.vmsByPool().forEach(fleet::addVms);
    for (int i = 0; i < nodeCount; i++) {
      fleet.startNode("n" + i);
    }
    fleet.checkRepeatedly();
    return fleet;
  }

  /** Checks repeatedly that no task of a cancelled job runs on, and that long-running ones do. */
  private void checkRepeatedly() {
    boolean hasFault =
        !unlistedWorkers.isEmpty()
            || rowStore.hasFault()
            || network.hasFault()
            || nodes.values().stream().anyMatch(SimNode::hasFault);
    if (hasFault) {
      recordFault();
    }
    guaranteeChecker.checkCancelledJobs(lastFaultMillis);
    if (vmPlatform.map(FakeVmPlatform::hasFault).orElse(false)
        || !workersThatFailAllTasks.isEmpty()) {
      lastFaultOfPlacesMillis = clock.nowMillis();
    }
    longRunningTasks.check(
        submittedJobs.values(),
        this::isOwedToRun,
        Math.max(lastFaultMillis, lastFaultOfPlacesMillis),
        clock.nowMillis());
    clock.runAfter(FAULT_CHECK_INTERVAL_MILLIS, this::checkRepeatedly);
  }

  private boolean isOwedToRun(TaskId task) {
    // A team's limit and the advice service may keep a task from running for long.
    return !guaranteeChecker.isSettled(task)
        && !tasksThatAlwaysFail.contains(task)
        && submittedJobs.get(task.job()).team().isEmpty()
        && layout.adviceTimes().isEmpty();
  }

  private boolean isRunning(TaskId task) {
    return workers.values().stream().anyMatch(worker -> worker.runsTask(task));
  }

  /**
   * Returns the workers of a pool that run, have not announced their end and are in no evacuated
   * zone.
   */
  private List<FakeWorker> openWorkersIn(String pool) {
    return workersIn(pool)
        .filter(worker -> !drainingIncarnations.contains(worker.incarnation))
        .filter(worker -> !evacuatedZones.contains(zoneOf(vmByWorkerId.get(worker.id))))
        .toList();
  }

  /** Returns the longest time for which a long-running task was away, in ms. */
  public long longestAbsenceMillis() {
    return longRunningTasks.longestMillis();
  }

  /** Records a fault that lasts no longer, such as the end of a process. */
  void recordFault() {
    lastFaultMillis = clock.nowMillis();
  }

  private void addVms(String pool, int count) {
    for (int i = 0; i < count; i++) {
      if (vmPlatform.isPresent()) {
        vmPlatform.get().addVm(pool + "-" + i, pool);
      } else {
        startWorker("w" + i);
      }
    }
  }

  /** Multiplies the usual run times of all attempts that start from now on by {@code factor}. */
  public void multiplyTaskTimes(long factor) {
    taskTimeFactor = factor;
  }

  /** Disables a mechanism for the rest of the test. */
  public void disable(DisabledMechanism mechanism) {
    disabledMechanisms.add(mechanism);
  }

  /** Starts a process on a node, after killing the one that runs there, if any. */
  public void startNode(String nodeName) {
    killNode(nodeName);
    SimNode node = new SimNode(this, nodeName);
    nodes.put(nodeName, node);
    node.start();
  }

  /** As {@link #startNode}, with a process that cannot read the operator's rows yet. */
  public void startNodeWithFailingOperatorReads(String nodeName) {
    killNode(nodeName);
    SimNode node = new SimNode(this, nodeName);
    node.setOperatorReadsFail(true);
    nodes.put(nodeName, node);
    node.start();
  }

  /** Kills the process on a node, if any. */
  public void killNode(String nodeName) {
    SimNode previous = nodes.remove(nodeName);
    if (previous != null) {
      if (previous.isInService()) {
        recordFault();
      }
      previous.kill();
      gangs.forgetReports();
    }
  }

  /** Ends the process on a node, if any, as when its VM loses power: no connection is closed. */
  public void powerOffNode(String nodeName) {
    SimNode node = nodes.get(nodeName);
    recordFault();
    if (node != null) {
      node.powerOff();
      gangs.forgetReports();
    }
  }

  /**
   * Starts a new incarnation of a worker, after crashing the one that runs under its id, if any.
   */
  public void startWorker(String id) {
    startWorker(id, POOL, "m-" + id);
  }

  /** As {@link #startWorker(String)}, in any pool and on any VM. */
  void startWorker(String id, String pool, String vm) {
    startWorker(id, pool, vm, layout.workerCapacity());
  }

  /** As {@link #startWorker(String)}, with a capacity that the former incarnation may not have. */
  public void startWorker(String id, Resources capacity) {
    startWorker(id, POOL, "m-" + id, capacity);
  }

  private void startWorker(String id, String pool, String vm, Resources capacity) {
    FakeWorker previous = workers.get(id);
    if (previous != null) {
      recordFault();
      previous.crash();
    }
    lastIncarnation = Math.max(lastIncarnation + 1, clock.nowMillis());
    FakeWorker worker =
        new FakeWorker(
            id,
            lastIncarnation,
            clock,
            new FleetTaskBehavior(),
            guaranteeChecker,
            capacity,
            disabledMechanisms,
            gangs,
            workerClockRate,
            layout.maxLeaseMillis());
    workers.put(id, worker);
    capacityByIncarnation.put(worker.incarnation, capacity);
    poolByWorkerId.put(id, pool);
    vmByWorkerId.put(id, vm);
    if (workerEntryDelayMillis == 0) {
      putWorkerEntry(id, worker.incarnation, pool, vm, id);
    } else {
      clock.runAfter(
          workerEntryDelayMillis,
          () -> {
            if (!worker.crashed) {
              putWorkerEntry(id, worker.incarnation, pool, vm, id);
            }
          });
    }
  }

  /**
   * Writes an entry of the worker list, as workers and other software do.
   *
   * @param addressOwner the id of the worker whose address the entry has; a worker that does not
   *     exist has an address at which nothing listens
   */
  public void putWorkerEntry(
      String id, long incarnation, String pool, String vm, String addressOwner) {
    rowStore.putRow(
        WORKER_TABLE, "", id, String.join(" ", "" + incarnation, pool, vm, addressOwner));
  }

  /** Deletes the entry of a worker, which the platform may do although the worker runs. */
  public void unlistWorker(String id) {
    unlistedWorkers.add(id);
    rowStore.deleteRow(WORKER_TABLE, "", id);
  }

  /** Writes the entry of a worker's present incarnation again, if it runs. */
  public void relistWorker(String id) {
    unlistedWorkers.remove(id);
    FakeWorker worker = workers.get(id);
    if (!worker.crashed) {
      putWorkerEntry(id, worker.incarnation, poolByWorkerId.get(id), vmByWorkerId.get(id), id);
    }
  }

  /** Returns the value of a worker's entry, which {@link #rewriteWorkerEntry} writes again. */
  public String workerEntry(String id) {
    return rowStore.findRow(new RowKey(WORKER_TABLE, "", id)).value();
  }

  /** Writes an entry again, as a worker does with each of its heartbeats. */
  public void rewriteWorkerEntry(String id, String value) {
    rowStore.putRow(WORKER_TABLE, "", id, value);
  }

  /** Returns the numbers of the attempts that the present incarnation of a worker has started. */
  public Set<Integer> startedAttempts(String id) {
    return workers.get(id).startedAttempts;
  }

  /** Has a worker announce that it will end and takes no more tasks. */
  void announceDraining(String id) {
    drainingIncarnations.add(workers.get(id).incarnation);
    rewriteWorkerEntry(id, workerEntry(id));
  }

  /** Sets whether a worker rejects all further tasks for lack of room. */
  public void setFull(String id, boolean isFull) {
    workers.get(id).isFull = isFull;
  }

  /** Returns whether any attempt runs on a worker. */
  public boolean isRunningAttempt(String id) {
    return workers.get(id).runningAttemptCount() > 0;
  }

  /** Returns how many attempts run on all workers. */
  public int runningAttemptCount() {
    return workers.values().stream().mapToInt(FakeWorker::runningAttemptCount).sum();
  }

  /** Returns the incarnation of a worker. */
  public long incarnation(String id) {
    return workers.get(id).incarnation;
  }

  /** Returns the last worker that was started at the address of an entry, if any. */
  Optional<FakeWorker> workerAt(InetSocketAddress address) {
    return Optional.ofNullable(
        workers.get(address.getHostString().substring(HOST_PREFIX.length())));
  }

  /** Ends a worker whose VM is taken away, and deletes the row in which the platform lists it. */
  void endWorker(String id) {
    workers.get(id).crash();
    rowStore.deleteRow(WORKER_TABLE, "", id);
  }

  /** Returns the workers of a pool that run. */
  private Stream<FakeWorker> workersIn(String pool) {
    return workers.values().stream()
        .filter(worker -> !worker.crashed && poolByWorkerId.get(worker.id).equals(pool));
  }

  String zoneOf(String vm) {
    return zoneByVm.getOrDefault(vm, "zone");
  }

  /** Puts workers of a single pool into a zone; must be called before they are started. */
  public void putInZone(String zone, String... workerIds) {
    for (String id : workerIds) {
      zoneByVm.put("m-" + id, zone);
    }
  }

  /** Replaces the operator's requests for evacuations, which reachable processes read at once. */
  public void evacuate(String... zones) {
    evacuatedZones = ImmutableSet.copyOf(zones);
    nodes.values().forEach(SimNode::readEvacuations);
  }

  ImmutableSet<String> evacuatedZones() {
    return evacuatedZones;
  }

  /** Returns the start commands since a time to workers on VMs of a zone. */
  public List<StartCommand> startsIn(String zone, long sinceMillis) {
    return startCommands.stream()
        .filter(start -> start.millis() >= sinceMillis)
        .filter(start -> zoneOf(vmByWorkerId.get(start.worker())).equals(zone))
        .toList();
  }

  /** Returns how many attempts of the tasks of a job run on all workers. */
  public long runningAttemptCountOf(String job) {
    return workers.values().stream().mapToLong(worker -> worker.countOfJob(job)).sum();
  }

  /** Returns how many attempts run on the workers on VMs of a zone. */
  public int runningAttemptCount(String zone) {
    return workers.values().stream()
        .filter(worker -> zoneOf(vmByWorkerId.get(worker.id)).equals(zone))
        .mapToInt(FakeWorker::runningAttemptCount)
        .sum();
  }

  /** Returns the configuration that was published last. */
  public FleetSettings settings() {
    return settings;
  }

  /** Publishes a configuration to all processes, also those that start later. */
  public void publish(FleetSettings newest) {
    settings = newest;
    nodes.values().forEach(node -> node.applySettings(newest));
  }

  /** Adds a VM that is up, with a worker. */
  public void addVm(String id, String pool) {
    vmPlatform.orElseThrow().addVm(id, pool);
  }

  /** Returns how many VMs are in maintenance. */
  public long vmsInMaintenance() {
    return vmPlatform.orElseThrow().vmsInMaintenance();
  }

  /** Starts the worker on a VM again under its id, if there is one. */
  public void restartWorkerOn(String vm) {
    vmPlatform.orElseThrow().restartWorkerOn(vm);
  }

  /** Returns the VMs in a pool that have a worker. */
  public List<String> vmsWithWorkers(String pool) {
    return vmPlatform.orElseThrow().vmsWithWorkers(pool);
  }

  /** Crashes the worker on a VM, if there is one, without a restart. */
  public void crashWorkerOn(String vm) {
    vmPlatform.orElseThrow().crashWorkerOn(vm);
  }

  /**
   * Has the worker on a VM, if there is one, announce its end, end after {@code graceMillis}, and
   * start again after {@code awayMillis} more.
   */
  public void drainWorkerOn(String vm, long graceMillis, long awayMillis) {
    vmPlatform.orElseThrow().drainWorkerOn(vm, graceMillis, awayMillis);
  }

  /** Has the moves that are accepted from now on take {@code millis} longer than usual. */
  public void delayMoves(long millis) {
    vmPlatform.orElseThrow().delayMoves(millis);
  }

  /** Has the VM of the next move that is accepted leave the fleet instead of arriving. */
  public void loseVmOfNextMove() {
    vmPlatform.orElseThrow().loseVmOfNextMove();
  }

  /** Returns the VMs of a wave that still exist and have had no maintenance for it. */
  public List<String> vmsNotMaintained(Wave wave) {
    return vmPlatform.orElseThrow().vmsNotMaintained(wave);
  }

  /** Sets whether the platform executes commands to VMs and its responses are lost. */
  public void setVmResponsesLost(boolean areLost) {
    vmPlatform.orElseThrow().setResponsesLost(areLost);
  }

  /** Has the platform's interface for VMs neither execute nor answer calls for some ms. */
  public void silenceVmPlatform(long millis) {
    vmPlatform.orElseThrow().silence(millis);
  }

  /** Has the platform reject requests for lists of VMs for some ms, but not commands. */
  public void rejectVmLists(long millis) {
    vmPlatform.orElseThrow().rejectLists(millis);
  }

  /** Has the platform's lists show the VMs as they were {@code millis} ms ago. */
  public void setVmListLag(long millis) {
    vmPlatform.orElseThrow().setListLag(millis);
  }

  /** Returns how many moves were accepted although their VM was in the pool already. */
  public int vmMovesDoneAlready() {
    return vmPlatform.orElseThrow().movesDoneAlready();
  }

  /** Returns how many running attempts commands to VMs have ended. */
  public int attemptsEndedByVmCommands() {
    return vmPlatform.orElseThrow().attemptsEndedByCommands();
  }

  /** Has the platform's lists lack a VM for {@code millis} ms. */
  public void hideVm(String id, long millis) {
    vmPlatform.orElseThrow().hideVm(id, millis);
  }

  /** Returns how often a command for the maintenance of each VM was accepted. */
  public Map<String, Integer> maintenanceCountByVm() {
    return vmPlatform.orElseThrow().maintenanceCountByVm();
  }

  /** Returns how many workers run in a pool. */
  public long workerCount(String pool) {
    return workersIn(pool).count();
  }

  /** Returns the ids of the workers in a pool. */
  public ImmutableList<String> workerIds(String pool) {
    return workersIn(pool).map(worker -> worker.id).collect(ImmutableList.toImmutableList());
  }

  /** Returns how many workers run in a pool on VMs of a zone. */
  public long workerCountInZone(String zone, String pool) {
    return workersIn(pool)
        .filter(worker -> zoneOf(vmByWorkerId.get(worker.id)).equals(zone))
        .count();
  }

  /** Returns how many workers of a pool run no attempt. */
  public long emptyWorkerCount(String pool) {
    return workersIn(pool).filter(worker -> worker.runningAttemptCount() == 0).count();
  }

  /**
   * Crashes a worker. 4.5 s later the row in which the platform lists it is deleted, unless it was
   * started again.
   */
  public void crashWorker(String id) {
    crashWorkerThatStaysListed(id);
    clock.runAfter(
        4_500,
        () -> {
          if (workers.get(id).crashed) {
            rowStore.deleteRow(WORKER_TABLE, "", id);
          }
        });
  }

  /** Crashes a worker whose entry other software or the platform keeps. */
  public void crashWorkerThatStaysListed(String id) {
    recordFault();
    workers.get(id).crash();
  }

  /** Returns the id of the worker with the most running attempts. */
  public String busiestWorkerId() {
    return workers.values().stream()
        .max(Comparator.comparingInt(FakeWorker::runningAttemptCount))
        .orElseThrow()
        .id;
  }

  /** Returns the name of the node that schedules and is not paused; empty if there is none. */
  public Optional<String> schedulingNodeName() {
    return nodes.values().stream()
        .filter(node -> !node.isPaused() && node.isScheduling())
        .map(SimNode::name)
        .findFirst();
  }

  /** Returns the name of the node that the lease's holder row names; empty if there is none. */
  public Optional<String> holderNode() {
    StoredRow row = rowStore.findRow(new RowKey("control", JobRows.MAIN_PARTITION, "holder"));
    return Optional.ofNullable(row)
        .map(holder -> Splitter.on(' ').splitToList(holder.value()).get(0));
  }

  /** Stores the submission row of a job, as an entry VM does before it accepts the job. */
  public JobSpec submit(String id, StepSpec... steps) {
    return submit(id, QUEUE, TEAM, steps);
  }

  /** As {@link #submit(String, StepSpec...)}, to an open queue. */
  public JobSpec submitToOpenQueue(String id, String queue, StepSpec... steps) {
    return submit(id, queue, /* team= */ "", steps);
  }

  private JobSpec submit(String id, String queue, String team, StepSpec... steps) {
    JobSpec job =
        new JobSpec(
            id,
            queue,
            layout.settings().queues().get(queue).pool(),
            team,
            "payload",
            ImmutableList.copyOf(steps),
            /* repetitions= */ 0,
            /* firstDueMillis= */ 0,
            /* intervalMillis= */ 0,
            clock.nowMillis(),
            Optional.of(QueueTerms.of(settings.queues().get(queue))));
    submittedJobs.put(id, job);
    guaranteeChecker.onSubmitted(job);
    RowKey key = JobRows.key(id, Kind.SUBMISSION);
    rowStore.putRow(key.table(), key.partition(), key.key(), id);
    return job;
  }

  /** Returns the key of a row of a job, which depends on the version that accepted the job. */
  public RowKey rowKey(String id, Kind kind) {
    boolean isInMain =
        jobsOfPreviousVersion.contains(id) && kind != Kind.SUBMISSION && kind != Kind.ENDED;
    return isInMain ? JobRows.decisionKey(JobRows.MAIN_PARTITION, id, kind) : JobRows.key(id, kind);
  }

  /**
   * As {@link #submit(String, StepSpec...)}, by an entry VM of a previous version, which stored the
   * decision rows of jobs in the main partition.
   */
  public JobSpec submitToPreviousVersion(String id, StepSpec... steps) {
    jobsOfPreviousVersion.add(id);
    return submit(id, steps);
  }

  /** Stores the cancellation row of a job if the job has no final state yet. */
  public void cancel(String id) {
    boolean hasEnded =
        rowStore.hasRow(rowKey(id, Kind.FINAL)) || rowStore.hasRow(rowKey(id, Kind.ENDED));
    if (!hasEnded) {
      RowKey key = rowKey(id, Kind.CANCELLATION);
      rowStore.putRow(key.table(), key.partition(), key.key(), "{}");
      guaranteeChecker.onCancelAcknowledged(id);
    }
  }

  /**
   * Returns the state of a job as callers see it. Adds a violation if this state is completed
   * before all tasks of the job are done, or if the job has no state.
   */
  public Optional<JobState> checkedState(String id) {
    ImmutableList.Builder<StoredRow> jobRows = ImmutableList.builder();
    for (Kind kind : Kind.values()) {
      StoredRow row = rowStore.findRow(rowKey(id, kind));
      if (row != null) {
        jobRows.add(row);
      }
    }
    Optional<JobState> state = JobRows.jobState(jobRows.build());
    JobSpec job = submittedJobs.get(id);
    if (state.equals(Optional.of(JobState.COMPLETED)) && !guaranteeChecker.allTasksDone(job)) {
      guaranteeChecker.addViolation(
          "FALSE_COMPLETION",
          "job " + id + " is reported as completed, but not all of its tasks are done");
    }
    if (state.isEmpty()) {
      guaranteeChecker.addViolation("LOST_JOB", "job " + id + " has no state");
    }
    return state;
  }

  /**
   * Returns a step of {@code count} tasks that need {@code cpuMillis} thousandths of a core and 100
   * MB each, and that may start when the steps with the numbers {@code earlierSteps} are done.
   */
  public static StepSpec step(int count, int cpuMillis, Integer... earlierSteps) {
    return stepOfMillis(500, count, cpuMillis, earlierSteps);
  }

  /** As {@link #step}, with tasks that are estimated to run for {@code estimatedMillis}. */
  public static StepSpec stepOfMillis(
      int estimatedMillis, int count, int cpuMillis, Integer... earlierSteps) {
    return new StepSpec(
        count,
        new Resources(cpuMillis, 100, 0),
        estimatedMillis,
        ImmutableList.copyOf(earlierSteps),
        /* gang= */ false,
        /* rackLocal= */ false,
        /* requiredLabel= */ "",
        /* dataRack= */ "",
        /* maxPerWorker= */ 0,
        /* speculative= */ false,
        /* checkpointing= */ false,
        /* longRunning= */ false,
        /* image= */ "",
        /* latencyTargetMillis= */ 0,
        /* backfill= */ false,
        /* maxUnavailable= */ 0);
  }

  /**
   * Returns the row formats of this fleet: the value of a submission row is the job's id, that of a
   * worker row is the worker's incarnation, pool, VM and the owner of its address, separated by
   * spaces.
   */
  RowFormats rowFormats() {
    return new RowFormats() {
      @Override
      public String workerTable() {
        return WORKER_TABLE;
      }

      @Override
      public Optional<WorkerEntry> decodeWorker(StoredRow row) {
        String id = row.key().key();
        List<String> values = Splitter.on(' ').splitToList(row.value());
        return Optional.of(
            new WorkerEntry(
                id,
                Long.parseLong(values.get(0)),
                values.get(1),
                InetSocketAddress.createUnresolved(HOST_PREFIX + values.get(3), 1),
                zoneOf(values.get(2)),
                values.get(2),
                /* rack= */ "r1",
                /* labels= */ ImmutableList.of("a", "r1"),
                capacityByIncarnation.getOrDefault(
                    Long.parseLong(values.get(0)), layout.workerCapacity()),
                drainingIncarnations.contains(Long.parseLong(values.get(0)))));
      }

      @Override
      public Either<Failure, JobSpec> decodeJob(String id, String rowValue) {
        JobSpec job = submittedJobs.get(rowValue);
        return job == null
            ? Either.left(
                Failure.of(
                    FailureType.REQUEST_MALFORMED, "the submission row holds no known job id"))
            : Either.right(job);
      }

      @Override
      public boolean hasDecisionPartition(String rowValue) {
        return !jobsOfPreviousVersion.contains(rowValue);
      }

      @Override
      public Put encodeWaveStatus(long wave, boolean completed) {
        return new Put(new RowKey("status", "", "wave/" + wave), Boolean.toString(completed));
      }
    };
  }

  /**
   * Attempts run as estimated or, depending on the task and the attempt, for 200 to 899 ms; times
   * the factor.
   */
  private final class FleetTaskBehavior implements FakeWorker.TaskBehavior {
    @Override
    public long runMillis(TaskId task, int attempt) {
      long usualMillis =
          layout.tasksRunAsEstimated()
              ? step(task).estimatedMillis()
              : 200L + Math.floorMod(task.hashCode() + 31 * attempt, 700);
      return taskTimeFactor * usualMillis;
    }

    @Override
    public boolean fails(TaskId task, int attempt, String worker) {
      return tasksThatAlwaysFail.contains(task) || workersThatFailAllTasks.contains(worker);
    }

    @Override
    public Resources resources(TaskId task) {
      return step(task).need();
    }

    @Override
    public int gangSize(TaskId task) {
      return step(task).gang() ? step(task).count() : 0;
    }

    private StepSpec step(TaskId task) {
      return submittedJobs.get(task.job()).steps().get(task.step());
    }
  }

  /** Runs the simulation for {@code millis} ms of simulated time. */
  public void runFor(long millis) {
    clock.advance(millis);
  }

  VmClient vmClient() {
    return vmPlatform.isPresent() ? vmPlatform.get() : new UnavailableVmClient();
  }

  /** Returns the client of the row store for a node. */
  RowStore storeFor(String node) {
    return rowStore.viewOf(node, disabledMechanisms);
  }
}
