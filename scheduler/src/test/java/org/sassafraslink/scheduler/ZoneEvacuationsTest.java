package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.TestJobs.StepKind;

/** Guards against an evacuation that the log does not show, or shows again in each pass. */
class ZoneEvacuationsTest {
  private final List<String> lines = new ArrayList<>();
  private final List<Task> released = new ArrayList<>();
  private final List<Task> stopped = new ArrayList<>();
  private final Worker worker = TestWorkers.withId("w0");

  private final ZoneEvacuations evacuations =
      new ZoneEvacuations(
          EventLog.create("n", () -> 0, lines::add),
          () -> List.of(worker),
          Optional.of(5_000L),
          new ZoneEvacuations.Actions() {
            @Override
            public void releaseUnsent(Task task) {
              released.add(task);
              task.release(TaskPhase.WAITING, 0);
            }

            @Override
            public void stopSent(Task task) {
              stopped.add(task);
            }
          });

  private void apply(long readMillis, long nowMillis, String... zones) {
    evacuations.update(new Evacuations(ImmutableSet.copyOf(zones), readMillis));
    evacuations.apply(nowMillis);
    evacuations.apply(nowMillis);
  }

  private Task assignedTask(TaskPhase phase) {
    Task task =
        TestJobs.firstTask(TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1, 1, StepKind.PLAIN, 0)));
    task.assign(worker, /* nextAttempt= */ 1, "");
    task.phase = phase;
    return task;
  }

  private long count(String event) {
    return lines.stream().filter(line -> line.contains('"' + event + '"')).count();
  }

  @Test
  void logsBeginAndEndOnce() {
    apply(0, 0, "zone");
    assertTrue(worker.zoneEvacuated);
    apply(0, 0);
    assertFalse(worker.zoneEvacuated);
    assertEquals(1, count("evacuation.begun"));
    assertEquals(1, count("evacuation.ended"));
  }

  /** Guards against a misspelt zone that the operator believes to be evacuated. */
  @Test
  void logsUnknownZoneWithoutWorkers() {
    apply(0, 0, "zonne");
    assertFalse(worker.zoneEvacuated);
    assertTrue(lines.get(0).contains("\"zone\":\"zonne\",\"workers\":0"), lines.toString());
  }

  @Test
  void logsWhenLastTaskHasEnded() {
    Task task = assignedTask(TaskPhase.RUNNING);
    apply(0, 0, "zone");
    assertEquals(0, count("evacuation.zone_empty"));
    task.release(TaskPhase.DONE, 0);
    apply(0, 0, "zone");
    assertEquals(1, count("evacuation.zone_empty"));
    assertEquals(List.of(), released);
    assertEquals(List.of(), stopped);
  }

  @Test
  void logsOnceThatReadsAreTooOld() {
    apply(0, 4_001);
    apply(4_001, 4_001);
    assertEquals(1, count("evacuation.unverified"));
    assertEquals(1, count("evacuation.verified"));
  }

  /** Guards against sending a start that was held back before the evacuation was known. */
  @Test
  void withdrawsOrderedStartThatWasNotSent() {
    Task task = assignedTask(TaskPhase.ORDERED);
    apply(0, 0, "zone");
    assertEquals(List.of(task), released);
  }
}
