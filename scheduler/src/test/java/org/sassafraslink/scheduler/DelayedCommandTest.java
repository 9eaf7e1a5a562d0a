package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
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
  private SimFleet startFleet(int nodeCount) {
    SimFleet fleet =
        SimFleet.start(
            SEED,
            nodeCount,
            SimLayout.singlePool(/* workerCount= */ 4),
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
  @ValueSource(longs = {3_500, 6_000, 12_000})
  void startIsNotSentAfterPauseInWhichItsJobWasCancelled(long pauseMillis) {
    SimFleet fleet = startFleet(/* nodeCount= */ 3);
    SimNode paused = pauseBeforeStartsAreSent(fleet);
    fleet.cancel(JOB_ID);
    fleet.runFor(pauseMillis);
    paused.resume(/* clockStopMillis= */ 0);
    fleet.runFor(15_000);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(Optional.empty(), fleet.guaranteeChecker.firstStartMillis(JOB_ID));
    assertEquals(Optional.of(JobState.CANCELLED), fleet.checkedState(JOB_ID));
  }

  /** No other process takes over, and the process renews its lease when it resumes. */
  @ParameterizedTest
  @ValueSource(longs = {2_100, 4_000, 8_000})
  void taskIsStartedAfterPauseThatOutlastsTheLease(long pauseMillis) {
    SimFleet fleet = startFleet(/* nodeCount= */ 1);
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
        startMillis - resumedMillis < 1_000,
        "started " + (startMillis - resumedMillis) + " ms after the process resumed");
    assertTrue(!events.contains("worker.silent"), "a worker counts as failing");
  }
}
