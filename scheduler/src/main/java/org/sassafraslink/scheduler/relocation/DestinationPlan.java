package org.sassafraslink.scheduler.relocation;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.TaskId;

/**
 * Assigns long-running tasks to the workers on which room is held for them, and finds those for
 * which there is none.
 *
 * <p>Short tasks end by themselves, so room that they occupy counts as room too; a worker with room
 * at once is preferred. A task keeps its destination as long as that is suitable, since moving the
 * hold would delay its start.
 *
 * @param workerByTask the id of each task's destination
 * @param withoutPlace the tasks for which no worker has room
 */
public record DestinationPlan(
    ImmutableMap<TaskId, String> workerByTask, ImmutableList<Relocation> withoutPlace) {

  /** A step of one occurrence of a job. */
  public record StepKey(String job, int occurrence, int step) {
    public static StepKey of(TaskId task) {
      return new StepKey(task.job(), task.occurrence(), task.step());
    }
  }

  /**
   * A task that needs another worker.
   *
   * @param maxPerWorker the maximum number of tasks of its step on one worker; 0 for no maximum
   * @param isEligible whether the task may run on the worker with this id, apart from room
   * @param requiresKind whether only workers of one kind are eligible
   * @param current the id of its present destination, if any
   */
  public record Relocation(
      TaskId task,
      Resources need,
      int maxPerWorker,
      Predicate<String> isEligible,
      boolean requiresKind,
      Optional<String> current) {}

  /**
   * A worker that may get tasks.
   *
   * @param free what is free on it now
   * @param freeOfShortTasks what is free on it once its short tasks have ended
   * @param tasksByStep how many tasks of each step it has
   */
  public record Destination(
      String worker,
      Resources free,
      Resources freeOfShortTasks,
      ImmutableMap<StepKey, Integer> tasksByStep) {
    /** Returns whether a task can run here, at the latest when all short tasks have ended. */
    public boolean suits(Relocation relocation) {
      return relocation.isEligible().test(worker)
          && freeOfShortTasks.covers(relocation.need())
          && hasPlaceInStep(relocation, tasksByStep);
    }
  }

  /** A destination with the holds that the plan has added. */
  private static final class Room {
    private final String worker;
    private final Map<StepKey, Integer> tasksByStep;
    private Resources free;
    private Resources freeOfShortTasks;

    Room(Destination destination) {
      worker = destination.worker();
      tasksByStep = new HashMap<>(destination.tasksByStep());
      free = destination.free();
      freeOfShortTasks = destination.freeOfShortTasks();
    }

    boolean suits(Relocation relocation) {
      return relocation.isEligible().test(worker) && hasRoomFor(relocation);
    }

    private boolean hasRoomFor(Relocation relocation) {
      return freeOfShortTasks.covers(relocation.need()) && hasPlaceInStep(relocation, tasksByStep);
    }

    void hold(Relocation relocation) {
      free = free.minus(relocation.need());
      freeOfShortTasks = freeOfShortTasks.minus(relocation.need());
      tasksByStep.merge(StepKey.of(relocation.task()), 1, Integer::sum);
    }
  }

  private static boolean hasPlaceInStep(Relocation relocation, Map<StepKey, Integer> tasksByStep) {
    int present = tasksByStep.getOrDefault(StepKey.of(relocation.task()), 0);
    return relocation.maxPerWorker() == 0 || present < relocation.maxPerWorker();
  }

  /**
   * Returns the plan for tasks that wait and for tasks that still run. The former choose first,
   * even if a place was held for the latter before: nothing is done for them meanwhile.
   */
  public static DestinationPlan of(
      Collection<Destination> destinations,
      Collection<Relocation> waiting,
      Collection<Relocation> running) {
    List<Room> rooms = destinations.stream().map(Room::new).toList();
    Map<TaskId, String> workerByTask = new HashMap<>();
    ImmutableList.Builder<Relocation> withoutPlace = ImmutableList.builder();
    withoutPlace.addAll(assign(rooms, waiting, workerByTask));
    withoutPlace.addAll(assign(rooms, running, workerByTask));
    return new DestinationPlan(ImmutableMap.copyOf(workerByTask), withoutPlace.build());
  }

  /** Assigns tasks to rooms, those with a suitable destination first, and returns the others. */
  private static List<Relocation> assign(
      List<Room> rooms, Collection<Relocation> relocations, Map<TaskId, String> workerByTask) {
    List<Relocation> others = new ArrayList<>();
    for (Relocation relocation : relocations) {
      Optional<Room> current =
          rooms.stream()
              .filter(room -> relocation.current().equals(Optional.of(room.worker)))
              .filter(room -> room.suits(relocation))
              .findFirst();
      current.ifPresentOrElse(
          room -> hold(room, relocation, workerByTask), () -> others.add(relocation));
    }
    List<Relocation> withoutPlace = new ArrayList<>();
    for (Relocation relocation : others) {
      bestRoom(rooms, relocation)
          .ifPresentOrElse(
              room -> hold(room, relocation, workerByTask), () -> withoutPlace.add(relocation));
    }
    return withoutPlace;
  }

  private static void hold(Room room, Relocation relocation, Map<TaskId, String> workerByTask) {
    room.hold(relocation);
    workerByTask.put(relocation.task(), room.worker);
  }

  private static Optional<Room> bestRoom(List<Room> rooms, Relocation relocation) {
    return rooms.stream()
        .filter(room -> room.suits(relocation))
        .min(
            Comparator.<Room, Boolean>comparing(room -> !room.free.covers(relocation.need()))
                .thenComparingLong(room -> room.freeOfShortTasks.cpuMillis())
                .thenComparing(room -> room.worker));
  }

  /**
   * Returns how many more workers of {@code capacity} and any kind the tasks without a place need.
   * A task is left out if such a worker may not help it.
   */
  public int workersToAdd(Resources capacity) {
    List<Room> added = new ArrayList<>();
    for (Relocation relocation : withoutPlace) {
      if (relocation.requiresKind() || !capacity.covers(relocation.need())) {
        continue;
      }
      Room room =
          added.stream()
              .filter(candidate -> candidate.hasRoomFor(relocation))
              .findFirst()
              .orElseGet(
                  () -> {
                    Room next =
                        new Room(new Destination("", capacity, capacity, ImmutableMap.of()));
                    added.add(next);
                    return next;
                  });
      room.hold(relocation);
    }
    return added.size();
  }
}
