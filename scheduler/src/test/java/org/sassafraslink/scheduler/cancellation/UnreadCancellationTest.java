package org.sassafraslink.scheduler.cancellation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.EnumSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Cancels jobs while the scheduler cannot read the cancellations, but its transactions, and thus
 * the renewals of its lease, are answered.
 */
class UnreadCancellationTest {
  private static final String POOL = "rounds";
  private static final int FAULT_MILLIS = 15_000;

  /** How long after its cancellation a job may start tasks, in ms. */
  private static final int MAX_CANCELLATION_MILLIS = 3_000;

  private static final int MAX_STOP_MILLIS = 400;

  /** What keeps the scheduler from reading changes of jobs. */
  private enum ReadFault {
    LONG_POLLS_SILENT {
      @Override
      void begin(SimFleet fleet) {
        fleet.rowStore.silenceLongPolls(FAULT_MILLIS);
      }
    },
    READS_FAIL {
      @Override
      void begin(SimFleet fleet) {
        String scheduler = fleet.schedulingNodeName().orElseThrow();
        fleet.rowStore.setBehavior(scheduler, Behavior.FAILS_READS_OF_JOBS);
      }
    },
    HISTORY_DISCARDED_AND_READS_FAIL {
      @Override
      void begin(SimFleet fleet) {
        fleet.rowStore.discardHistory();
        READS_FAIL.begin(fleet);
      }
    };

    abstract void begin(SimFleet fleet);
  }

  private static SimFleet startFleet(long seed) {
    SimFleet fleet =
        SimFleet.start(
            seed,
            /* nodeCount= */ 2,
            SimLayout.withStandbyPool(
                ImmutableMap.of(POOL, 4, SimLayout.STANDBY_POOL, 2), /* movesPerSecond= */ 20));
    while (fleet.schedulingNodeName().isEmpty()) {
      fleet.runFor(10);
    }
    fleet.runFor(500);
    return fleet;
  }

  private static StepSpec[] stepsInTurn(int count) {
    return IntStream.range(0, count)
        .mapToObj(step -> step == 0 ? SimFleet.step(2, 1_000) : SimFleet.step(2, 1_000, step - 1))
        .toArray(StepSpec[]::new);
  }

  private static StepSpec longRunningStep(int count) {
    return new StepSpec(
        count,
        new Resources(1_000, 100, 0),
        /* estimatedMillis= */ 500,
        /* after= */ ImmutableList.of(),
        /* gang= */ false,
        /* rackLocal= */ false,
        /* requiredLabel= */ "",
        /* dataRack= */ "",
        /* maxPerWorker= */ 0,
        /* speculative= */ false,
        /* checkpointing= */ false,
        /* longRunning= */ true,
        /* image= */ "",
        /* latencyTargetMillis= */ 0,
        /* backfill= */ false,
        /* maxUnavailable= */ 0);
  }

  /** Guards against steps that start seconds after the cancellation of their job. */
  @ParameterizedTest
  @EnumSource(ReadFault.class)
  void laterStepsDoNotStart(ReadFault fault) {
    for (int seed = 1; seed <= 8; seed++) {
      SimFleet fleet = startFleet(seed);
      fleet.submitToOpenQueue("job", POOL, stepsInTurn(24));
      fleet.runFor(300);
      fault.begin(fleet);
      fleet.runFor(100L * seed);
      fleet.cancel("job");
      fleet.runFor(FAULT_MILLIS);
      assertEquals(ImmutableList.of(), fleet.guaranteeChecker.violations(), "seed " + seed);
    }
  }

  /** Guards against tasks that run on because no long poll tells of the cancellation. */
  @ParameterizedTest
  @ValueSource(ints = {0, 400, 900, 1_500, 2_400, 5_000})
  void runningTasksAreStopped(int silentForMillis) {
    SimFleet fleet = startFleet(silentForMillis);
    fleet.multiplyTaskTimes(100);
    fleet.submitToOpenQueue("job", POOL, SimFleet.step(6, 1_000));
    fleet.runFor(300);
    assertEquals(6, fleet.runningAttemptCount());
    fleet.rowStore.silenceLongPolls(FAULT_MILLIS);
    fleet.runFor(silentForMillis);
    fleet.cancel("job");
    fleet.runFor(MAX_CANCELLATION_MILLIS + MAX_STOP_MILLIS);
    assertEquals(0, fleet.runningAttemptCount());
  }

