package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.placement.EvacuatedZones;
import org.sassafraslink.scheduler.placement.EvacuatedZones.StartAction;

/**
 * Applies the evacuations of availability zones to the workers: those of an evacuated zone get no
 * starts, and starts that no worker can know yet are withdrawn. Attempts that run are left to end.
 */
final class ZoneEvacuations {
  /** Gives up attempts; called on the scheduler's thread. */
  interface Actions {
    /** Called to release a task whose start was not sent. */
    void releaseUnsent(Task task);

    /** Called to stop an attempt whose start may have reached the worker. */
    void stopSent(Task task);
  }

  private final EventLog log;
  private final Supplier<? extends Collection<Worker>> workers;
  private final Optional<Long> maxDelayMillis;
  private final Actions actions;

  /** The newest known evacuations; empty before the first read. */
  private Optional<EvacuatedZones> current = Optional.empty();

  /** The evacuated zones as of the last application, and whether any task was left there. */
  private final Map<String, Boolean> appliedZones = new HashMap<>();

  private boolean wasOutdated;

  /**
   * Creates an instance that knows no evacuations.
   *
   * @param workers returns all workers that may run tasks
   * @param maxDelayMillis how long after the request of an evacuation a start in its zone is
   *     allowed; empty if there is no bound
   */
  ZoneEvacuations(
      EventLog log,
      Supplier<? extends Collection<Worker>> workers,
      Optional<Long> maxDelayMillis,
      Actions actions) {
    this.log = log;
    this.workers = workers;
    this.maxDelayMillis = maxDelayMillis;
    this.actions = actions;
  }

  /** Forgets what was applied, because this process has just acquired or lost the lease. */
  void reset() {
    appliedZones.clear();
    wasOutdated = false;
  }

  /** Replaces the evacuations by those that a newer read has shown. */
  void update(Evacuations newest) {
    current = Optional.of(EvacuatedZones.of(newest, maxDelayMillis));
  }

  /** Returns whether the evacuations have been read at least once. */
  boolean areKnown() {
    return current.isPresent();
  }

  boolean contains(String zone) {
    return current.map(zones -> zones.contains(zone)).orElse(false);
  }

  /** Returns what to do with the start of a task that is about to be sent or repeated. */
  StartAction startAction(Task task, long nowMillis) {
    return current
        .map(zones -> zones.startAction(task.worker.entry.zone(), task.mayBeKnown(), nowMillis))
        .orElse(StartAction.HOLD);
  }

  /** Marks the workers of evacuated zones, and withdraws the starts that were not sent to them. */
  void apply(long nowMillis) {
    EvacuatedZones zones = current.orElseThrow();
    logIfOutdated(zones.isOutdated(nowMillis));
    if (zones.zones().isEmpty() && appliedZones.isEmpty()) {
      return;
    }
    Map<String, Integer> workersByZone = new HashMap<>();
    Map<String, Integer> tasksByZone = new HashMap<>();
    for (Worker worker : workers.get()) {
      String zone = worker.entry.zone();
      worker.zoneEvacuated = zones.contains(zone);
      if (worker.zoneEvacuated) {
        worker.tasks().stream().filter(task -> !task.mayBeKnown()).forEach(this::withdraw);
        workersByZone.merge(zone, 1, Integer::sum);
        tasksByZone.merge(zone, worker.tasks().size(), Integer::sum);
      }
    }
    logChanges(zones.zones(), workersByZone, tasksByZone);
  }

  /**
   * Gives up the attempt of a task whose start was not sent. The attempts of a gang's other members
   * are given up with it, since they would wait for it in vain.
   */
  void withdraw(Task task) {
    for (Task member : task.membersOfAttempt()) {
      if (member.mayBeKnown()) {
        actions.stopSent(member);
      } else {
        actions.releaseUnsent(member);
      }
    }
  }

  private void logIfOutdated(boolean isOutdated) {
    if (isOutdated != wasOutdated) {
      log.log(isOutdated ? "evacuation.unverified" : "evacuation.verified");
      wasOutdated = isOutdated;
    }
  }

  private void logChanges(
      ImmutableSet<String> zones,
      Map<String, Integer> workersByZone,
      Map<String, Integer> tasksByZone) {
    Set<String> ended = new HashSet<>(Sets.difference(appliedZones.keySet(), zones));
    for (String zone : ended) {
      appliedZones.remove(zone);
      log.log("evacuation.ended", "zone", zone);
    }
    for (String zone : zones) {
      int tasks = tasksByZone.getOrDefault(zone, 0);
      if (!appliedZones.containsKey(zone)) {
        int workerCount = workersByZone.getOrDefault(zone, 0);
        log.log("evacuation.begun", "zone", zone, "workers", workerCount, "tasks", tasks);
      } else if (appliedZones.get(zone) && tasks == 0) {
        log.log("evacuation.zone_empty", "zone", zone);
      }
      appliedZones.put(zone, tasks > 0);
    }
  }
}
