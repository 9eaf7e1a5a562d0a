package org.sassafraslink.scheduler.relocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.relocation.DestinationPlan.Destination;
import org.sassafraslink.scheduler.relocation.DestinationPlan.Relocation;

/** Guards against long-running tasks for which room is promised twice, or not at all. */
class DestinationPlanTest {
  private static final Resources VM = cores(16);

  private static Resources cores(int cores) {
    return new Resources(1_000L * cores, 1_000L * cores, 0);
  }

  private static TaskId task(int index) {
    return new TaskId("job", 0, 0, index);
  }

  private static Relocation relocation(int index, int cores, int maxPerWorker, String current) {
    return new Relocation(
        task(index),
        cores(cores),
        maxPerWorker,
        worker -> true,
        /* requiresKind= */ false,
        Optional.of(current).filter(id -> !id.isEmpty()));
  }

  private static Destination destination(String id, int free, int freeOfShortTasks) {
    return new Destination(id, cores(free), cores(freeOfShortTasks), ImmutableMap.of());
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "room at once is preferred, 0, 16, 4, 8, '', b",
    "the fuller of two with room is chosen, 8, 8, 4, 4, '', b",
    "a short task ends in time, 0, 8, 0, 1, '', a",
    "the present destination is kept, 0, 16, 4, 8, a, a",
    "the present destination has no room any more, 0, 1, 4, 8, a, b",
    "no worker has room, 0, 1, 0, 1, '', ''"
  })
  void taskGetsWorkerWithRoom(
      String description,
      int freeOnA,
      int freeOfShortOnA,
      int freeOnB,
      int freeOfShortOnB,
      String current,
      String expected) {
    DestinationPlan plan =
        DestinationPlan.of(
            List.of(
                destination("a", freeOnA, freeOfShortOnA),
                destination("b", freeOnB, freeOfShortOnB)),
            List.of(relocation(0, /* cores= */ 2, /* maxPerWorker= */ 0, current)),
            List.of());
    assertEquals(expected, plan.workerByTask().getOrDefault(task(0), ""), description);
    assertEquals(expected.isEmpty() ? 1 : 0, plan.withoutPlace().size(), description);
  }

  @ParameterizedTest(name = "{0} tasks of {1} cores, {2} on a worker: {3} workers")
  @CsvSource({
    "0, 2, 0, 0",
    "4, 2, 0, 1",
    "9, 2, 0, 2",
    "4, 2, 1, 4",
    "5, 2, 2, 3",
    "3, 9, 0, 3",
    "1, 17, 0, 0"
  })
  void workersAreAddedUntilAllTasksFit(int tasks, int cores, int maxPerWorker, int expected) {
    List<Relocation> relocations =
        IntStream.range(0, tasks)
            .mapToObj(index -> relocation(index, cores, maxPerWorker, ""))
            .toList();
    assertEquals(expected, DestinationPlan.of(List.of(), relocations, List.of()).workersToAdd(VM));
  }

  /** Guards against a waiting task that is kept out by the place of one that still runs. */
  @ParameterizedTest
  @CsvSource({"'', ''", "'', a", "a, a"})
  void waitingTaskChoosesBeforeRunningOne(String currentOfWaiting, String currentOfRunning) {
    DestinationPlan plan =
        DestinationPlan.of(
            List.of(destination("a", 4, 4)),
            List.of(relocation(0, 4, 0, currentOfWaiting)),
            List.of(relocation(1, 4, 0, currentOfRunning)));
    assertEquals(ImmutableMap.of(task(0), "a"), plan.workerByTask());
  }

  /** Guards against VMs that are added without end for a task that they can't run. */
  @ParameterizedTest
  @CsvSource({"true, 0", "false, 1"})
  void noWorkerOfAnyKindIsAddedForTaskThatRequiresOne(boolean requiresKind, int expected) {
    Relocation relocation =
        new Relocation(task(0), cores(2), 0, worker -> false, requiresKind, Optional.empty());
    DestinationPlan plan =
        DestinationPlan.of(List.of(destination("a", 16, 16)), List.of(relocation), List.of());
    assertEquals(expected, plan.workersToAdd(VM));
    assertFalse(destination("a", 16, 16).suits(relocation));
  }

  @Property(tries = 300)
  void noRoomIsPromisedTwiceAndNoneIsLeftUnused(
      @ForAll @Size(max = 6) List<@IntRange(min = 0, max = 16) Integer> free,
      @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 8) Integer> needs,
      @ForAll @IntRange(min = 0, max = 3) int maxPerWorker) {
    Map<String, Integer> freeByWorker = new HashMap<>();
    List<Destination> destinations = new ArrayList<>();
    for (int i = 0; i < free.size(); i++) {
      freeByWorker.put("w" + i, free.get(i));
      destinations.add(destination("w" + i, free.get(i), free.get(i)));
    }
    List<Relocation> relocations = new ArrayList<>();
    for (int i = 0; i < needs.size(); i++) {
      relocations.add(relocation(i, needs.get(i), maxPerWorker, i % 3 == 0 ? "w0" : ""));
    }
    int waiting = relocations.size() / 2;
    DestinationPlan plan =
        DestinationPlan.of(
            destinations,
            relocations.subList(0, waiting),
            relocations.subList(waiting, relocations.size()));
    Map<String, Integer> countByWorker = new HashMap<>();
    plan.workerByTask()
        .forEach(
            (task, worker) -> {
              freeByWorker.merge(worker, -needs.get(task.index()), Integer::sum);
              countByWorker.merge(worker, 1, Integer::sum);
            });
    assertTrue(freeByWorker.values().stream().allMatch(left -> left >= 0), "room promised twice");
    if (maxPerWorker > 0) {
      assertTrue(countByWorker.values().stream().allMatch(count -> count <= maxPerWorker));
    }
    assertEquals(needs.size(), plan.workerByTask().size() + plan.withoutPlace().size());
    for (Relocation relocation : plan.withoutPlace()) {
      int need = needs.get(relocation.task().index());
      freeByWorker.forEach(
          (worker, left) ->
              assertTrue(
                  left < need
                      || (maxPerWorker > 0
                          && countByWorker.getOrDefault(worker, 0) >= maxPerWorker),
                  "room left on " + worker));
    }
  }
}
