package org.sassafraslink.scheduler.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Resources;

/**
 * Guards against {@link DrainChoice} draining workers that a pool needs for jobs in time, or none
 * because each has some task of a job in time. The pool has three workers with 16 cores and 64,000
 * MB each.
 */
class DrainChoiceTest {
  private static final Resources CAPACITY = new Resources(16_000, 64_000, 0);

  private static DrainChoice.Candidate candidate(String id, double emptyInMillis, long lastSteps) {
    return new DrainChoice.Candidate(id, CAPACITY, emptyInMillis, new Resources(lastSteps, 0, 0));
  }

  private static Set<String> choose(
      Resources neededForArrivals,
      Resources neededNow,
      int minWorkers,
      int maxWorkers,
      DrainChoice.Candidate... candidates) {
    DrainChoice.Donor donor =
        new DrainChoice.Donor(CAPACITY.times(3), 3, neededForArrivals, neededNow, minWorkers);
    return DrainChoice.choose(donor, List.of(candidates), maxWorkers);
  }

  /** The numbers are those of the workers that are drained. */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 1, 3, 2",
    "20000, 0, 1, 3, 1",
    "33000, 0, 1, 3, 0",
    "0, 150000, 1, 3, 0",
    // The pool keeps its minimum of workers.
    "0, 0, 2, 3, 1",
    "0, 0, 3, 3, 0",
    // No more are drained than other pools lack.
    "0, 0, 1, 1, 1"
  })
  void workersBeyondNeededResourcesAreDrained(
      long cpuMillis, long memoryMb, int minWorkers, int maxWorkers, int expected) {
    Resources needed = new Resources(cpuMillis, memoryMb, 0);
    DrainChoice.Candidate[] idle = {
      candidate("w1", 0, 0), candidate("w2", 0, 0), candidate("w3", 0, 0)
    };
    assertEquals(expected, choose(needed, Resources.NONE, minWorkers, maxWorkers, idle).size());
    assertEquals(expected, choose(Resources.NONE, needed, minWorkers, maxWorkers, idle).size());
  }

  @Test
  void workersThatAreEmptyFirstAreDrained() {
    assertEquals(
        Set.of("w2", "w3"),
        choose(
            Resources.NONE,
            Resources.NONE,
            /* minWorkers= */ 1,
            /* maxWorkers= */ 2,
            candidate("w1", 900, 0),
            candidate("w2", 0, 0),
            candidate("w3", 300, 0)));
  }

  @Test
  void poolWithoutCandidatesDrainsNone() {
    assertEquals(Set.of(), choose(Resources.NONE, Resources.NONE, 0, 3));
  }

  /**
   * Guards against a pool that keeps all VMs after its peak: each worker has tasks of jobs in time,
   * for which nothing is needed once they have ended.
   */
  @ParameterizedTest
  @CsvSource({
    // The 33 cores that run now need three workers, the last steps on one of them excepted.
    "0, 33000, 0, 0",
    "0, 33000, 12000, 1",
    // Arriving work replaces the tasks that end.
    "33000, 33000, 12000, 0",
  })
  void lastStepsNeedNoRoomElsewhere(
      long neededForArrivals, long neededNow, long lastSteps, int expected) {
    assertEquals(
        expected,
        choose(
                new Resources(neededForArrivals, 0, 0),
                new Resources(neededNow, 0, 0),
                /* minWorkers= */ 1,
                /* maxWorkers= */ 1,
                candidate("w1", 100, lastSteps),
                candidate("w2", 200, lastSteps))
            .size());
  }
}
