package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.OverloadDeferral.InTimeJob;

/**
 * Assigns waiting tasks to workers in the order of their jobs' ranks, within the workers'
 * capacities and the teams' upper limits.
 */
final class Placement {
  /** A long-running task waits this long at most for the end of a quarantine, in ms. */
  private static final long MAX_WAIT_FOR_QUARANTINED_MILLIS = 2_000;

  private final PublishedConfig config;
  private final WorkerRegistry workers;
  private final JobOrder jobOrder;
  private final DurationModel durationModel;
  private final Quarantine quarantine;
  private final AdviceTicketCache adviceTickets;
  private final Predicate<Worker> isSurplus;
  private final BiConsumer<Task, Worker> holdRoom;
  private final long longestOwnLeaseMillis;
  private final EventLog log;
  private final OverloadDeferral overloadDeferral;
  private Backlog backlog = new Backlog();
  private UnplaceableNeeds unplaceableNeeds = new UnplaceableNeeds();

  /**
   * Creates an instance.
   *
   * @param holdRoom keeps room for a long-running task on a worker that is asked for an answer
   * @param longestOwnLeaseMillis how long a lease that this scheduler grants may last, in true time
   */
  Placement(
      PublishedConfig config,
      WorkerRegistry workers,
      DurationModel durationModel,
      Quarantine quarantine,
      AdviceTicketCache adviceTickets,
      Predicate<Worker> isSurplus,
      BiConsumer<Task, Worker> holdRoom,
      long longestOwnLeaseMillis,
      EventLog log) {
    this.config = config;
    this.workers = workers;
    this.jobOrder = new JobOrder(durationModel);
    this.durationModel = durationModel;
    this.quarantine = quarantine;
    this.adviceTickets = adviceTickets;
    this.isSurplus = isSurplus;
    this.holdRoom = holdRoom;
    this.longestOwnLeaseMillis = longestOwnLeaseMillis;
    this.log = log;
    this.overloadDeferral = new OverloadDeferral(config, durationModel, log);
  }

  /** A job in one placement round, with its queue, its rank and the tasks that can start. */
  private record Candidate(Job job, QueueConfig queue, JobOrder.Rank rank, List<Task> tasks) {
    InTimeJob inTimeJob() {
      return new InTimeJob(job, queue, rank.sortKeyMillis());
    }

    Candidate deferred(int position) {
      return new Candidate(job, queue, rank.deferred(position), tasks);
    }
  }

  /** Returns the backlog that the last placement round left. */
  Backlog backlog() {
    return backlog;
  }

  /**
   * Assigns tasks that can start to workers, and returns the jobs of the assigned tasks. Late and
   * excess jobs get no workers that {@link SurplusWorkers} has chosen for another pool.
   */
  Set<Job> placeWaitingTasks(Collection<Job> jobs, long nowMillis, long wallMillis) {
    backlog = new Backlog();
    unplaceableNeeds = new UnplaceableNeeds();
    List<Candidate> candidates = new ArrayList<>();
    for (Job job : jobs) {
      if (job.state.isFinal() || job.cancelRequested) {
        continue;
      }
      List<Task> tasks = job.startableTasks(nowMillis, wallMillis);
      if (!tasks.isEmpty()) {
        QueueConfig queue = config.queueOf(job.spec);
        JobOrder.Rank rank = jobOrder.rankOf(job, queue, nowMillis, wallMillis);
        candidates.add(new Candidate(job, queue, rank, tasks));
      }
    }
    Map<String, List<Worker>> usableByPool = new HashMap<>();
    for (Candidate candidate : candidates) {
      usableByPool.computeIfAbsent(
          candidate.queue().pool(), pool -> usableWorkers(pool, nowMillis));
    }
    Set<Job> changedJobs = new LinkedHashSet<>();
    Map<String, List<Worker>> forInTimeByPool = new HashMap<>();
    Map<String, List<Worker>> nonSurplusByPool = new HashMap<>();
    usableByPool.forEach(
        (pool, usable) -> {
          forInTimeByPool.put(
              pool, usable.stream().filter(worker -> !worker.isSurplusForLongRunning).toList());
          nonSurplusByPool.put(pool, usable.stream().filter(isSurplus.negate()).toList());
        });
    for (Candidate candidate : sortByRank(candidates, usableByPool, nowMillis, wallMillis)) {
      candidate.job().justifiesMoreWorkers = candidate.rank().justifiesMoreWorkers();
      Map<String, List<Worker>> workersByPool =
          !candidate.rank().justifiesMoreWorkers()
              ? nonSurplusByPool
              : candidate.job().isLongRunning ? usableByPool : forInTimeByPool;
      if (placeCandidate(candidate, workersByPool.get(candidate.queue().pool()), nowMillis)) {
        changedJobs.add(candidate.job());
        overloadDeferral.recordStart(candidate.job(), candidate.queue(), nowMillis);
      }
    }
    adviceTickets.callIfDue(nowMillis);
    return changedJobs;
  }

