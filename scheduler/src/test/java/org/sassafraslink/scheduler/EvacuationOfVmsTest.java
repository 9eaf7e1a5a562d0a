package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/** Guards against work in an evacuated zone that moves and maintenance of VMs bring there. */
class EvacuationOfVmsTest {
  private static final long SEED = 20261206;
  private static final String EVACUATED = "zone-a";
  private static final String POOL = "rounds";
  private static final int LONG_MILLIS = 15_000;

  private SimFleet fleet;

  private long evacuate() {
    fleet.evacuate(EVACUATED);
    return fleet.clock.nowMillis();
  }

  private void assertCompleted(String... jobs) {
    for (String job : jobs) {
      assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState(job), job);
    }
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  private void startFleetWithVms(int inPool, int inStandby) {
    fleet =
        SimFleet.start(
            SEED,
            /* nodeCount= */ 3,
            SimLayout.withStandbyPool(
                ImmutableMap.of(POOL, 0, SimLayout.STANDBY_POOL, 0), /* movesPerSecond= */ 10));
    addVms(POOL, inPool);
    addVms(SimLayout.STANDBY_POOL, inStandby);
    fleet.runFor(3_000);
  }

  /** Adds VMs, the even ones in the zone that is evacuated. */
  private void addVms(String pool, int count) {
    for (int i = 0; i < count; i++) {
      if (i % 2 == 0) {
        fleet.zoneByVm.put(pool + "-" + i, EVACUATED);
      }
      fleet.addVm(pool + "-" + i, pool);
    }
  }

  /** Guards against moving VMs of the zone into a pool, and counting them as its capacity. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void onlyVmsOfOtherZonesAreMovedToPool(int inPool) {
    startFleetWithVms(inPool, /* inStandby= */ 8);
    long since = evacuate();
    long workersBefore = fleet.workerCount(POOL);
    long inZoneBefore = fleet.workerCountInZone(EVACUATED, POOL);
    assertTrue(inZoneBefore > 0, "workers in the zone");
    for (int i = 0; i < 8; i++) {
      fleet.submitToOpenQueue("job" + i, POOL, SimFleet.stepOfMillis(4_000, 4, 12_000));
    }
    fleet.runFor(4_000);
    assertTrue(fleet.workerCount(POOL) > workersBefore, "workers in the pool");
    assertEquals(inZoneBefore, fleet.workerCountInZone(EVACUATED, POOL));
    fleet.runFor(6 * LONG_MILLIS);
    assertEquals(List.of(), fleet.startsIn(EVACUATED, since));
    assertCompleted("job0", "job7");
  }

  /** Guards against a wave that waits for a zone without work, or brings work back to it. */
  @Test
  void waveIsCompletedInEvacuatedZone() {
    startFleetWithVms(/* inPool= */ 6, /* inStandby= */ 0);
    long since = evacuate();
    ImmutableList<String> vms =
        IntStream.range(0, 6)
            .mapToObj(i -> POOL + "-" + i)
            .collect(ImmutableList.toImmutableList());
    Wave wave = new Wave(/* number= */ 7, vms, /* durationSeconds= */ 20, /* maxDown= */ 2);
    fleet.nodes.values().forEach(node -> node.requestWave(wave));
    for (int i = 0; i < 20; i++) {
      fleet.submitToOpenQueue("job" + i, POOL, SimFleet.stepOfMillis(500, 1, 4_000));
      fleet.runFor(500);
    }
    fleet.runFor(2 * LONG_MILLIS);
    assertEquals(List.of(), fleet.startsIn(EVACUATED, since));
    assertEquals(6, fleet.maintenanceCountByVm().size());
    assertCompleted("job0", "job19");
  }
}
