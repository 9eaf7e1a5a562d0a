package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.Resources;

/**
 * Guards against {@link PoolDemand} counting too few or too many VMs as missing in a pool. Too few
 * leave tasks waiting; too many take VMs from other pools.
 */
class PoolDemandTest {
  private static final Resources VM_CAPACITY = new Resources(16_000, 64_000, 0);
  private static final PoolDemand DEMAND = new PoolDemand(new DemandRate(new DurationModel()));

  @ParameterizedTest
  @CsvSource({
    // A quarter of the pool's 64 cores becomes free before a moved VM would arrive.
    "4, 10000, 1000, 0, 0",
    "4, 20000, 1000, 0, 1",
    "4, 60000, 1000, 0, 3",
    // Memory is the scarce resource.
    "4, 1000, 100000, 0, 1",
    // A long-running task may need another worker even if the pool has enough capacity.
    "4, 1000, 1000, 1, 1",
    // A pool without workers needs one for even the smallest task.
    "0, 100, 100, 0, 1"
  })
  void countsVmsMissingForBacklog(
      int workerCount, long cpuMillis, long memoryMb, int longRunningTasks, int expectedVms) {
    Resources capacity = new Resources(16_000L * workerCount, 64_000L * workerCount, 0);
    Backlog.PoolBacklog poolBacklog =
        new Backlog.PoolBacklog(
            new Resources(cpuMillis, memoryMb, 0), /* tasks= */ 1, longRunningTasks);
    assertEquals(expectedVms, PoolDemand.missingForBacklog(poolBacklog, capacity, VM_CAPACITY));
  }

  @ParameterizedTest
  @CsvSource({
    // The pool's 64 cores are enough for work that uses 64 cores on average, but for no more.
    "4, 64000, 1000, 0",
    "4, 64001, 1000, 1",
    "4, 96000, 1000, 2",
    // Memory is the scarce resource.
    "4, 1000, 300000, 1"
  })
  void countsVmsMissingForArrivals(
      int workerCount, long cpuMillis, long memoryMb, int expectedVms) {
    Resources capacity = new Resources(16_000L * workerCount, 64_000L * workerCount, 0);
    assertEquals(
        expectedVms,
        PoolDemand.missingForSteadyNeed(
            new Resources(cpuMillis, memoryMb, 0), capacity, VM_CAPACITY));
  }

  @Test
  void backlogIsSummedByPool() {
    Backlog backlog = new Backlog();
    Task task =
        TestJobs.firstTask(
            TestJobs.jobAcceptedAt(
                0, TestJobs.step(1, 1_000, 500, TestJobs.StepKind.LONG_RUNNING, 0)));
    backlog.add("a", task);
    backlog.add("a", task);
    assertEquals(
        new Backlog.PoolBacklog(
            new Resources(2_000, 2_000, 0), /* tasks= */ 2, /* longRunningTasks= */ 2),
        backlog.forPool("a"));
    assertEquals(Backlog.PoolBacklog.EMPTY, backlog.forPool("b"));
  }

  @ParameterizedTest
  @CsvSource({"24, 0, 1", "24, 1, 24", "24, 2, 12", "23, 2, 12", "1, 4, 1"})
  void longRunningTasksNeedAsManyWorkersAsTheirMaximumRequires(
      int tasks, int maxPerWorker, int expectedWorkers) {
    Backlog backlog = new Backlog();
    Job job =
        TestJobs.jobAcceptedAt(
            0, TestJobs.step(tasks, 100, 500, TestJobs.StepKind.LONG_RUNNING, maxPerWorker));
    job.forEachTask(task -> backlog.add("pool", task));
    assertEquals(expectedWorkers, backlog.workersForLongRunning("pool"));
    assertEquals(0, backlog.workersForLongRunning("other"));
  }

  /** Guards against powering off VMs that waiting tasks of late jobs could use. */
  @ParameterizedTest
  @CsvSource({"0, true", "15, true", "16, true", "17, false"})
  void vmIsSparedOnlyWhenWaitingLateTasksFitOnTheOthers(int lateTasks, boolean expected) {
    PoolUsage usage =
        PoolUsage.byPool(List.of(TestWorkers.withId("w1"), TestWorkers.withId("w2"))).get("pool");
    Backlog backlog = backlogOfLateTasks(lateTasks, /* expectedMillis= */ 1_000);
    Resources needed = DEMAND.neededForAllJobs("pool", usage, backlog, /* nowMillis= */ 0);
    assertEquals(expected, PoolDemand.canSpareVm(usage, VM_CAPACITY, needed));
  }

  /** Guards against a pool that never grows for late jobs, however many of them wait. */
  @Test
  void lateTasksNeedCapacityInProportionToTheirWork() {
    Backlog backlog = backlogOfLateTasks(530, /* expectedMillis= */ 1_000);
    assertEquals(
        new Resources(100_000, 100_000, 0),
        DEMAND.neededToCatchUp("pool", PoolUsage.EMPTY, backlog, /* nowMillis= */ 0));
  }

  /** Guards against a pool that gets more VMs than a few very long tasks can use. */
  @Test
  void lateTasksNeedNoMoreThanTheyCanUse() {
    Backlog backlog = backlogOfLateTasks(3, /* expectedMillis= */ 600_000);
    assertEquals(
        new Resources(3_000, 3_000, 0),
        DEMAND.neededToCatchUp("pool", PoolUsage.EMPTY, backlog, /* nowMillis= */ 0));
  }

  private static Backlog backlogOfLateTasks(int tasks, double expectedMillis) {
    Backlog backlog = new Backlog();
    Task task =
        TestJobs.firstTask(
            TestJobs.jobAcceptedAt(0, TestJobs.step(1, 1_000, 500, TestJobs.StepKind.PLAIN, 0)));
    for (int i = 0; i < tasks; i++) {
      backlog.addLate("pool", task, expectedMillis);
    }
    return backlog;
  }
}