  /**
   * Sorts candidates by rank. Jobs that {@link OverloadDeferral} defers, because their pool can't
   * serve all jobs in time, are ranked later.
   */
  private List<Candidate> sortByRank(
      List<Candidate> candidates,
      Map<String, List<Worker>> usableByPool,
      long nowMillis,
      long wallMillis) {
    candidates.sort(Comparator.comparing(Candidate::rank));
    Map<String, List<InTimeJob>> inTimeByPool = new HashMap<>();
    for (Candidate candidate : candidates) {
      if (candidate.rank().isInTime()) {
        inTimeByPool
            .computeIfAbsent(candidate.queue().pool(), pool -> new ArrayList<>())
            .add(candidate.inTimeJob());
      }
    }
    Map<String, Integer> deferredPosition = new HashMap<>();
    inTimeByPool.forEach(
        (pool, jobs) ->
            overloadDeferral
                .deferredJobs(pool, jobs, usableByPool.get(pool), nowMillis, wallMillis)
                .forEach(id -> deferredPosition.put(id, deferredPosition.size())));
    List<Candidate> ranked = new ArrayList<>(candidates.size());
    for (Candidate candidate : candidates) {
      Integer position = deferredPosition.get(candidate.job().spec.id());
      ranked.add(position == null ? candidate : candidate.deferred(position));
    }
    ranked.sort(Comparator.comparing(Candidate::rank));
    return ranked;
  }

  /** Returns the workers of a pool that may get new tasks. */
  private List<Worker> usableWorkers(String pool, long nowMillis) {
    List<Worker> result = new ArrayList<>();
    for (Worker worker : workers.listedInPool(pool)) {
      if (WorkerChoice.isUsable(worker, nowMillis)
          && !quarantine.isQuarantined(worker, nowMillis)) {
        result.add(worker);
      }
    }
    return result;
  }

  private boolean placeCandidate(Candidate candidate, List<Worker> available, long nowMillis) {
    boolean isAnyPlaced = false;
    Map<Long, List<Task>> tasksByStep = new LinkedHashMap<>();
    for (Task task : candidate.tasks()) {
      // The occurrence in the upper bits, the step in the lower ones.
      long stepKey = ((long) task.id.occurrence() << Integer.SIZE) + task.id.step();
      tasksByStep.computeIfAbsent(stepKey, key -> new ArrayList<>()).add(task);
    }
    for (List<Task> tasks : tasksByStep.values()) {
      StepSpec step = tasks.get(0).step;
      if (step.gang()) {
        isAnyPlaced |= placeGang(candidate, tasks, available, nowMillis);
      } else if (step.longRunning()) {
        isAnyPlaced |= placeLongRunning(candidate, tasks, available, nowMillis);
      } else {
        isAnyPlaced |= placeIndependently(candidate, tasks, available, nowMillis);
      }
    }
    return isAnyPlaced;
  }

  private boolean placeIndependently(
      Candidate candidate, List<Task> tasks, List<Worker> available, long nowMillis) {
    ImmutableMap<String, String> tickets = ticketsFor(candidate, tasks, available, nowMillis);
    // The tasks of a step need the same, so workers without room for the first are left out.
    List<Worker> fitting =
        unplaceableNeeds.contains(tasks.get(0), available)
            ? List.of()
            : workersWithTickets(available, tickets, candidate.queue()).stream()
                .filter(worker -> WorkerChoice.fits(tasks.get(0), worker))
                .toList();
    Resources teamLimit = config.upperLimitOf(candidate.job().spec.team());
    boolean isAnyPlaced = false;
    for (Task task : tasks) {
      if (!candidate.job().teamUsage.admits(task.teamResources(), teamLimit)) {
        break;
      }
      Optional<Worker> worker = WorkerChoice.chooseWorker(task, fitting);
      if (worker.isEmpty()) {
        if (candidate.queue().advice().isEmpty()) {
          unplaceableNeeds.add(task, available);
        }
        onUnplaced(candidate, tasks.subList(tasks.indexOf(task), tasks.size()), tickets);
        adviceTickets.requestIfRequired(task, candidate.queue(), available, nowMillis);
        break;
      }
      assign(task, worker.get(), task.attempt + 1, tickets);
      isAnyPlaced = true;
    }
    return isAnyPlaced;
  }

