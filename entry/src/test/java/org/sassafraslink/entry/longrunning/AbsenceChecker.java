package org.sassafraslink.entry.longrunning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sassafraslink.entry.cancelling.WorkerStandIn;

/**
 * Checks that each long-running task that has run runs again in time while its pool has room for it
 * twice over, by what the workers really do.
 */
final class AbsenceChecker {
  /** Longest time for which a task may be away while there is room for it, in ms. */
  static final long MAX_AWAY_WITH_ROOM_MILLIS = 3_000;

  /** Time after its last run from which a task is owed, in ms. */
  static final long OWED_AFTER_RUN_MILLIS = 6_000;

  /** How long before that time there must have been no disruption, in ms. */
  static final long CALM_BEFORE_MILLIS = 4_000;

  /** How often a task must fit into its pool to count as having room. */
  private static final int ROOM_FACTOR = 2;

  /** A task that is to run until it is cancelled; {@code cpu} in thousandths of a core. */
  record LongRunningTask(String id, String pool, long cpu) {}

  private static final class Absence {
    private final long sinceMillis;
    private long roomSinceMillis;
    private long longestRoomMillis;
    private boolean isReported;

    Absence(long sinceMillis) {
      this.sinceMillis = sinceMillis;
      this.roomSinceMillis = sinceMillis;
    }
  }

  private final List<LongRunningTask> tasks;
  private final Map<LongRunningTask, Absence> absences = new HashMap<>();
  private final Set<LongRunningTask> tasksThatHaveRun = new HashSet<>();
  private final List<String> breaks = new ArrayList<>();
  private final List<String> gaps = new ArrayList<>();
  private long longestMillis;
  private long longestWithRoomMillis;

  AbsenceChecker(List<LongRunningTask> tasks) {
    this.tasks = List.copyOf(tasks);
  }

  /**
   * Checks all tasks.
   *
   * @param workersByPool the workers that are up and are not about to leave
   * @param running the tasks that run on any worker
   * @param calmSinceMillis end of the last disruption
   */
  void check(
      Map<String, List<WorkerStandIn.State>> workersByPool,
      Set<String> running,
      long calmSinceMillis,
      long nowMillis) {
    for (LongRunningTask task : tasks) {
      if (running.contains(task.id())) {
        tasksThatHaveRun.add(task);
        endAbsence(task, nowMillis);
      } else if (tasksThatHaveRun.contains(task)) {
        Absence absence = absences.computeIfAbsent(task, away -> new Absence(nowMillis));
        List<WorkerStandIn.State> workers = workersByPool.getOrDefault(task.pool(), List.of());
        checkAbsence(task, absence, countPlaces(task, workers), calmSinceMillis, nowMillis);
      }
    }
  }

  private static long countPlaces(LongRunningTask task, List<WorkerStandIn.State> workers) {
    return workers.stream().mapToLong(worker -> worker.freeCpu() / task.cpu()).sum();
  }

  private void checkAbsence(
      LongRunningTask task, Absence absence, long places, long calmSinceMillis, long nowMillis) {
    if (places < ROOM_FACTOR) {
      absence.roomSinceMillis = nowMillis;
    }
    absence.longestRoomMillis =
        Math.max(absence.longestRoomMillis, nowMillis - absence.roomSinceMillis);
    longestMillis = Math.max(longestMillis, nowMillis - absence.sinceMillis);
    longestWithRoomMillis = Math.max(longestWithRoomMillis, absence.longestRoomMillis);
    long windowStartMillis = nowMillis - MAX_AWAY_WITH_ROOM_MILLIS;
    if (!absence.isReported
        && absence.sinceMillis + OWED_AFTER_RUN_MILLIS <= windowStartMillis
        && absence.roomSinceMillis <= windowStartMillis
        && calmSinceMillis + CALM_BEFORE_MILLIS <= windowStartMillis) {
      absence.isReported = true;
      breaks.add(
          String.format(
              Locale.ROOT,
              "%.3f %s of %s is away for %.3f s, with room for %d of it",
              nowMillis / 1e3,
              task.id(),
              task.pool(),
              (nowMillis - absence.sinceMillis) / 1e3,
              places));
    }
  }

  private void endAbsence(LongRunningTask task, long nowMillis) {
    Absence absence = absences.remove(task);
    if (absence != null) {
      gaps.add(describe(task, absence, nowMillis, ""));
    }
  }

  private static String describe(
      LongRunningTask task, Absence absence, long nowMillis, String suffix) {
    return String.format(
        Locale.ROOT,
        "%.3f %s of %s was away for %.3f s, with room for %.3f s%s",
        nowMillis / 1e3,
        task.id(),
        task.pool(),
        (nowMillis - absence.sinceMillis) / 1e3,
        absence.longestRoomMillis / 1e3,
        suffix);
  }

  /** Returns whether all tasks have run. */
  boolean haveAllRun() {
    return tasksThatHaveRun.size() == tasks.size();
  }

  /** Returns one line for each break of the rule. */
  List<String> breaks() {
    return List.copyOf(breaks);
  }

  /** Returns one line for each gap, also of those that are not over. */
  List<String> gaps(long nowMillis) {
    List<String> all = new ArrayList<>(gaps);
    absences.forEach(
        (task, absence) -> all.add(describe(task, absence, nowMillis, ", and still is")));
    return all;
  }

  /** Returns the longest time between two runs of a task, or since its last one, in ms. */
  long longestMillis() {
    return longestMillis;
  }

  /** Returns the longest time for which a task was away with room for it twice over, in ms. */
  long longestWithRoomMillis() {
    return longestWithRoomMillis;
  }
}
