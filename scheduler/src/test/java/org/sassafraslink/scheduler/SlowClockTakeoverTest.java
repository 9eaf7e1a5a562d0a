package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Guards against a second run of tasks whose worker has a slow clock and is cut off beside a
 * takeover: a lease that outlasts the bound of the successor.
 */
class SlowClockTakeoverTest {
  /** Takeovers at each phase of the renewals of the scheduling lease. */
  @ParameterizedTest
  @CsvSource({
    "5, 0", "5, 200", "5, 400", "5, 500", "5, 600", "6, 0", "6, 300", "6, 600", "7, 0", "7, 100",
    "7, 500", "8, 0", "8, 400", "9, 0", "9, 200", "10, 0"
  })
  void workerIsCutOffAfterStart(int idleSeconds, int killMillis) {
    play(idleSeconds, killMillis);
  }

  /** The clock was last read when the worker became idle. */
  @ParameterizedTest
  @CsvSource({
    "60, 0",
    "60, 200",
    "60, 400",
    "120, 0",
    "120, 200",
    "120, 400",
    "240, 0",
    "240, 200",
    "240, 400"
  })
  void workerIsCutOffAfterLongIdleTime(int idleSeconds, int killMillis) {
    play(idleSeconds, killMillis);
  }

  private static void play(int idleSeconds, int killMillis) {
    SimFleet fleet = SimFleet.start(20261208, /* nodeCount= */ 3, 2);
    fleet.workerClockRate = 0.98;
    fleet.multiplyTaskTimes(60);
    fleet.startWorker("w2");
    fleet.startWorker("w3");
    fleet.crashWorker("w0");
    fleet.crashWorker("w1");
    fleet.runFor(idleSeconds * 1_000L);
    fleet.submit("short", TestJobs.step(2, 1_000, 500, TestJobs.StepKind.PLAIN, 1));
    while (fleet.runningAttemptCountOf("short") < 2) {
      fleet.runFor(1);
    }
    for (String worker : List.of("w2", "w3")) {
      fleet
          .nodes
          .keySet()
          .forEach(
              node ->
                  fleet.network.setOutcome(
                      node,
                      worker,
                      EnumSet.allOf(CommandKind.class),
                      CommandOutcome.NOT_DELIVERED));
    }
    fleet.runFor(killMillis);
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.startWorker("s0");
    fleet.startWorker("s1");
    fleet.runFor(20_000);
    assertEquals(List.of(), fleet.guaranteeChecker.runHistory().duplicateRuns());
  }
}
