package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.scheduler.relocation.DestinationPlan;
import org.sassafraslink.scheduler.relocation.DestinationPlan.Destination;
import org.sassafraslink.scheduler.relocation.DestinationPlan.Relocation;
import org.sassafraslink.scheduler.relocation.DestinationPlan.StepKey;

/**
 * Holds room for long-running tasks that wait for a worker or whose worker is drained or lost.
 *
 * <p>Planned work drains a worker only after each of its long-running tasks has a destination, and
 * stops a task only while its destination could start it. What is held there is not given to other
 * tasks, and the worker is neither drained nor moved. Where no worker has room, the pool gets VMs
 * for the tasks, and workers that are drained but still up are opened again for those that wait.
 */
final class LongRunningRelocations {
  /** Time between two plans, in ms. */
  private static final long INTERVAL_MILLIS = 50;

  /** A request to drain a worker lapses unless it is repeated within this time, in ms. */
  private static final long REQUEST_VALIDITY_MILLIS = 300;

  /** For how long a worker is the one of its pool that is to be drained next, in ms. */
  private static final long TURN_MILLIS = 3_000;

  /** Time from the start of a worker's turn to its next one while others can have theirs, in ms. */
  private static final long TURN_PAUSE_MILLIS = 15_000;

  /**
   * Room that short tasks occupy counts if they should end within this time, in ms, in which a VM
   * could be moved to the pool instead. One that should have ended so long ago is not relied on.
   */
  private static final long SOON_MILLIS = 2_000;

  /** A worker to drain, when its turn began and when it was last requested, monotonic ms. */
  private record DrainRequest(Worker worker, long sinceMillis, long requestedMillis) {}

  private final PublishedConfig config;
  private final WorkerRegistry workers;
  private final Quarantine quarantine;
  private final AdviceTicketCache adviceTickets;
  private final DurationModel durationModel;

  /** The last plan for each pool with tasks that wait or leave their worker. */
  private ImmutableMap<String, DestinationPlan> planByPool = ImmutableMap.of();

  /** By pool, the waiting tasks that no open worker had room for when the last plan was made. */
  private ImmutableMap<String, ImmutableList<Relocation>> blockedByPool = ImmutableMap.of();

  /** By pool, the open worker that planned work will drain once its tasks have destinations. */
  private final Map<String, DrainRequest> requestedDrains = new HashMap<>();

  /** When the last turn of a worker began, monotonic ms. */
  private final Map<Worker, Long> lastTurnMillis = new HashMap<>();

  /** The tasks for which room is held. */
  private final Set<Task> tasksWithDestination = new HashSet<>();

  private long nextPlanMillis;

  LongRunningRelocations(
      PublishedConfig config,
      WorkerRegistry workers,
      Quarantine quarantine,
      AdviceTicketCache adviceTickets,
      DurationModel durationModel) {
    this.config = config;
    this.workers = workers;
    this.quarantine = quarantine;
    this.adviceTickets = adviceTickets;
    this.durationModel = durationModel;
  }

  /** Discards all state, because this process has just acquired the scheduling lease. */
  void reset() {
    planByPool = ImmutableMap.of();
    blockedByPool = ImmutableMap.of();
    requestedDrains.clear();
    lastTurnMillis.clear();
    tasksWithDestination.clear();
    nextPlanMillis = 0;
  }

