package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/** Guards against a wave that takes down more VMs at once than it allows. */
class WaveLimitTest {
  private static final long SEED = 20261205;
  private static final String POOL = "rounds";
  private static final int VMS = 6;

  /**
   * Guards against a VM that no longer counts as down because its command took long to be recorded,
   * while the lists did not show its maintenance yet.
   */
  @ParameterizedTest
  @CsvSource({"0, 1", "600, 1", "1100, 1", "1600, 1", "2500, 1", "1100, 2", "1600, 2", "2500, 2"})
  void slowRecordOfCommandLetsOneVmTooManyGoDown(int recordMillis, int maxDown) {
    SimFleet fleet =
        SimFleet.start(
            SEED,
            /* nodeCount= */ 1,
            SimLayout.withStandbyPool(
                ImmutableMap.of(POOL, VMS, SimLayout.STANDBY_POOL, 0), /* movesPerSecond= */ 10));
    fleet.runFor(3_000);
    ImmutableList<String> vms =
        IntStream.range(0, VMS)
            .mapToObj(i -> POOL + "-" + i)
            .collect(ImmutableList.toImmutableList());
    fleet.nodes.get("n0").requestWave(new Wave(7, vms, /* durationSeconds= */ 5, maxDown));
    fleet.rowStore.delayWrites("vm-commands", recordMillis);
    long mostDown = 0;
    for (int elapsed = 0; elapsed < 60_000; elapsed += 10) {
      fleet.runFor(10);
      mostDown = Math.max(mostDown, fleet.vmsInMaintenance());
    }
    assertTrue(mostDown <= maxDown, mostDown + " VMs were down at once");
    assertTrue(mostDown > 0, "no VM was maintained");
  }
}
