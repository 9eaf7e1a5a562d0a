package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.FaultMatrixTest.Fault;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Replays a peak that goes from pool to pool while the scheduler is replaced. Guards against
 * commands of two schedulers that come too close to each other on a VM, lost jobs, and a peak that
 * waits for a scheduler that has vanished.
 */
class PeakTakeoverTest {
  private static final long SEED = 20261206;
  private static final List<String> POOLS = List.of("first", "second");
  private static final int VMS = 24;
  private static final int TURN_MILLIS = 2_000;
  private static final int TURNS = 6;
  private static final int SUBMIT_INTERVAL_MILLIS = 20;

  /** Within this time after a holder has vanished another process schedules, in ms. */
  private static final int MAX_REPLACEMENT_MILLIS = 1_300;

  private final SimFleet fleet =
      SimFleet.start(
          SEED,
          /* nodeCount= */ 3,
          SimLayout.withStandbyPool(
              ImmutableMap.of("first", VMS / 2, "second", 0, SimLayout.STANDBY_POOL, VMS / 2),
              /* movesPerSecond= */ VMS));

  private final List<JobSpec> jobs = new ArrayList<>();

  private void awaitScheduler() {
    for (int i = 0; i < 1_000 && fleet.schedulingNodeName().isEmpty(); i++) {
      fleet.runFor(10);
    }
  }

  /** Submits jobs to the pools by turns, and runs an action in the middle of each turn. */
  private void playPeaks(Runnable inEachTurn) {
    awaitScheduler();
    for (int turn = 0; turn < TURNS; turn++) {
      for (int elapsed = 0; elapsed < TURN_MILLIS; elapsed += SUBMIT_INTERVAL_MILLIS) {
        jobs.add(
            fleet.submitToOpenQueue(
                "job" + jobs.size(),
                POOLS.get(turn % POOLS.size()),
                SimFleet.stepOfMillis(500, /* count= */ 3, /* cpuMillis= */ 2_000)));
        if (elapsed == TURN_MILLIS / 2) {
          inEachTurn.run();
        }
        fleet.runFor(SUBMIT_INTERVAL_MILLIS);
      }
    }
    fleet.runFor(40_000);
  }

  private void assertJobsCompletedAndNoViolations() {
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    for (JobSpec job : jobs) {
      assertEquals(JobState.COMPLETED, fleet.checkedState(job.id()).orElseThrow(), job.id());
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"SCHEDULER_(?!STOPPED).*", "ALL_SCHEDULERS_RESTARTED", "STORE_.*"},
      mode = EnumSource.Mode.MATCH_ANY)
  void guaranteesHoldWhenTheSchedulerChangesInEachTurn(Fault fault) {
    playPeaks(() -> fleet.schedulingNodeName().ifPresent(node -> fault.inject(fleet, node)));
    assertJobsCompletedAndNoViolations();
  }

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"SCHEDULER_POWERED_OFF", "SCHEDULER_FROZEN", "SCHEDULER_CUT_OFF"})
  void vanishedSchedulerIsReplacedSoon(Fault fault) {
    awaitScheduler();
    for (int phase = 0; phase < 600; phase += 60) {
      fleet.runFor(15_000 + phase);
      String node = fleet.schedulingNodeName().orElseThrow();
      fault.inject(fleet, node);
      fleet.runFor(20);
      int elapsed = 20;
      while (fleet.schedulingNodeName().filter(name -> !name.equals(node)).isEmpty()) {
        fleet.runFor(10);
        elapsed += 10;
      }
      assertTrue(elapsed <= MAX_REPLACEMENT_MILLIS, "replaced after " + elapsed + " ms");
    }
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
  }

  /** Guards against a scheduler that a slow store or slow peers make others replace. */
  @Test
  void workingSchedulerIsNotReplaced() {
    awaitScheduler();
    String node = fleet.schedulingNodeName().orElseThrow();
    fleet.rowStore.setTransactionMillis(700);
    fleet.runFor(5_000);
    fleet.rowStore.setTransactionMillis(0);
    fleet.nodes.get(node).setHeartbeatsLost(true);
    fleet.runFor(5_000);
    assertEquals(node, fleet.holderNode().orElseThrow());
    assertTrue(fleet.nodes.get(node).isScheduling());
  }

  /** As above, with the slow store beginning at other moments between two renewals. */
  @ParameterizedTest
  @ValueSource(
      ints = {
        0, 50, 100, 150, 200, 250, 300, 350, 400, 450, 500, 550, 600, 650, 700, 750, 800, 850, 900,
        950
      })
  void workingSchedulerIsNotReplacedAtAnyMoment(int phaseMillis) {
    awaitScheduler();
    fleet.runFor(phaseMillis);
    String node = fleet.schedulingNodeName().orElseThrow();
    fleet.rowStore.setTransactionMillis(700);
    fleet.runFor(5_000);
    fleet.rowStore.setTransactionMillis(0);
    fleet.nodes.get(node).setHeartbeatsLost(true);
    fleet.runFor(5_000);
    assertEquals(node, fleet.holderNode().orElseThrow());
    assertTrue(fleet.nodes.get(node).isScheduling());
  }

  @Test
  void schedulerThatIsReplacedTwiceWithinASecondKeepsAllGuarantees() {
    playPeaks(
        () -> {
          for (int i = 0; i < 2; i++) {
            fleet
                .schedulingNodeName()
                .ifPresent(node -> Fault.SCHEDULER_STOPPED_GRACEFULLY.inject(fleet, node));
            fleet.runFor(200);
          }
          fleet.nodes.keySet().stream().toList().forEach(this::startIfStopped);
        });
    assertJobsCompletedAndNoViolations();
  }

  private void startIfStopped(String node) {
    if (!fleet.nodes.get(node).isScheduling()) {
      fleet.startNode(node);
    }
  }

  @Test
  void storeThatIsDownAtTheTakeoverKeepsAllGuarantees() {
    playPeaks(
        () -> {
          fleet.schedulingNodeName().ifPresent(fleet::powerOffNode);
          List<String> names = List.copyOf(fleet.nodes.keySet());
          names.forEach(name -> fleet.rowStore.setBehavior(name, Behavior.FAILS_CALLS));
          fleet.clock.runAfter(
              900,
              () -> {
                names.forEach(name -> fleet.rowStore.setBehavior(name, Behavior.NORMAL));
                names.forEach(this::startIfStopped);
              });
        });
    assertJobsCompletedAndNoViolations();
  }
}