  /** Guards against a start that is repeated until its worker is reached after the cancellation. */
  @ParameterizedTest
  @CsvSource({"LONG_POLLS_SILENT, 300", "READS_FAIL, 300", "READS_FAIL, 1200", "READS_FAIL, 2000"})
  void unansweredStartIsNotRepeated(ReadFault fault, int cancelledAfterMillis) {
    SimFleet fleet = startFleet(cancelledAfterMillis);
    String scheduler = fleet.schedulingNodeName().orElseThrow();
    setStartOutcome(fleet, scheduler, CommandOutcome.NOT_DELIVERED);
    fleet.submitToOpenQueue("job", POOL, longRunningStep(4));
    fleet.runFor(200);
    fault.begin(fleet);
    fleet.runFor(cancelledAfterMillis);
    fleet.cancel("job");
    fleet.runFor(MAX_CANCELLATION_MILLIS + 1_000);
    setStartOutcome(fleet, scheduler, CommandOutcome.RESPONSE_RECEIVED);
    fleet.runFor(FAULT_MILLIS);
    assertEquals(ImmutableList.of(), fleet.guaranteeChecker.violations());
  }

  /** Guards against a start that waits in its process until seconds after the cancellation. */
  @ParameterizedTest
  @ValueSource(ints = {3_200, 4_000, 8_000})
  void queuedStartIsNotWritten(int queueMillis) {
    SimFleet fleet = startFleet(queueMillis);
    SimNode scheduler = fleet.nodes.get(fleet.schedulingNodeName().orElseThrow());
    scheduler.setCommandQueueTime(queueMillis);
    fleet.submitToOpenQueue("job", POOL, SimFleet.step(2, 1_000));
    fleet.runFor(100);
    fleet.cancel("job");
    fleet.runFor(FAULT_MILLIS);
    assertEquals(ImmutableList.of(), fleet.guaranteeChecker.violations());
  }

  /** Guards against a start after a suspension during which its bound, but not the lease, ends. */
  @ParameterizedTest
  @CsvSource({"1200, 1700", "1500, 1400", "1500, 1900", "1800, 1900"})
  void startIsNotSentAfterShortSuspension(int suspendedAfterMillis, int suspendedMillis) {
    SimFleet fleet = startFleet(suspendedMillis);
    String scheduler = fleet.schedulingNodeName().orElseThrow();
    setStartOutcome(fleet, scheduler, CommandOutcome.NOT_DELIVERED);
    fleet.submitToOpenQueue("job", POOL, longRunningStep(4));
    fleet.runFor(60);
    fleet.rowStore.silenceLongPolls(FAULT_MILLIS);
    fleet.cancel("job");
    fleet.runFor(suspendedAfterMillis);
    setStartOutcome(fleet, scheduler, CommandOutcome.RESPONSE_RECEIVED);
    fleet.nodes.get(scheduler).pause();
    fleet.runFor(suspendedMillis);
    fleet.nodes.get(scheduler).resume(/* clockStopMillis= */ suspendedMillis);
    fleet.runFor(FAULT_MILLIS);
    assertEquals(ImmutableList.of(), fleet.guaranteeChecker.violations());
  }

  /** Guards against a withheld start that is not sent although its job is not cancelled. */
  @Test
  void withheldStartIsSentLater() {
    SimFleet fleet = startFleet(1);
    String scheduler = fleet.schedulingNodeName().orElseThrow();
    setStartOutcome(fleet, scheduler, CommandOutcome.NOT_DELIVERED);
    fleet.submitToOpenQueue("job", POOL, longRunningStep(4));
    fleet.runFor(200);
    ReadFault.READS_FAIL.begin(fleet);
    fleet.runFor(8_000);
    setStartOutcome(fleet, scheduler, CommandOutcome.RESPONSE_RECEIVED);
    fleet.runFor(1_000);
    assertTrue(fleet.guaranteeChecker.firstStartMillis("job").isPresent());
  }

  /** Guards against starts that are withheld although nothing is wrong with the job. */
  @ParameterizedTest
  @EnumSource(ReadFault.class)
  void uncancelledJobsGoOn(ReadFault fault) {
    SimFleet fleet = startFleet(1);
    fleet.submitToOpenQueue("job", POOL, stepsInTurn(6));
    fleet.runFor(300);
    fault.begin(fleet);
    fleet.runFor(FAULT_MILLIS);
    assertTrue(fleet.checkedState("job").orElseThrow().isFinal());
    assertEquals(ImmutableList.of(), fleet.guaranteeChecker.violations());
  }

  private static void setStartOutcome(SimFleet fleet, String scheduler, CommandOutcome outcome) {
    fleet
        .workerIds(POOL)
        .forEach(
            worker ->
                fleet.network.setOutcome(
                    scheduler, worker, EnumSet.of(CommandKind.START), outcome));
  }
}