  /** Assigns long-running tasks of one step, for each of which room may be held elsewhere. */
  private boolean placeLongRunning(
      Candidate candidate, List<Task> tasks, List<Worker> available, long nowMillis) {
    ImmutableMap<String, String> tickets = ticketsFor(candidate, tasks, available, nowMillis);
    List<Worker> eligible = workersWithTickets(available, tickets, candidate.queue());
    Resources teamLimit = config.upperLimitOf(candidate.job().spec.team());
    List<Task> unplaced = new ArrayList<>();
    boolean isAnyPlaced = false;
    for (Task task : tasks) {
      if (!candidate.job().teamUsage.admits(task.teamResources(), teamLimit)) {
        break;
      }
      Optional<Worker> worker =
          chooseAnsweringFirst(task, eligible, nowMillis)
              .or(() -> lastResortFor(task, candidate.queue(), tickets, nowMillis));
      if (worker.isPresent() && !worker.get().hasJustAnswered(nowMillis)) {
        // An idle worker is not asked otherwise, and may have been lost unnoticed.
        worker.get().wantAnswer(nowMillis);
        holdRoom.accept(task, worker.get());
      } else if (worker.isPresent()) {
        assign(task, worker.get(), task.attempt + 1, tickets);
        isAnyPlaced = true;
      } else {
        unplaced.add(task);
      }
    }
    if (!unplaced.isEmpty()) {
      onUnplaced(candidate, unplaced, tickets);
      adviceTickets.requestIfRequired(unplaced.get(0), candidate.queue(), available, nowMillis);
    }
    return isAnyPlaced;
  }

  /**
   * Chooses a worker, if possible none that was asked for an answer and has not given it. Among
   * others that are equal, one is preferred that holds no lease longer than this scheduler grants.
   */
  private Optional<Worker> chooseAnsweringFirst(Task task, List<Worker> eligible, long nowMillis) {
    // If one of these is lost, its tasks wait for leases that it may have from elsewhere.
    Predicate<Worker> mayHoldLongLease =
        worker -> worker.lease().latestExpiryMillis() > nowMillis + longestOwnLeaseMillis;
    List<Worker> prompt =
        eligible.stream().filter(worker -> !worker.isLateToAnswer(nowMillis)).toList();
    return WorkerChoice.chooseWorker(task, prompt, mayHoldLongLease)
        .or(() -> WorkerChoice.chooseWorker(task, eligible, mayHoldLongLease));
  }

  /**
   * Returns a quarantined worker for a long-running task that has waited for some time. It may fail
   * there too, but nothing else is done for it meanwhile.
   */
  private Optional<Worker> lastResortFor(
      Task task, QueueConfig queue, ImmutableMap<String, String> tickets, long nowMillis) {
    long waitingSinceMillis = Math.max(task.endedMillis, task.job.firstSeenMillis);
    if (nowMillis - waitingSinceMillis < MAX_WAIT_FOR_QUARANTINED_MILLIS) {
      return Optional.empty();
    }
    List<Worker> quarantined =
        workers.listedInPool(queue.pool()).stream()
            .filter(worker -> WorkerChoice.isUsable(worker, nowMillis))
            .filter(worker -> quarantine.isQuarantined(worker, nowMillis))
            .toList();
    return WorkerChoice.chooseWorker(task, workersWithTickets(quarantined, tickets, queue));
  }

  /**
   * Assigns either all tasks of a gang, with the same attempt number, or none. Assigns none while
   * some task of the gang cannot start yet.
   */
  private boolean placeGang(
      Candidate candidate, List<Task> tasks, List<Worker> available, long nowMillis) {
    if (tasks.size() < tasks.get(0).step.count()) {
      return false;
    }
    ImmutableMap<String, String> tickets = ticketsFor(candidate, tasks, available, nowMillis);
    List<Worker> eligible = workersWithTickets(available, tickets, candidate.queue());
    if (tasks.get(0).step.rackLocal()) {
      // One rack is preferred; without room in any, the gang is spread over several.
      Set<String> racks = new HashSet<>();
      eligible.forEach(worker -> racks.add(worker.entry.rack()));
      for (String rack : racks) {
        List<Worker> inRack =
            eligible.stream().filter(worker -> worker.entry.rack().equals(rack)).toList();
        if (tryPlaceGang(candidate.job(), tasks, inRack, tickets)) {
          return true;
        }
      }
    }
    boolean isPlaced = tryPlaceGang(candidate.job(), tasks, eligible, tickets);
    if (!isPlaced) {
      onUnplaced(candidate, tasks, tickets);
      adviceTickets.requestIfRequired(tasks.get(0), candidate.queue(), available, nowMillis);
    }
    return isPlaced;
  }

