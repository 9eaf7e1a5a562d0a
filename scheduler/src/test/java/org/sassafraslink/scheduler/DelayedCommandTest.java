package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.DisabledMechanism;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;
import org.sassafraslink.scheduler.sim.SimNode;

/**
 * Guards against commands that wait in a process while it is paused and are sent when the process
 * resumes, after its lease has ended, and against tasks that are lost when such a command is not
 * sent.
 */
class DelayedCommandTest {
  private static final long SEED = 20261207;
  private static final String JOB_ID = "a";
  private static final int COMMAND_QUEUE_MILLIS = 200;

  private final List<String> events = new ArrayList<>();

  /** Returns a fleet with workers that execute all commands, also those of earlier schedulers. */
  private SimFleet startFleet(int nodeCount, int workerCount) {
    SimFleet fleet =
        SimFleet.start(
            SEED,
            nodeCount,
            SimLayout.singlePool(workerCount),
            ImmutableSet.of(DisabledMechanism.FENCING_TOKEN_CHECKS));
    fleet.eventObserver = (event, fields) -> events.add(event);
    fleet.runFor(1_500);
    return fleet;
  }

  /** Pauses the process that schedules while the starts of a job wait in it. */
  private SimNode pauseBeforeStartsAreSent(SimFleet fleet) {
    SimNode node = fleet.nodes.get(fleet.schedulingNodeName().orElseThrow());
    fleet.submit(JOB_ID, SimFleet.step(4, 2_000));
    node.setCommandQueueTime(COMMAND_QUEUE_MILLIS);
    while (fleet.startCommands.isEmpty()) {
      fleet.runFor(1);
    }
    node.pause();
    return node;
  }

  @ParameterizedTest
  @CsvSource({"1, 3500", "1, 5000", "3, 3500", "3, 5000", "3, 12000"})
  void startIsNotSentAfterPauseInWhichItsJobWasCancelled(int nodeCount, long pauseMillis) {
    SimFleet fleet = startFleet(nodeCount, /* workerCount= */ 4);
    SimNode paused = pauseBeforeStartsAreSent(fleet);
    fleet.cancel(JOB_ID);
    fleet.runFor(pauseMillis);
    paused.resume(/* clockStopMillis= */ 0);
    assertJobNeverStarts(fleet);
  }

  /** The workers have forgotten the stops of the successor. */
  @ParameterizedTest
  @ValueSource(longs = {3_500, 5_000})
  void startIsNotSentAfterPauseInWhichWorkersRestarted(long pauseMillis) {
    SimFleet fleet = startFleet(/* nodeCount= */ 3, /* workerCount= */ 1);
    SimNode paused = pauseBeforeStartsAreSent(fleet);
    fleet.cancel(JOB_ID);
    fleet.runFor(pauseMillis);
    fleet.startWorker("w0");
    paused.resume(/* clockStopMillis= */ 0);
    assertJobNeverStarts(fleet);
  }

  private static void assertJobNeverStarts(SimFleet fleet) {
    fleet.runFor(15_000);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(Optional.empty(), fleet.guaranteeChecker.firstStartMillis(JOB_ID));
    assertEquals(Optional.of(JobState.CANCELLED), fleet.checkedState(JOB_ID));
  }

  /** No other process takes over, and the process renews its lease when it resumes. */
  @ParameterizedTest
  @ValueSource(longs = {2_100, 4_000, 8_000})
  void taskIsStartedAfterPauseThatOutlastsTheLease(long pauseMillis) {
    SimFleet fleet = startFleet(/* nodeCount= */ 1, /* workerCount= */ 1);
    SimNode paused = pauseBeforeStartsAreSent(fleet);
    fleet.runFor(pauseMillis);
    long resumedMillis = fleet.clock.nowMillis();
    paused.resume(/* clockStopMillis= */ 0);
    paused.setCommandQueueTime(0);
    fleet.runFor(10_000);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState(JOB_ID));
    long startMillis = fleet.guaranteeChecker.firstStartMillis(JOB_ID).orElseThrow();
    assertTrue(
        startMillis - resumedMillis < 500,
        "started " + (startMillis - resumedMillis) + " ms after the process resumed");
    assertTrue(!events.contains("worker.silent"), "a worker counts as failing");
    assertTrue(events.contains("task.command_withheld"), "nothing is logged");
  }
}
