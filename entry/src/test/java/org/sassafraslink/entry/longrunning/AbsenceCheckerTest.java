package org.sassafraslink.entry.longrunning;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.entry.cancelling.WorkerStandIn;
import org.sassafraslink.entry.longrunning.AbsenceChecker.LongRunningTask;

/** Guards against a checker that misses a task that is away, or reports one that is not owed. */
class AbsenceCheckerTest {
  private static final LongRunningTask TASK = new LongRunningTask("a.0.0.0", "steady", 1_000);
  private static final long START_MILLIS = 100_000;
  private static final long STEP_MILLIS = 25;

  private static Map<String, List<WorkerStandIn.State>> workers(long freeCpu, String pool) {
    return Map.of(pool, List.of(new WorkerStandIn.State(freeCpu, Set.of())));
  }

  /** Times are ms after the last run. */
  @ParameterizedTest
  @CsvSource({
    "9000, 2000, 0, 0, 1",
    "8900, 2000, 0, 0, 0",
    "20000, 1999, 0, 0, 0",
    "9000, 2000, 6000, 0, 1",
    "9000, 2000, 6100, 0, 0",
    "9200, 2000, 6100, 0, 1",
    "9000, 2000, 0, 2000, 1",
    "9000, 2000, 0, 2100, 0",
    "9200, 2000, 0, 2100, 1"
  })
  void reportsTaskAwayWithRoomInCalm(
      long awayMillis, long freeCpu, long roomFromMillis, long calmFromMillis, int breaks) {
    AbsenceChecker checker = new AbsenceChecker(List.of(TASK));
    checker.check(workers(freeCpu, "steady"), Set.of(TASK.id()), 0, START_MILLIS - STEP_MILLIS);
    for (long away = 0; away <= awayMillis; away += STEP_MILLIS) {
      checker.check(
          workers(away < roomFromMillis ? 0 : freeCpu, "steady"),
          Set.of(),
          START_MILLIS + calmFromMillis,
          START_MILLIS + away);
    }
    assertEquals(breaks, checker.breaks().size(), () -> checker.breaks().toString());
    assertEquals(awayMillis, checker.longestMillis());
  }

  @ParameterizedTest
  @CsvSource({"other, 0", "steady, 1"})
  void onlyRoomOfOwnPoolCounts(String poolWithRoom, int breaks) {
    AbsenceChecker checker = new AbsenceChecker(List.of(TASK));
    checker.check(Map.of(), Set.of(TASK.id()), 0, START_MILLIS - STEP_MILLIS);
    for (long away = 0; away <= 12_000; away += STEP_MILLIS) {
      checker.check(workers(16_000, poolWithRoom), Set.of(), 0, START_MILLIS + away);
    }
    assertEquals(breaks, checker.breaks().size());
  }
}