  private ImmutableMap<String, String> ticketsFor(
      Candidate candidate, List<Task> tasks, List<Worker> available, long nowMillis) {
    return candidate.queue().advice().isEmpty()
        ? ImmutableMap.of()
        : adviceTickets.ticketsFor(tasks.get(0), available, nowMillis);
  }

  /** Adds tasks to the backlog, unless no worker is known that may run them. */
  private void onUnplaced(
      Candidate candidate, List<Task> tasks, ImmutableMap<String, String> tickets) {
    if (candidate.queue().advice().isEmpty() || !tickets.isEmpty()) {
      addToBacklog(candidate, tasks);
    }
  }

  /**
   * Adds tasks of one step to the backlog of their pool, for which {@link PoolAutoscaler} may add
   * VMs. Those of late and excess jobs are left out if they could not start with more VMs either:
   * such jobs may wait forever.
   */
  private void addToBacklog(Candidate candidate, List<Task> tasks) {
    String pool = candidate.queue().pool();
    if (candidate.rank().justifiesMoreWorkers()) {
      tasks.forEach(task -> backlog.add(pool, task, candidate.queue().priority() == 0));
    } else if (workers.hasKindFor(tasks.get(0).step)) {
      double expectedMillis =
          durationModel.expectedMillis(candidate.queue().name(), tasks.get(0).step);
      tasksWithinTeamLimit(candidate.job(), tasks)
          .forEach(task -> backlog.addLate(pool, task, expectedMillis));
    }
  }

  /** Returns the first of the tasks, as many as the upper limit of the job's team admits. */
  private List<Task> tasksWithinTeamLimit(Job job, List<Task> tasks) {
    Resources teamLimit = config.upperLimitOf(job.spec.team());
    Resources sum = Resources.NONE;
    int admitted = 0;
    for (Task task : tasks) {
      sum = sum.plus(task.teamResources());
      if (!job.teamUsage.admits(sum, teamLimit)) {
        break;
      }
      admitted++;
    }
    return tasks.subList(0, admitted);
  }

  private boolean tryPlaceGang(
      Job job, List<Task> tasks, List<Worker> available, ImmutableMap<String, String> tickets) {
    Resources teamLimit = config.upperLimitOf(job.spec.team());
    int attempt = tasks.stream().mapToInt(task -> task.attempt).max().orElse(0) + 1;
    List<Task> assigned = new ArrayList<>();
    for (Task task : tasks) {
      Optional<Worker> worker =
          job.teamUsage.admits(task.teamResources(), teamLimit)
              ? WorkerChoice.chooseWorker(task, available)
              : Optional.empty();
      if (worker.isEmpty()) {
        // Nothing is committed yet, so the attempt number can be used again.
        assigned.forEach(
            member -> {
              member.release(TaskPhase.WAITING, member.endedMillis);
              member.attempt = attempt - 1;
            });
        return false;
      }
      task.assign(worker.get(), attempt, tickets.getOrDefault(worker.get().entry.id(), ""));
      assigned.add(task);
    }
    assigned.forEach(this::logAssignment);
    return true;
  }

  /** Returns the workers with a ticket of the advice service, or all if the queue requires none. */
  private static List<Worker> workersWithTickets(
      List<Worker> available, ImmutableMap<String, String> tickets, QueueConfig queue) {
    return queue.advice().isEmpty()
        ? available
        : available.stream().filter(worker -> tickets.containsKey(worker.entry.id())).toList();
  }

  private void assign(Task task, Worker worker, int attempt, ImmutableMap<String, String> tickets) {
    task.assign(worker, attempt, tickets.getOrDefault(worker.entry.id(), ""));
    logAssignment(task);
  }

  private void logAssignment(Task task) {
    log.log(
        "task.assigned",
        "job",
        task.id.job(),
        "occurrence",
        task.id.occurrence(),
        "step",
        task.id.step(),
        "index",
        task.id.index(),
        "attempt",
        task.attempt,
        "worker",
        task.worker.entry.id());
  }
}
