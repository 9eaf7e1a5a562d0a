package org.sassafraslink.scheduler.relocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.sassafraslink.scheduler.relocation.AwayReason.AVOIDED;
import static org.sassafraslink.scheduler.relocation.AwayReason.CORDONED;
import static org.sassafraslink.scheduler.relocation.AwayReason.NO_ROOM;
import static org.sassafraslink.scheduler.relocation.AwayReason.NO_TICKET;
import static org.sassafraslink.scheduler.relocation.AwayReason.NO_WORKER;
import static org.sassafraslink.scheduler.relocation.AwayReason.PLACEABLE;
import static org.sassafraslink.scheduler.relocation.AwayReason.SPREAD;
import static org.sassafraslink.scheduler.relocation.AwayReason.UNREPORTED;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.scheduler.relocation.Absences.Absence;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis.AwayTask;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis.PoolWorker;
import org.sassafraslink.scheduler.relocation.AwayDiagnosis.Progress;

/** Guards against a log that names a wrong cause of a long-running task that does not run. */
class AwayDiagnosisTest {
  private static final PoolWorker FREE = worker(true, true, true);
  private static final PoolWorker FULL = worker(false, true, true);
  private static final PoolWorker HAS_SIBLING = worker(true, false, true);
  private static final PoolWorker WITHOUT_TICKET = worker(true, true, false);

  private static PoolWorker worker(boolean hasRoom, boolean hasPlaceInStep, boolean hasTicket) {
    return new PoolWorker(ImmutableSet.of(), hasRoom, hasPlaceInStep, hasTicket);
  }

  private static PoolWorker closed(PoolWorker worker, AwayReason... closures) {
    return new PoolWorker(
        ImmutableSet.copyOf(closures),
        worker.hasRoom(),
        worker.hasPlaceInStep(),
        worker.hasTicket());
  }

  static List<Arguments> workersOfPool() {
    return List.of(
        Arguments.of(NO_WORKER, List.of()),
        Arguments.of(NO_WORKER, List.of(closed(FULL, CORDONED))),
        Arguments.of(NO_ROOM, List.of(FULL, closed(FULL, CORDONED))),
        Arguments.of(CORDONED, List.of(FULL, closed(FREE, CORDONED))),
        Arguments.of(CORDONED, List.of(HAS_SIBLING, closed(FREE, CORDONED))),
        // The worker stays closed as long as its last reason, the pool until its first worker
        // opens.
        Arguments.of(CORDONED, List.of(closed(FREE, AVOIDED, CORDONED))),
        Arguments.of(AVOIDED, List.of(closed(FREE, CORDONED), closed(FREE, AVOIDED))),
        Arguments.of(UNREPORTED, List.of(closed(HAS_SIBLING, AVOIDED), closed(FREE, UNREPORTED))),
        Arguments.of(SPREAD, List.of(FULL, HAS_SIBLING, closed(HAS_SIBLING, CORDONED))),
        Arguments.of(NO_TICKET, List.of(WITHOUT_TICKET, FULL, closed(FREE, CORDONED))),
        Arguments.of(PLACEABLE, List.of(WITHOUT_TICKET, FREE, closed(FREE, CORDONED))));
  }

  @ParameterizedTest
  @MethodSource("workersOfPool")
  void waitingTaskGetsReasonOfItsPool(AwayReason reason, List<PoolWorker> workers) {
    AwayTask waiting = new AwayTask(Progress.WAITING, false, false, false);
    assertEquals(reason, AwayDiagnosis.reasonOf(waiting, () -> workers));
  }

  @ParameterizedTest
  @CsvSource({
    "ASSIGNED, true, false, false, UNCOMMITTED",
    "START_SENT, true, false, true, UNANSWERED_START",
    "START_SENT, false, false, false, UNREPORTED",
    "STOPPING, true, false, false, STOPPING",
    "WAITING, false, true, true, STOPPING",
    "WAITING, false, false, true, TEAM_LIMIT",
    "WAITING, false, false, false, PLACEABLE"
  })
  void progressComesBeforeStateOfPool(
      Progress progress,
      boolean hasReportingWorker,
      boolean isOrphanStopping,
      boolean isAtTeamLimit,
      AwayReason reason) {
    AwayTask task = new AwayTask(progress, hasReportingWorker, isOrphanStopping, isAtTeamLimit);
    assertEquals(reason, AwayDiagnosis.reasonOf(task, () -> List.of(FREE)));
  }

  @Test
  void absencesAreCountedByReason() {
    Absences absences =
        Absences.of(
            List.of(
                new Absence(SPREAD, 300), new Absence(CORDONED, 4_100), new Absence(SPREAD, 20)));
    assertEquals(List.of(3, 4_100L), List.of(absences.count(), absences.longestMillis()));
    assertEquals(2, absences.countOf(SPREAD));
    assertEquals(0, absences.countOf(NO_ROOM));
  }
}
