package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Replays jobs that arrive while the store's long polls hear nothing for a second, as before the
 * store discards its history. All other calls to the store are answered.
 */
class SilentLongPollsTest {
  private static final long SEED = 20261205;
  private static final String POOL = "rounds";
  private static final int SILENCE_MILLIS = 1_200;

  /** The feed's usual delay, a read of the store, a commit, and the start at the worker. */
  private static final int MAX_START_DELAY_MILLIS = 150;

  private final SimFleet fleet =
      SimFleet.start(
          SEED,
          /* nodeCount= */ 2,
          SimLayout.withStandbyPool(
              ImmutableMap.of(POOL, 4, SimLayout.STANDBY_POOL, 8), /* movesPerSecond= */ 20));

  private void runUntilScheduling() {
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(10);
    }
    fleet.runFor(500);
  }

  /** Guards against jobs that wait for the long poll although their entry VM has announced them. */
  @ParameterizedTest
  @ValueSource(ints = {0, 300, 900})
  void announcedJobStartsDuringSilence(int silentForMillis) {
    runUntilScheduling();
    fleet.rowStore.silenceLongPolls(SILENCE_MILLIS);
    fleet.runFor(silentForMillis);
    long acceptedMillis = fleet.clock.nowMillis();
    fleet.submitToOpenQueue("job", POOL, SimFleet.step(1, 1_000));
    fleet.nodes.values().forEach(node -> node.announce("job"));
    fleet.runFor(SILENCE_MILLIS);
    long startMillis = fleet.guaranteeChecker.firstStartMillis("job").orElseThrow();
    assertTrue(
        startMillis - acceptedMillis <= MAX_START_DELAY_MILLIS,
        "started after " + (startMillis - acceptedMillis) + " ms");
    assertEquals(0, fleet.guaranteeChecker.violations().size());
  }

  /** Guards against a job that starts again, or after its cancellation, when the feed goes on. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void announcedJobRunsOnce(boolean cancelled) {
    runUntilScheduling();
    fleet.rowStore.silenceLongPolls(SILENCE_MILLIS);
    fleet.submitToOpenQueue("job", POOL, SimFleet.step(2, 1_000));
    fleet.nodes.values().forEach(node -> node.announce("job"));
    fleet.nodes.values().forEach(node -> node.announce("job"));
    fleet.nodes.values().forEach(node -> node.announce("unknown"));
    if (cancelled) {
      fleet.cancel("job");
    }
    fleet.runFor(SILENCE_MILLIS);
    fleet.rowStore.discardHistory();
    fleet.runFor(5_000);
    fleet.nodes.values().forEach(node -> node.announce("job"));
    fleet.runFor(5_000);
    assertEquals(0, fleet.guaranteeChecker.violations().size());
    assertTrue(fleet.checkedState("job").orElseThrow().isFinal());
  }

  /** Guards against VMs that have arrived in a pool but get no tasks during the silence. */
  @ParameterizedTest
  @ValueSource(ints = {0, 600, 1_200})
  void arrivedVmsGetTasksDuringSilence(int silentForMillis) {
    runUntilScheduling();
    // Needs more workers than the pool has, so that VMs are moved.
    fleet.submitToOpenQueue("job", POOL, SimFleet.stepOfMillis(6_000, 120, 1_600));
    fleet.runFor(1_500 - silentForMillis);
    fleet.rowStore.silenceLongPolls(2_500);
    fleet.runFor(silentForMillis + 1_000);
    assertTrue(
        fleet.workerCount(POOL) > 4 && fleet.emptyWorkerCount(POOL) == 0,
        fleet.emptyWorkerCount(POOL) + " of " + fleet.workerCount(POOL) + " workers are empty");
  }
}
