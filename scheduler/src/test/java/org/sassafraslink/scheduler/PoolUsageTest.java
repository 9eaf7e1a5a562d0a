package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.Resources;

/** Guards against a pool that counts workers which may get no tasks, or tasks of another kind. */
class PoolUsageTest {
  private static final String POOL = "pool";

  private static void assignTask(
      Worker worker, boolean justifiesMoreWorkers, TestJobs.StepKind kind) {
    Job job = TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 1_000, kind, 0));
    job.justifiesMoreWorkers = justifiesMoreWorkers;
    TestJobs.firstTask(job).assign(worker, 1, "");
  }

  @Test
  void tasksAreCountedByWhetherTheyJustifyVms() {
    Worker first = TestWorkers.withId("w1");
    Worker second = TestWorkers.withId("w2");
    Worker third = TestWorkers.withId("w3");
    Worker fourth = TestWorkers.withId("w4");
    assignTask(first, /* justifiesMoreWorkers= */ true, TestJobs.StepKind.PLAIN);
    assignTask(second, /* justifiesMoreWorkers= */ false, TestJobs.StepKind.PLAIN);
    assignTask(third, /* justifiesMoreWorkers= */ false, TestJobs.StepKind.PLAIN);
    assignTask(fourth, /* justifiesMoreWorkers= */ false, TestJobs.StepKind.LONG_RUNNING);
    PoolUsage usage = PoolUsage.byPool(List.of(first, second, third, fourth)).get(POOL);
    assertEquals(new Resources(1_000, 1_000, 0), usage.longRunning());
    assertEquals(new Resources(2_000, 2_000, 0), usage.inTime());
    assertEquals(new Resources(2_000, 2_000, 0), usage.late());
  }

  @Test
  void cordonedWorkersAreNoUsableCapacity() {
    Worker cordoned = TestWorkers.withId("w1");
    cordoned.cordonReason = "wave 1";
    Worker unlisted = TestWorkers.withId("w2");
    unlisted.listed = false;
    Worker ended = TestWorkers.withId("w3");
    ended.ended = true;
    Worker usable = TestWorkers.withId("w4");
    Worker elsewhere = TestWorkers.inPool("w5", "other");
    PoolUsage usage =
        PoolUsage.byPool(List.of(cordoned, unlisted, ended, usable, elsewhere)).get(POOL);
    assertEquals(2, usage.workers());
    assertEquals(1, usage.uncordonedWorkers());
    assertEquals(TestWorkers.CAPACITY, usage.uncordonedCapacity());
    assertEquals(TestWorkers.CAPACITY.plus(TestWorkers.CAPACITY), usage.capacity());
  }

  /** Guards against a pool that gets no VMs for work which an evacuated zone cannot take. */
  @Test
  void evacuatedWorkersAndTheirTasksAreLeftOut() {
    Worker evacuated = TestWorkers.withId("w1");
    evacuated.zoneEvacuated = true;
    assignTask(evacuated, /* justifiesMoreWorkers= */ true, TestJobs.StepKind.PLAIN);
    PoolUsage usage = PoolUsage.byPool(List.of(evacuated, TestWorkers.withId("w2"))).get(POOL);
    assertEquals(TestWorkers.CAPACITY, usage.capacity());
    assertEquals(TestWorkers.CAPACITY, usage.uncordonedCapacity());
    assertEquals(Resources.NONE, usage.inTime());
  }

  @Test
  void movedVmIsNoLongerUsableCapacity() {
    PoolUsage usage =
        PoolUsage.byPool(List.of(TestWorkers.withId("w1"), TestWorkers.withId("w2"))).get(POOL);
    PoolUsage remaining = usage.afterCordoningVm(TestWorkers.CAPACITY);
    assertEquals(1, remaining.uncordonedWorkers());
    assertEquals(TestWorkers.CAPACITY, remaining.uncordonedCapacity());
  }
}
