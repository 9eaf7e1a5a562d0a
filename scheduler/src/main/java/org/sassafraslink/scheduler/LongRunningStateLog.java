package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.relocation.Absences;
import org.sassafraslink.scheduler.relocation.Absences.Absence;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis.AwayTask;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis.PoolWorker;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis.Progress;
import org.sassafraslink.scheduler.relocation.AwayReason;
import org.sassafraslink.scheduler.relocation.DestinationPlan.StepKey;

/**
 * Writes one log line a second for each pool with long-running tasks that do not run although they
 * should, or that have no place to run next: how many, for how long, and why.
 *
 * <p>All methods must be called on the scheduler's thread, except {@link #lastSecond}.
 */
final class LongRunningStateLog {
  private static final long INTERVAL_MILLIS = 1_000;

  /** Looks up tickets, as {@link AdviceTicketCache#ticketsFor} does. */
  @FunctionalInterface
  interface KnownTickets {
    ImmutableMap<String, String> ticketsFor(Task task, List<Worker> workers, long nowMillis);
  }

  private final EventLog log;
  private final PublishedConfig config;
  private final Function<String, List<Worker>> listedInPool;
  private final Quarantine quarantine;
  private final KnownTickets knownTickets;
  private final ToIntFunction<String> tasksWithoutPlace;

  private volatile Absences lastSecond = Absences.NONE;

  private long takeoverMillis;

  /** When the next lines are due, monotonic ms; 0 before the first call since the reset. */
  private long nextLogMillis;

  LongRunningStateLog(
      EventLog log,
      PublishedConfig config,
      Function<String, List<Worker>> listedInPool,
      Quarantine quarantine,
      KnownTickets knownTickets,
      ToIntFunction<String> tasksWithoutPlace) {
    this.log = log;
    this.config = config;
    this.listedInPool = listedInPool;
    this.quarantine = quarantine;
    this.knownTickets = knownTickets;
    this.tasksWithoutPlace = tasksWithoutPlace;
  }

  /**
   * Discards all state, because this process has acquired or lost the scheduling lease.
   *
   * @param newTakeoverMillis when it was acquired, monotonic ms
   */
  void reset(long newTakeoverMillis) {
    takeoverMillis = newTakeoverMillis;
    lastSecond = Absences.NONE;
    nextLogMillis = 0;
  }

  /** Returns the tasks that were away at the last look. May be called on any thread. */
  Absences lastSecond() {
    return lastSecond;
  }

  /**
   * Writes the lines if a second has passed since the last ones, or since the reset: before, most
   * workers have not reported to this scheduler which tasks they run.
   */
  void writeIfDue(Collection<Job> jobs, long nowMillis, long wallMillis) {
    if (nextLogMillis == 0) {
      nextLogMillis = nowMillis + INTERVAL_MILLIS;
    }
    if (nowMillis < nextLogMillis || !config.hasSettings()) {
      return;
    }
    nextLogMillis = nowMillis + INTERVAL_MILLIS;
    Pass pass = new Pass(nowMillis, wallMillis);
    for (Job job : jobs) {
      if (job.isLongRunning && !job.state.isFinal() && !job.cancelRequested) {
        pass.add(job);
      }
    }
    for (String pool : config.settings().map(FleetSettings::pools).orElseThrow().keySet()) {
      Absences absences = Absences.of(pass.absencesByPool.getOrDefault(pool, List.of()));
      int withoutPlace = tasksWithoutPlace.applyAsInt(pool);
      if (absences.count() > 0 || withoutPlace > 0) {
        writeLine(pool, absences, withoutPlace);
      }
    }
    lastSecond =
        Absences.of(pass.absencesByPool.values().stream().flatMap(Collection::stream).toList());
  }

  private void writeLine(String pool, Absences absences, int withoutPlace) {
    List<Object> fields = new ArrayList<>();
    fields.addAll(List.of("pool", pool, "away", absences.count()));
    fields.addAll(List.of("longestMillis", absences.longestMillis(), "withoutPlace", withoutPlace));
    absences
        .countByReason()
        .forEach((reason, count) -> fields.addAll(List.of(reason.label(), count)));
    log.log("long_running.state", fields.toArray());
  }

  /** Why a worker is closed, if it is, and what is free there, for all tasks of one pass. */
  private record ListedWorker(Worker worker, ImmutableSet<AwayReason> closures, Resources free) {}

  /** Tasks of a step in the same situation. */
  private record WaitingStep(StepKey step, AwayTask task) {}

  /** One look at all long-running jobs. */
  private final class Pass {
    private final long nowMillis;
    private final long wallMillis;
    private final Map<String, List<Absence>> absencesByPool = new HashMap<>();

    private final Map<String, ImmutableList<ListedWorker>> workersByPool = new HashMap<>();

    /** The reasons of tasks for which no room is held: those of a step share them. */
    private final Map<WaitingStep, AwayReason> reasonByStep = new HashMap<>();

    Pass(long nowMillis, long wallMillis) {
      this.nowMillis = nowMillis;
      this.wallMillis = wallMillis;
    }

    void add(Job job) {
      QueueConfig queue = config.queueOf(job.spec);
      for (int occurrence = 0; occurrence < job.occurrences().size(); occurrence++) {
        for (int step = 0; step < job.spec.steps().size(); step++) {
          if (job.spec.steps().get(step).longRunning()
              && job.isStepReady(occurrence, step, wallMillis)) {
            for (Task task : job.occurrences().get(occurrence).get(step)) {
              if (isAway(task)) {
                absencesByPool
                    .computeIfAbsent(queue.pool(), pool -> new ArrayList<>())
                    .add(new Absence(reasonOf(task, queue), awayMillis(task)));
              }
            }
          }
        }
      }
    }

