package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sassafraslink.scheduler.FaultMatrixTest.Fault;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.Weakness;

/** Each mechanism is needed: without it the same faults break a promise that the checker sees. */
class WeakenedMechanismTest {
  private static final long SEED = 20261204;
  private static final int LIFE_MILLIS = 2_400;
  private static final int STEP_MILLIS = 240;
  private static final int RECOVERY_MILLIS = 60_000;

  /** Tasks that outlast a fault and a lease. */
  private static final int SLOWNESS = 12;

  /** Faults, each a while after the one before; tasks take {@code slowness} times as long. */
  private record Scenario(int slowness, int pauseMillis, List<Fault> faults) {
    static Scenario of(int slowness, int pauseMillis, Fault... faults) {
      return new Scenario(slowness, pauseMillis, List.of(faults));
    }
  }

  private static final List<Scenario> SCENARIOS =
      List.of(
          Scenario.of(1, 600, Fault.SCHEDULER_KILLED),
          Scenario.of(SLOWNESS, 600, Fault.ORDERS_LATE, Fault.SCHEDULER_KILLED),
          Scenario.of(SLOWNESS, 600, Fault.ORDERS_LATE, Fault.STORE_REFUSES_SCHEDULER),
          Scenario.of(3 * SLOWNESS, 600, Fault.SCHEDULER_KILLED, Fault.WORKER_CUT_OFF_FOR_LONG),
          Scenario.of(1, 1_700, Fault.STORE_APPLIES_LATE, Fault.SCHEDULER_KILLED, Fault.ALL_KILLED),
          Scenario.of(
              3, 1_700, Fault.STORE_APPLIES_LATE, Fault.SCHEDULER_KILLED, Fault.ALL_KILLED));

  @ParameterizedTest
  @EnumSource(Weakness.class)
  void checkerCatchesFleetWithout(Weakness weakness) {
    int runs = 0;
    int caught = 0;
    for (Scenario scenario : SCENARIOS) {
      for (int at = 0; at < LIFE_MILLIS; at += STEP_MILLIS) {
        runs++;
        caught += violations(scenario, at, Optional.of(weakness)).isEmpty() ? 0 : 1;
      }
    }
    System.out.println("weakened " + weakness + ": caught in " + caught + " of " + runs + " runs");
    assertTrue(caught > 0, weakness + " was never caught");
  }

  @Test
  void wholeFleetKeepsItsPromises() {
    for (Scenario scenario : SCENARIOS) {
      for (int at = 0; at < LIFE_MILLIS; at += STEP_MILLIS) {
        assertEquals(List.of(), violations(scenario, at, Optional.empty()), scenario + " at " + at);
      }
    }
  }

  private static List<String> violations(Scenario scenario, int at, Optional<Weakness> weakness) {
    SimFleet fleet = FaultMatrixTest.busyFleet(SEED + at);
    fleet.slowTasks(scenario.slowness());
    weakness.ifPresent(fleet::weaken);
    fleet.run(at);
    for (Fault fault : scenario.faults()) {
      fleet.schedulingNode().ifPresent(node -> fault.strike(fleet, node));
      fleet.run(scenario.pauseMillis());
    }
    fleet.run(RECOVERY_MILLIS);
    for (String job : List.of("a", "b", "c")) {
      var unused = fleet.state(job);
    }
    return fleet.promises.violations();
  }
}
