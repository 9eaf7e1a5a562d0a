package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/** Guards against a wave that is completed although a VM of it has not begun its maintenance. */
class WaveCompletionTest {
  private static final long SEED = 20261205;
  private static final String POOL = "rounds";
  private static final String NEW_VM = "new";
  private static final int VMS = 4;
  private static final int FINISH_MILLIS = 30_000;

  private final SimFleet fleet =
      SimFleet.start(
          SEED,
          /* nodeCount= */ 2,
          SimLayout.withStandbyPool(
              ImmutableMap.of(POOL, VMS, SimLayout.STANDBY_POOL, 0), /* movesPerSecond= */ 10));

  private void requestWave() {
    ImmutableList<String> vms =
        ImmutableList.<String>builder()
            .addAll(IntStream.range(0, VMS).mapToObj(i -> POOL + "-" + i).toList())
            .add(NEW_VM)
            .build();
    Wave wave = new Wave(/* number= */ 7, vms, /* durationSeconds= */ 20, /* maxDown= */ 2);
    fleet.nodes.values().forEach(node -> node.requestWave(wave));
  }

  private boolean isCompleted() {
    RowKey status = new RowKey("status", "", "wave/7");
    return fleet.rowStore.hasRow(status) && fleet.rowStore.findRow(status).value().equals("true");
  }

  private void awaitScheduling() {
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(10);
    }
    fleet.runFor(3_000);
  }

  /**
   * Guards against MIXED of review/5: a VM that a list from before the wave lacked counted as left.
   *
   * @param leadMillis how long before the wave the VM is added
   * @param hiddenMillis how long after that the lists lack it
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0",
    "10, 0",
    "100, 0",
    "200, 0",
    "400, 0",
    "700, 0",
    "0, 300",
    "0, 800",
    "200, 1500"
  })
  void vmThatHasJustComeIsLeftOutOfWave(int leadMillis, int hiddenMillis) {
    awaitScheduling();
    fleet.addVm(NEW_VM, POOL);
    fleet.hideVm(NEW_VM, hiddenMillis);
    fleet.runFor(leadMillis);
    requestWave();
    for (int elapsed = 0; elapsed < FINISH_MILLIS; elapsed += 10) {
      fleet.runFor(10);
      assertTrue(
          !isCompleted() || fleet.maintenanceCountByVm().containsKey(NEW_VM),
          "completed without " + NEW_VM + " after " + elapsed + " ms");
    }
    assertTrue(isCompleted());
  }

  /** Guards against a wave that never ends since one of its VMs has left, also after a takeover. */
  @ParameterizedTest
  @ValueSource(ints = {100, 3_000, 9_000})
  void vmThatHasLeftKeepsWaveOpen(int millisUntilTakeover) {
    awaitScheduling();
    requestWave();
    fleet.runFor(millisUntilTakeover);
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.runFor(FINISH_MILLIS);
    assertTrue(isCompleted());
    assertEquals(VMS, fleet.maintenanceCountByVm().size());
  }

  /** Guards against a record that a VM has left which outlasts the VM's return. */
  @Test
  void vmThatComesBackIsNeverMaintained() {
    awaitScheduling();
    requestWave();
    fleet.runFor(FINISH_MILLIS);
    assertTrue(isCompleted());
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.addVm(NEW_VM, POOL);
    fleet.runFor(FINISH_MILLIS);
    assertTrue(fleet.maintenanceCountByVm().containsKey(NEW_VM));
    assertTrue(isCompleted());
  }
}
