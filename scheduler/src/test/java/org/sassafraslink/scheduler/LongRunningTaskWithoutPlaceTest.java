package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.Wave;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * Guards against long-running tasks that wait for a worker while one of their pool has room, or
 * while the peak of another pool takes all VMs.
 */
class LongRunningTaskWithoutPlaceTest {
  private static final long SEED = 20261208;
  private static final String SMALL_POOL = "tallies";
  private static final String BUSY_POOL = "sheets";
  private static final int CORES_PER_WORKER = 16;
  private static final int TASK_MILLIS = 800;
  private static final int TASKS_PER_JOB = 8;
  private static final int STEP_MILLIS = 50;

  /** The rule for long-running tasks, without the time of its first 6 s, in ms. */
  private static final int MAX_AWAY_MILLIS = 3_000;

  private SimFleet fleet;
  private int submitted;

  private void start(int smallVms, int busyVms, int standbyVms) {
    fleet =
        SimFleet.start(
            SEED,
            /* nodeCount= */ 1,
            SimLayout.withStandbyPool(
                ImmutableMap.of(
                    SMALL_POOL, smallVms, BUSY_POOL, busyVms, SimLayout.STANDBY_POOL, standbyVms),
                /* movesPerSecond= */ 32));
    fleet.runFor(3_000);
  }

  /** Submits a job that runs until it is cancelled, and waits until it does. */
  private void runLongRunning(String pool, int tasks, int maxPerWorker) {
    fleet.submitToOpenQueue(
        "lasting-" + pool,
        pool,
        TestJobs.step(
            tasks,
            /* cpuMillis= */ 1_250,
            /* estimatedMillis= */ 600_000,
            TestJobs.StepKind.LONG_RUNNING,
            maxPerWorker));
    fleet.runFor(1_000);
  }

  /** Submits, evenly over {@code millis} ms, jobs that need {@code cores} cores. */
  private void submitPeak(int millis, double cores) {
    submitPeakTo(BUSY_POOL, millis, cores);
  }