    /** Returns whether it does not run; on a silent worker that is unknown, and it counts. */
    private boolean isAway(Task task) {
      return switch (task.phase) {
        case RUNNING -> task.worker.isSilentOrUnreported();
        case DONE -> false;
        case WAITING, ASSIGNED, ORDERED, STOPPING -> true;
      };
    }

    private AwayReason reasonOf(Task task, QueueConfig queue) {
      Resources teamLimit = config.upperLimitOf(task.job.spec.team());
      AwayTask away =
          new AwayTask(
              progressOf(task.phase),
              task.worker != null && task.worker.hasReported,
              nowMillis < task.orphanEndMillis,
              !task.job.teamUsage.admits(task.teamResources(), teamLimit));
      return task.destination == null
          ? reasonByStep.computeIfAbsent(
              new WaitingStep(StepKey.of(task.id), away),
              step ->
                  AwayDiagnosis.reasonOf(
                      away, () -> poolWorkers(task, queue, workersOf(queue.pool()))))
          : AwayDiagnosis.reasonOf(
              away, () -> poolWorkers(task, queue, ImmutableList.of(destinationOf(task))));
    }

    /** Returns for how long a task has been away, or if it has never run, could have started. */
    private long awayMillis(Task task) {
      if (task.awaySince.isPresent()) {
        return nowMillis - task.awaySince.orElseThrow().millis();
      }
      if (task.confirmedMillis == 0 && !task.restored) {
        return nowMillis - readySinceMillis(task);
      }
      long lastRunMillis = task.lastKnownRun(takeoverMillis, nowMillis).millis();
      if (task.phase == TaskPhase.STOPPING && task.stopAcceptedMillis > 0) {
        // It may run until its worker has accepted the stop.
        lastRunMillis = Math.min(lastRunMillis, task.stopAcceptedMillis);
      }
      return nowMillis - lastRunMillis;
    }

    private long readySinceMillis(Task task) {
      long dueForMillis = wallMillis - task.job.spec.dueMillis(task.id.occurrence());
      long since = Math.max(task.job.firstSeenMillis, nowMillis - dueForMillis);
      for (int earlierStep : task.step.after()) {
        for (Task earlier : task.job.occurrences().get(task.id.occurrence()).get(earlierStep)) {
          since = Math.max(since, earlier.endedMillis);
        }
      }
      return since;
    }

    private ImmutableList<ListedWorker> workersOf(String poolName) {
      return workersByPool.computeIfAbsent(
          poolName,
          pool ->
              listedInPool.apply(pool).stream()
                  .filter(worker -> worker.listed && !worker.ended)
                  .map(
                      worker ->
                          new ListedWorker(worker, closuresOf(worker), worker.freeResources()))
                  .collect(ImmutableList.toImmutableList()));
    }

    /** Returns the worker on which room is held for a task. */
    private ListedWorker destinationOf(Task task) {
      Worker worker = task.destination;
      return new ListedWorker(worker, closuresOf(worker), worker.freeResourcesFor(task));
    }

    private ImmutableList<PoolWorker> poolWorkers(
        Task task, QueueConfig queue, ImmutableList<ListedWorker> listed) {
      ImmutableSet<String> withTicket =
          queue.advice().isEmpty()
              ? ImmutableSet.of()
              : knownTickets
                  .ticketsFor(task, listed.stream().map(ListedWorker::worker).toList(), nowMillis)
                  .keySet();
      Resources need = task.step.reservedResources();
      int maxPerWorker = task.step.maxPerWorker();
      ImmutableList.Builder<PoolWorker> result = ImmutableList.builder();
      for (ListedWorker candidate : listed) {
        Worker worker = candidate.worker();
        if (worker.hasRequiredLabel(task.step)) {
          boolean hasRoom = candidate.free().covers(need);
          result.add(
              new PoolWorker(
                  candidate.closures(),
                  hasRoom,
                  // The count costs a look at each task there, and matters only with room.
                  maxPerWorker == 0 || (hasRoom && worker.countOfSameStep(task) < maxPerWorker),
                  queue.advice().isEmpty() || withTicket.contains(worker.entry.id())));
        }
      }
      return result.build();
    }

    /** Returns the reasons for which {@link WorkerChoice#isUsable} or a quarantine excludes it. */
    private ImmutableSet<AwayReason> closuresOf(Worker worker) {
      ImmutableSet.Builder<AwayReason> closures = ImmutableSet.builder();
      if (nowMillis < worker.avoidUntilMillis) {
        closures.add(AwayReason.AVOIDED);
      }
      if (!worker.hasReported || !worker.hasOwnEntry || worker.consecutiveCallFailures > 0) {
        closures.add(AwayReason.UNREPORTED);
      }
      if (worker.isReplacementSuspected()) {
        closures.add(AwayReason.REPLACEMENT_SUSPECTED);
      }
      if (quarantine.isQuarantined(worker, nowMillis)) {
        closures.add(AwayReason.QUARANTINED);
      }
      if (!worker.cordonReason.isEmpty() || worker.entry.draining()) {
        closures.add(AwayReason.CORDONED);
      }
      if (worker.zoneEvacuated) {
        closures.add(AwayReason.EVACUATED);
      }
      return closures.build();
    }
  }

  private static Progress progressOf(TaskPhase phase) {
    return switch (phase) {
      case WAITING -> Progress.WAITING;
      case ASSIGNED -> Progress.ASSIGNED;
      case ORDERED -> Progress.START_SENT;
      case STOPPING -> Progress.STOPPING;
      case RUNNING -> Progress.UNHEARD;
      case DONE -> throw new IllegalArgumentException("not away: " + phase);
    };
  }
}
