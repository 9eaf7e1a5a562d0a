package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/** Guards against long-running tasks that lose their worker, or run again, without a line. */
class LongRunningLinesTest {
  private static final int TASKS = 4;

  /** The lease that simulated schedulers grant, in ms. */
  private static final long LEASE_MILLIS = 6_000;

  private record Line(String event, List<Object> fields) {
    long number(String name) {
      return ((Number) fields.get(fields.indexOf(name) + 1)).longValue();
    }

    String text(String name) {
      return (String) fields.get(fields.indexOf(name) + 1);
    }
  }

  private final List<Line> lines = new ArrayList<>();
  private final SimFleet fleet =
      SimFleet.start(
          /* seed= */ 1,
          /* nodeCount= */ 2,
          SimLayout.withStandbyPool(
              ImmutableMap.of("pool", 1, SimLayout.STANDBY_POOL, 2), /* movesPerSecond= */ 32));

  @BeforeEach
  void runLongRunning() {
    fleet.eventObserver = (event, fields) -> lines.add(new Line(event, List.of(fields)));
    fleet.runFor(3_000);
    fleet.submitToOpenQueue(
        "lasting", "pool", TestJobs.step(TASKS, 1_250, 600_000, TestJobs.StepKind.LONG_RUNNING, 0));
    fleet.runFor(3_000);
    assertEquals(TASKS, fleet.runningAttemptCountOf("lasting"));
  }

  private List<Line> linesOf(String event) {
    return lines.stream().filter(line -> line.event().equals(event)).toList();
  }

  @Test
  void lostWorkerAndRestartHaveNoLines() {
    fleet.vmsWithWorkers("pool").forEach(fleet::crashWorkerOn);
    fleet.runFor(15_000);
    assertEquals(TASKS, linesOf("long_running.away").size(), "lines of lost workers");
    List<Line> back = linesOf("long_running.back");
    assertEquals(TASKS, back.size(), "lines of restarts");
    // The workers were last heard at most a long poll before they ended.
    back.forEach(line -> assertTrue(line.number("awayMillis") >= LEASE_MILLIS, line.toString()));
    back.forEach(line -> assertEquals("HEARD", line.text("since")));
    assertTrue(
        linesOf("long_running.state").stream()
            .anyMatch(
                line ->
                    line.number("longestMillis") > LEASE_MILLIS - 1_000
                        && line.number("away") == TASKS),
        "a state line while the lease lasts");
    for (Line line : linesOf("long_running.state")) {
      assertTrue(line.number("away") + line.number("withoutPlace") > 0, line.toString());
    }
    assertEquals(TASKS, fleet.runningAttemptCountOf("lasting"));
  }

  // After a takeover the books of the new scheduler begin with it, and the gap was 24 ms in the
  // log.
  @Test
  void absenceBesideTakeoverLooksLikeNoGap() {
    fleet.vmsWithWorkers("pool").forEach(fleet::crashWorkerOn);
    fleet.runFor(900);
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.runFor(20_000);
    List<Line> back = linesOf("long_running.back");
    assertEquals(TASKS, back.size(), "lines of restarts");
    for (Line line : back) {
      assertEquals("TAKEOVER", line.text("since"));
      assertTrue(line.number("awayMillis") > LEASE_MILLIS / 2, line.toString());
    }
    assertEquals(TASKS, fleet.runningAttemptCountOf("lasting"));
  }

  // Tasks run on during a takeover, and their first start is no return.
  @Test
  void startAndTakeoverLookLikeAbsence() {
    fleet.killNode(fleet.schedulingNodeName().orElseThrow());
    fleet.runFor(10_000);
    assertEquals(2, linesOf("scheduler.active").size(), "schedulers");
    assertEquals(List.of(), linesOf("long_running.away"));
    assertEquals(List.of(), linesOf("long_running.back"));
  }
}