  private void submitPeakTo(String pool, int millis, double cores) {
    double jobsPerStep = cores * STEP_MILLIS / (2.0 * TASKS_PER_JOB * TASK_MILLIS);
    double due = 0;
    for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      for (due += jobsPerStep; due >= 1; due--) {
        fleet.submitToOpenQueue(
            "short" + submitted++,
            pool,
            SimFleet.stepOfMillis(TASK_MILLIS, TASKS_PER_JOB, /* cpuMillis= */ 2_000));
      }
      fleet.runFor(STEP_MILLIS);
    }
  }

  /** Requests the maintenance of all VMs with workers, and returns how many these are. */
  private int requestWave(int maxDown, String... pools) {
    ImmutableList<String> vms =
        Stream.of(pools)
            .flatMap(pool -> fleet.vmsWithWorkers(pool).stream())
            .collect(ImmutableList.toImmutableList());
    Wave wave = new Wave(/* number= */ 1, vms, /* durationSeconds= */ 30, maxDown);
    fleet.nodes.values().forEach(node -> node.requestWave(wave));
    return vms.size();
  }

  private void assertNeverAwayForLong() {
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertTrue(
        fleet.longestAbsenceMillis() <= MAX_AWAY_MILLIS, fleet.longestAbsenceMillis() + " ms away");
  }

  /** Guards against a stop for a wave while the only worker with room is drained itself. */
  @ParameterizedTest
  @CsvSource({"1, 8, 3", "1, 30, 10", "2, 8, 3", "2, 30, 32", "1, 8, 8"})
  void waveStopsTaskWhileOtherPoolTakesAllVms(int smallVms, int busyVms, int maxDown) {
    start(smallVms, busyVms, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, /* tasks= */ 4, /* maxPerWorker= */ 0);
    submitPeak(/* millis= */ 1_000, 3.0 * busyVms * CORES_PER_WORKER);
    int vms = requestWave(maxDown, SMALL_POOL, BUSY_POOL);
    submitPeak(/* millis= */ 12_000, 2.0 * busyVms * CORES_PER_WORKER);
    fleet.runFor(/* millis= */ 20_000);
    assertNeverAwayForLong();
    assertEquals(vms, fleet.maintenanceCountByVm().size(), "VMs with maintenance");
  }

  /** Guards against a pool that waits for a VM after the loss of a worker until a peak is over. */
  @ParameterizedTest
  @ValueSource(ints = {4, 30})
  void lostWorkerIsNotReplacedWhileOtherPoolTakesAllVms(int busyVms) {
    start(/* smallVms= */ 1, busyVms, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, /* tasks= */ 4, /* maxPerWorker= */ 0);
    submitPeak(/* millis= */ 1_500, 3.0 * busyVms * CORES_PER_WORKER);
    List<Long> releasedMillis = new ArrayList<>();
    fleet.eventObserver =
        (event, fields) -> {
          if (event.equals("task.released") && List.of(fields).contains("lasting-" + SMALL_POOL)) {
            releasedMillis.add(fleet.clock.nowMillis());
          }
        };
    fleet.vmsWithWorkers(SMALL_POOL).forEach(fleet::crashWorkerOn);
    // All leases of the lost worker have expired by then.
    submitPeak(/* millis= */ 10_000 + MAX_AWAY_MILLIS, 2.0 * busyVms * CORES_PER_WORKER);
    assertEquals(4, fleet.runningAttemptCountOf("lasting-" + SMALL_POOL), "tasks that run again");
    long waitMillis = lastStartMillis(SMALL_POOL) - releasedMillis.get(0);
    assertTrue(waitMillis <= MAX_AWAY_MILLIS, waitMillis + " ms from the release to the start");
  }

  private long lastStartMillis(String pool) {
    return fleet.guaranteeChecker.lastStartMillis("lasting-" + pool).orElseThrow();
  }

  /** Guards against a wave that leaves no worker without a task of the step. */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 5})
  void waveStopsTaskOfStepThatIsOnAllWorkers(int workers) {
    start(workers, /* busyVms= */ 6, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, workers, /* maxPerWorker= */ 1);
    int vms = requestWave(/* maxDown= */ 3, SMALL_POOL, BUSY_POOL);
    submitPeak(/* millis= */ 10_000, 2.0 * 6 * CORES_PER_WORKER);
    fleet.runFor(/* millis= */ 25_000);
    assertNeverAwayForLong();
    assertEquals(vms, fleet.maintenanceCountByVm().size(), "VMs with maintenance");
  }

  private void requestWaveOf(String vm, int durationSeconds) {
    Wave wave = new Wave(/* number= */ 1, ImmutableList.of(vm), durationSeconds, /* maxDown= */ 1);
    fleet.nodes.values().forEach(node -> node.requestWave(wave));
  }

  /** Returns the VM in the small pool on whose worker tasks run, which all run on one. */
  private String vmWithTasks() {
    return fleet.workerIds(SMALL_POOL).stream()
        .filter(fleet::isRunningAttempt)
        .map(id -> id.substring(0, id.lastIndexOf('-')))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against a stop for a wave after the loss of the worker that had room at its cordon. */
  @ParameterizedTest
  @ValueSource(ints = {4, 8})
  void waveStopsTaskWhoseDestinationIsLost(int busyVms) {
    start(/* smallVms= */ 2, busyVms, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, /* tasks= */ 4, /* maxPerWorker= */ 0);
    String drained = vmWithTasks();
    List<String> stopsWithoutPlace = new ArrayList<>();
    fleet.eventObserver =
        (event, fields) -> {
          if (event.equals("worker.cordoned") && List.of(fields).contains(drained)) {
            fleet.vmsWithWorkers(SMALL_POOL).stream()
                .filter(vm -> !vm.equals(drained))
                .forEach(vm -> fleet.clock.runAfter(1, () -> fleet.crashWorkerOn(vm)));
          } else if (event.equals("task.stop") && fleet.workerCount(SMALL_POOL) < 2) {
            stopsWithoutPlace.add(fleet.clock.nowMillis() + " " + List.of(fields));
          }
        };
    // A new scheduler cordons the worker at once, but may not stop long-running tasks yet.
    fleet.startNode("n0");
    requestWaveOf(drained, /* durationSeconds= */ 5);
    submitPeak(/* millis= */ 8_000, 2.0 * busyVms * CORES_PER_WORKER);
    assertEquals(List.of(), stopsWithoutPlace);
  }

  /** Guards against short tasks that take the room to which a wave moves long-running tasks. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4})
  void shortTasksOfOwnPoolTakeDestination(int tasks) {
    start(/* smallVms= */ 2, /* busyVms= */ 0, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, tasks, /* maxPerWorker= */ 0);
    String drained = vmWithTasks();
    // Each needs the whole other worker for longer than a long-running task may be away.
    for (int i = 0; i < 8; i++) {
      fleet.submitToOpenQueue(
          "short" + submitted++,
          SMALL_POOL,
          SimFleet.stepOfMillis(MAX_AWAY_MILLIS + 1_000, 1, CORES_PER_WORKER * 1_000));
    }
    fleet.runFor(500);
    requestWaveOf(drained, /* durationSeconds= */ 5);
    fleet.runFor(20_000);
    assertNeverAwayForLong();
    assertEquals(1, fleet.maintenanceCountByVm().size(), "VMs with maintenance");
  }

  /** Guards against a task that waits beside a drained worker, which nothing can empty. */
  @Test
  void drainedWorkerIsNotOpenedForWaitingTask() {
    start(/* smallVms= */ 2, /* busyVms= */ 0, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, /* tasks= */ 4, /* maxPerWorker= */ 0);
    String drained = vmWithTasks();
    fleet.startNode("n0");
    requestWaveOf(drained, /* durationSeconds= */ 5);
    fleet.runFor(1_500);
    fleet.vmsWithWorkers(SMALL_POOL).stream()
        .filter(vm -> !vm.equals(drained))
        .forEach(fleet::crashWorkerOn);
    fleet.runFor(5_000);
    fleet.submitToOpenQueue(
        "added",
        SMALL_POOL,
        TestJobs.step(
            1,
            /* cpuMillis= */ 1_250,
            /* estimatedMillis= */ 600_000,
            TestJobs.StepKind.LONG_RUNNING,
            /* maxPerWorker= */ 0));
    fleet.runFor(MAX_AWAY_MILLIS);
    assertEquals(1, fleet.runningAttemptCountOf("added"));
  }

  /** Guards against a drain of the only worker, which nothing can empty, so that jobs wait. */
  @Test
  void onlyWorkerIsDrained() {
    start(/* smallVms= */ 1, /* busyVms= */ 0, /* standbyVms= */ 0);
    runLongRunning(SMALL_POOL, /* tasks= */ 1, /* maxPerWorker= */ 0);
    requestWaveOf(vmWithTasks(), /* durationSeconds= */ 5);
    fleet.runFor(2_000);
    fleet.submitToOpenQueue("short", SMALL_POOL, SimFleet.stepOfMillis(TASK_MILLIS, 1, 2_000));
    fleet.runFor(MAX_AWAY_MILLIS + TASK_MILLIS);
    assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState("short"));
    assertEquals(1, fleet.runningAttemptCountOf("lasting-" + SMALL_POOL));
  }
}