  /**
   * Makes a new plan if one is due.
   *
   * @param mayReopen whether a worker is drained for planned work and its VM stays up for now
   * @param reopen opens such a worker for tasks again
   */
  void planIfDue(
      Collection<Job> jobs,
      long nowMillis,
      long wallMillis,
      Predicate<Worker> mayReopen,
      Consumer<Worker> reopen) {
    if (nowMillis < nextPlanMillis) {
      return;
    }
    nextPlanMillis = nowMillis + INTERVAL_MILLIS;
    requestedDrains
        .values()
        .removeIf(request -> nowMillis - request.requestedMillis() > REQUEST_VALIDITY_MILLIS);
    lastTurnMillis.values().removeIf(millis -> nowMillis - millis > TURN_PAUSE_MILLIS);
    Map<String, List<Task>> waitingByPool = new LinkedHashMap<>();
    Map<String, List<Task>> leavingByPool = new LinkedHashMap<>();
    Map<TeamUsage, Resources> waitingByTeam = new HashMap<>();
    for (Job job : jobs) {
      if (job.isLongRunning && !job.state.isFinal() && !job.cancelRequested) {
        String pool = config.queueOf(job.spec).pool();
        job.startableTasks(nowMillis, wallMillis).stream()
            .filter(task -> task.step.longRunning())
            .filter(task -> isAdmittedByTeamLimit(task, waitingByTeam))
            .forEach(task -> add(waitingByPool, pool, task));
        job.forEachTask(
            task -> {
              if (isLeaving(task, nowMillis)) {
                add(leavingByPool, pool, task);
              }
            });
      }
    }
    Set<String> pools = new LinkedHashSet<>(waitingByPool.keySet());
    pools.addAll(leavingByPool.keySet());
    ImmutableMap.Builder<String, DestinationPlan> plans = ImmutableMap.builder();
    ImmutableMap.Builder<String, ImmutableList<Relocation>> blocked = ImmutableMap.builder();
    Set<Task> planned = new HashSet<>();
    for (String pool : pools) {
      List<Task> waiting = waitingByPool.getOrDefault(pool, List.of());
      List<Task> tasks = new ArrayList<>(waiting);
      tasks.addAll(leavingByPool.getOrDefault(pool, List.of()));
      DestinationPlan plan =
          planFor(pool, waiting, leavingByPool.getOrDefault(pool, List.of()), nowMillis);
      plans.put(pool, plan);
      planned.addAll(tasks);
      tasks.forEach(task -> applyDestination(task, plan));
      ImmutableList<Relocation> blockedInPool = blocked(pool, waiting, nowMillis);
      blocked.put(pool, blockedInPool);
      reopenWorkers(pool, blockedInPool, mayReopen, reopen);
    }
    planByPool = plans.buildOrThrow();
    blockedByPool = blocked.buildOrThrow();
    for (Task task : List.copyOf(tasksWithDestination)) {
      if (!planned.contains(task)) {
        task.changeDestination(Optional.empty());
      }
    }
    tasksWithDestination.removeIf(task -> task.destination == null);
  }

  private static void add(Map<String, List<Task>> tasksByPool, String pool, Task task) {
    tasksByPool.computeIfAbsent(pool, name -> new ArrayList<>()).add(task);
  }

  /** Returns whether a team's limit admits a waiting task besides those before it, and adds it. */
  private boolean isAdmittedByTeamLimit(Task task, Map<TeamUsage, Resources> waitingByTeam) {
    TeamUsage team = task.job.teamUsage;
    Resources sum = waitingByTeam.getOrDefault(team, Resources.NONE).plus(task.teamResources());
    boolean isAdmitted = team.admits(sum, config.upperLimitOf(task.job.spec.team()));
    if (isAdmitted) {
      waitingByTeam.put(team, sum);
    }
    return isAdmitted;
  }

  /**
   * Returns whether a task will soon need another worker: its own is or will be drained, or is
   * probably lost and its lease ends soon. Room that is held for longer is of use to nobody.
   */
  private boolean isLeaving(Task task, long nowMillis) {
    Worker worker = task.worker;
    return worker != null
        && task.step.longRunning()
        && (!worker.cordonReason.isEmpty()
            || worker.entry.draining()
            || isDrainRequested(worker)
            || (isProbablyLost(worker, nowMillis)
                && worker.isLeaseExpired(nowMillis + SOON_MILLIS)));
  }

  private static boolean isProbablyLost(Worker worker, long nowMillis) {
    return !worker.isInPool() || worker.isSilentSince(nowMillis - Worker.REPORT_VALIDITY_MILLIS);
  }

  private boolean isDrainRequested(Worker worker) {
    DrainRequest request = requestedDrains.get(worker.entry.pool());
    return request != null && request.worker() == worker;
  }

  private DestinationPlan planFor(
      String pool, List<Task> waiting, List<Task> leaving, long nowMillis) {
    List<Worker> open = openWorkers(pool, nowMillis);
    List<Destination> destinations =
        open.stream()
            .filter(worker -> !isDrainRequested(worker))
            .map(worker -> destinationOf(worker, nowMillis))
            .toList();
    return DestinationPlan.of(
        destinations,
        relocationsOf(waiting, open, nowMillis),
        relocationsOf(leaving, open, nowMillis));
  }

