package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.SimFleet;

/**
 * Guards against tasks that run twice, or jobs that never finish, because an entry that other
 * software has written ends the incarnation of a worker that runs.
 */
final class ForeignWorkerEntryTest {
  private static final long SEED = 20261205;
  private static final String FOREIGN_KEY = "count-1";
  private static final List<String> JOBS = List.of("a", "b", "c");

  /** Workers write their entries at least this often, in ms. */
  private static final int HEARTBEAT_MILLIS = 1_500;

  /** How far ahead of the present incarnation an entry may be: about 3,000 years, in ms. */
  private static final long FAR_AHEAD_MILLIS = 100_000_000_000_000L;

  private static final int FINISH_MILLIS = 25_000;

  /**
   * An entry that other software writes.
   *
   * @param key the key of the entry, which may be the id of a worker
   * @param vm the VM that it names
   * @param addressOwner the worker whose address it names
   * @param aheadMillis its incarnation, in ms after that of the worker with the key or the address
   * @param writtenMillis when it is written, in ms after the submission of the jobs
   */
  record ForeignEntry(
      String key,
      String pool,
      String vm,
      String addressOwner,
      long aheadMillis,
      int writtenMillis) {
    private void writeTo(SimFleet fleet) {
      String worker = key.equals(FOREIGN_KEY) ? "w0" : key;
      fleet.putWorkerEntry(key, fleet.incarnation(worker) + aheadMillis, pool, vm, addressOwner);
    }
  }

  /** Guards against TWICE of review/3: such an entry had all tasks of the worker started again. */
  @ParameterizedTest
  @CsvSource({
    "stock-count, m-w0, w0",
    "stock-count, m-w0, nobody",
    "stock-count, m-other, w0",
    "desk, m-w0, w0",
    "desk, m-w0, nobody",
    "desk, m-other, w0"
  })
  void tasksOfLiveWorkerAreStartedAgain(String pool, String vm, String addressOwner) {
    for (int writtenMillis = 100; writtenMillis < 2_000; writtenMillis += 100) {
      assertTasksRunOnce(
          new ForeignEntry(FOREIGN_KEY, pool, vm, addressOwner, 1_000, writtenMillis));
    }
  }

  /** Guards against an entry that hides the worker with its id for good, since it seems later. */
  @ParameterizedTest
  @CsvSource({"m-w0, w0", "m-w0, nobody", "m-w1, w0", "m-w1, w1", "m-other, nobody"})
  void workerUnderOverwrittenIdIsHiddenForGood(String vm, String addressOwner) {
    for (int writtenMillis = 0; writtenMillis < 2_400; writtenMillis += 300) {
      SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 2, /* workerCount= */ 1);
      fleet.runFor(3_000 + writtenMillis);
      String own = fleet.workerEntry("w0");
      new ForeignEntry("w0", SimFleet.POOL, vm, addressOwner, FAR_AHEAD_MILLIS, 0).writeTo(fleet);
      fleet.runFor(HEARTBEAT_MILLIS);
      fleet.rewriteWorkerEntry("w0", own);
      fleet.submit("a", SimFleet.step(2, 1_000));
      fleet.runFor(FINISH_MILLIS);
      assertEquals(JobState.COMPLETED, fleet.checkedState("a").orElseThrow());
      assertEquals(List.of(), fleet.guaranteeChecker.violations());
    }
  }

  @Property(tries = 400, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
  void noEntryHasTasksStartedAgain(@ForAll("entries") ForeignEntry entry) {
    assertTasksRunOnce(entry);
  }

  @Provide
  Arbitrary<ForeignEntry> entries() {
    return Combinators.combine(
            Arbitraries.of(FOREIGN_KEY, "w0", "w1"),
            Arbitraries.of(SimFleet.POOL, "stock-count"),
            Arbitraries.of("m-w0", "m-w1", "m-other"),
            Arbitraries.of("w0", "w1", "nobody"),
            Arbitraries.of(-1_000L, 0L, 1L, 1_000L, FAR_AHEAD_MILLIS),
            Arbitraries.integers().between(0, 2_400))
        .as(ForeignEntry::new);
  }

  private static void assertTasksRunOnce(ForeignEntry entry) {
    SimFleet fleet = FaultMatrixTest.fleetWithSubmittedJobs(SEED + entry.writtenMillis());
    fleet.multiplyTaskTimes(4);
    fleet.runFor(entry.writtenMillis());
    boolean isOverwritten = !entry.key().equals(FOREIGN_KEY);
    String previous = isOverwritten ? fleet.workerEntry(entry.key()) : "";
    entry.writeTo(fleet);
    fleet.runFor(HEARTBEAT_MILLIS);
    if (isOverwritten) {
      fleet.rewriteWorkerEntry(entry.key(), previous);
    }
    fleet.runFor(FINISH_MILLIS);
    assertEquals(List.of(), fleet.guaranteeChecker.violations(), entry.toString());
    for (String job : JOBS) {
      assertEquals(
          JobState.COMPLETED, fleet.checkedState(job).orElseThrow(), job + " after " + entry);
    }
  }
}
