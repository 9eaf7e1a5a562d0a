package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/** Guards against a wave that a new scheduler begins again from its first VM. */
class WaveTakeoverTest {
  private static final long SEED = 20261205;
  private static final String POOL = "rounds";
  private static final int VMS = 12;
  private static final int MAX_DOWN = 3;

  /** Commands whose acceptance the old scheduler may not have stored when it ends. */
  private static final int MAX_REPEATED = MAX_DOWN;

  private final SimFleet fleet =
      SimFleet.start(
          SEED,
          /* nodeCount= */ 2,
          SimLayout.withStandbyPool(
              ImmutableMap.of(POOL, VMS, SimLayout.STANDBY_POOL, 0), /* movesPerSecond= */ 10));

  private void requestWave() {
    ImmutableList<String> vms =
        IntStream.range(0, VMS)
            .mapToObj(i -> POOL + "-" + i)
            .collect(ImmutableList.toImmutableList());
    Wave wave = new Wave(/* number= */ 7, vms, /* durationSeconds= */ 60, MAX_DOWN);
    fleet.nodes.values().forEach(node -> node.requestWave(wave));
  }

  private int commands() {
    return fleet.maintenanceCountByVm().values().stream().mapToInt(Integer::intValue).sum();
  }

  @ParameterizedTest
  @ValueSource(ints = {3_000, 6_000, 40_000})
  void nextSchedulerContinuesWave(int millisUntilTakeover) {
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(10);
    }
    requestWave();
    fleet.runFor(millisUntilTakeover);
    int commandsBefore = commands();
    assertTrue(commandsBefore > 0, "commands before the takeover");
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.runFor(60_000);
    Map<String, Integer> counts = fleet.maintenanceCountByVm();
    assertEquals(VMS, counts.size(), "VMs that were maintained");
    assertTrue(
        commands() <= VMS + MAX_REPEATED,
        commands() + " commands, " + commandsBefore + " of them before the takeover");
    assertEquals("true", fleet.rowStore.findRow(new RowKey("status", "", "wave/7")).value());
  }
}