  private List<Relocation> relocationsOf(List<Task> tasks, List<Worker> open, long nowMillis) {
    return tasks.stream().flatMap(task -> relocationOf(task, open, nowMillis).stream()).toList();
  }

  private List<Worker> openWorkers(String pool, long nowMillis) {
    return workers.listedInPool(pool).stream().filter(worker -> isOpen(worker, nowMillis)).toList();
  }

  private boolean isOpen(Worker worker, long nowMillis) {
    return WorkerChoice.isUsable(worker, nowMillis) && !quarantine.isQuarantined(worker, nowMillis);
  }

  /** Returns the relocation of a task; empty if no worker is known to be approved for it. */
  private Optional<Relocation> relocationOf(Task task, List<Worker> open, long nowMillis) {
    QueueConfig queue = config.queueOf(task.job.spec);
    boolean needsTicket = queue.advice().isPresent();
    ImmutableMap<String, String> tickets =
        needsTicket ? adviceTickets.ticketsFor(task, open, nowMillis) : ImmutableMap.of();
    if (needsTicket) {
      adviceTickets.requestIfRequired(task, queue, open, nowMillis);
      if (tickets.isEmpty()) {
        return Optional.empty();
      }
    }
    Predicate<String> isEligible =
        id ->
            (!needsTicket || tickets.containsKey(id))
                && workers
                    .findById(id)
                    .map(found -> found.hasRequiredLabel(task.step))
                    .orElse(false);
    return Optional.of(
        new Relocation(
            task.id,
            task.step.reservedResources(),
            task.step.maxPerWorker(),
            isEligible,
            !task.step.requiredLabel().isEmpty(),
            Optional.ofNullable(task.destination).map(worker -> worker.entry.id())));
  }

  private Destination destinationOf(Worker worker, long nowMillis) {
    Resources lasting = Resources.NONE;
    Resources all = Resources.NONE;
    Map<StepKey, Integer> tasksByStep = new HashMap<>();
    for (Task task : worker.tasks()) {
      all = all.plus(task.step.reservedResources());
      if (task.step.longRunning() || !endsSoon(task, nowMillis)) {
        lasting = lasting.plus(task.step.reservedResources());
      }
      if (task.step.longRunning()) {
        tasksByStep.merge(StepKey.of(task.id), 1, Integer::sum);
      }
    }
    Resources capacity = worker.entry.capacity();
    return new Destination(
        worker.entry.id(),
        capacity.minus(all),
        capacity.minus(lasting),
        ImmutableMap.copyOf(tasksByStep));
  }

  private void applyDestination(Task task, DestinationPlan plan) {
    Optional<Worker> destination =
        Optional.ofNullable(plan.workerByTask().get(task.id)).flatMap(workers::findById);
    task.changeDestination(destination);
    if (destination.isPresent()) {
      tasksWithDestination.add(task);
    }
  }

  /** Holds room for a waiting task until the next plan. */
  void hold(Task task, Worker worker) {
    task.changeDestination(Optional.of(worker));
    tasksWithDestination.add(task);
  }

  private boolean endsSoon(Task task, long nowMillis) {
    double expectedMillis = durationModel.expectedMillis(task.job.spec.queue(), task.step);
    double elapsedMillis = task.confirmedMillis > 0 ? (double) nowMillis - task.confirmedMillis : 0;
    return Math.abs(expectedMillis - elapsedMillis) <= SOON_MILLIS;
  }

  /** Returns the relocations of the tasks that could not start on their destinations now. */
  private ImmutableList<Relocation> blocked(String pool, List<Task> waiting, long nowMillis) {
    List<Task> blocked =
        waiting.stream().filter(task -> !hasRoomAtDestination(task, nowMillis)).toList();
    return ImmutableList.copyOf(relocationsOf(blocked, openWorkers(pool, nowMillis), nowMillis));
  }

  /** Opens drained workers of a pool again on which waiting tasks could start now. */
  private void reopenWorkers(
      String pool,
      ImmutableList<Relocation> waiting,
      Predicate<Worker> mayReopen,
      Consumer<Worker> reopen) {
    if (waiting.isEmpty()) {
      return;
    }
    List<Worker> drained =
        workers.listedInPool(pool).stream()
            .filter(worker -> canAnswer(worker) && !worker.zoneEvacuated)
            .filter(mayReopen)
            .toList();
    List<Destination> destinations =
        drained.stream().map(LongRunningRelocations::presentRoomOf).toList();
    Set<String> needed =
        Set.copyOf(DestinationPlan.of(destinations, waiting, List.of()).workerByTask().values());
    drained.stream().filter(worker -> needed.contains(worker.entry.id())).forEach(reopen);
  }

  /** Returns a worker as a destination without the room that short tasks occupy. */
  private static Destination presentRoomOf(Worker worker) {
    Map<StepKey, Integer> tasksByStep = new HashMap<>();
    for (Task task : worker.tasks()) {
      tasksByStep.merge(StepKey.of(task.id), 1, Integer::sum);
    }
    Resources free = worker.freeResources();
    return new Destination(worker.entry.id(), free, free, ImmutableMap.copyOf(tasksByStep));
  }

  /**
   * Returns whether planned work may begin to drain an open worker. If its long-running tasks have
   * no destinations yet, the next plans look for them, for one worker of each pool at a time.
   */
  boolean mayDrain(Worker worker, long nowMillis) {
    if (worker.hasHolds() || isNeeded(worker, nowMillis)) {
      return false;
    }
    if (worker.tasks().stream()
        .filter(task -> task.step.longRunning())
        .allMatch(task -> hasPlace(task, nowMillis))) {
      return true;
    }
    requestDrain(worker, nowMillis);
    return false;
  }

  private void requestDrain(Worker worker, long nowMillis) {
    String pool = worker.entry.pool();
    DrainRequest present = requestedDrains.get(pool);
    if (present != null && present.worker() == worker) {
      requestedDrains.put(pool, new DrainRequest(worker, present.sinceMillis(), nowMillis));
    } else if (present == null
        || (nowMillis - present.sinceMillis() > TURN_MILLIS
            && !lastTurnMillis.containsKey(worker))) {
      requestedDrains.put(pool, new DrainRequest(worker, nowMillis, nowMillis));
      lastTurnMillis.put(worker, nowMillis);
    }
  }

  /** Returns whether a worker answers, as far as is known, and stays in its pool. */
  private static boolean canAnswer(Worker worker) {
    return worker.isInPool() && !worker.entry.draining() && worker.consecutiveCallFailures == 0;
  }

  /** Returns whether a task without a place could run on a worker, which may not have reported. */
  private boolean isNeeded(Worker worker, long nowMillis) {
    String pool = worker.entry.pool();
    DestinationPlan plan = planByPool.get(pool);
    if (plan == null || !worker.isOpenForTasks() || !canAnswer(worker)) {
      return false;
    }
    ImmutableList<Relocation> blocked = blockedByPool.get(pool);
    return (!blocked.isEmpty() && blocked.stream().anyMatch(presentRoomOf(worker)::suits))
        || (!plan.withoutPlace().isEmpty()
            && plan.withoutPlace().stream()
                .filter(relocation -> worker.findTask(relocation.task()) == null)
                .anyMatch(destinationOf(worker, nowMillis)::suits));
  }

  /** Returns whether a task could start now on its destination, which has responded recently. */
  boolean hasPlace(Task task, long nowMillis) {
    return hasRoomAtDestination(task, nowMillis) && task.destination.hasRecentReport(nowMillis);
  }

  private boolean hasRoomAtDestination(Task task, long nowMillis) {
    Worker destination = task.destination;
    return destination != null
        && isOpen(destination, nowMillis)
        && WorkerChoice.fits(task, destination);
  }

  /** Returns how many more VMs a pool needs for its tasks without a place. */
  int workersToAdd(String pool, Resources vmCapacity) {
    DestinationPlan plan = planByPool.get(pool);
    return plan == null ? 0 : plan.workersToAdd(vmCapacity);
  }

  /** Returns how many tasks of a pool wait or run on drained workers and have no place. */
  int tasksWithoutPlace(String pool) {
    DestinationPlan plan = planByPool.get(pool);
    return plan == null ? 0 : plan.withoutPlace().size();
  }
}
