package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNode;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Injects each fault into a simulated fleet at many times between the submission and the end of its
 * jobs, and each pair of faults at three times. Guards against jobs that are lost, that never
 * finish, or whose tasks run twice after a fault.
 */
class FaultMatrixTest {
  /** Time after the submission within which the jobs finish if there is no fault, in ms. */
  private static final int JOB_LIFETIME_MILLIS = 2_400;

  private static final int FAULT_TIME_STEP_MILLIS = 60;
  private static final int FAULT_DURATION_MILLIS = 4_500;

  /** Longer than a silent holder is waited for, and shorter than the scheduling lease, in ms. */
  private static final int BRIEF_FREEZE_MILLIS = 1_500;

  private static final long SEED = 20261204;

  /**
   * Time within which all jobs must reach a final state, in ms, counted from {@link
   * #FAULT_DURATION_MILLIS} after the start of the last fault.
   */
  private static final int RECOVERY_MILLIS = 20_000;

  /**
   * A fault of the simulated fleet. Faults of a limited duration end after {@link
   * #FAULT_DURATION_MILLIS}, {@link #WORKER_CUT_OFF_FOR_LONG} after three times as long.
   */
  enum Fault {
    SCHEDULER_KILLED {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.killNode(node);
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, () -> fleet.startNode(node));
      }
    },
    SCHEDULER_RESTARTED_IMMEDIATELY {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.startNode(node);
      }
    },
    SCHEDULER_STOPPED_GRACEFULLY {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.nodes.get(node).stop();
      }
    },
    /** The process ends, but no connection to it is closed or refused. */
    SCHEDULER_POWERED_OFF {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.powerOffNode(node);
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, () -> fleet.startNode(node));
      }
    },
    /** The process wakes after it was replaced, and still believes that it holds the lease. */
    SCHEDULER_FROZEN_BRIEFLY {
      @Override
      void inject(SimFleet fleet, String node) {
        SimNode process = fleet.nodes.get(node);
        process.pause();
        fleet.clock.runAfter(BRIEF_FREEZE_MILLIS, () -> process.resume(0));
      }
    },
    /** The process stops running, but its monotonic clock goes on. */
    SCHEDULER_FROZEN {
      @Override
      void inject(SimFleet fleet, String node) {
        SimNode process = fleet.nodes.get(node);
        process.pause();
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, () -> process.resume(0));
      }
    },
    /** The process stops running, and its monotonic clock stops too. */
    SCHEDULER_SUSPENDED {
      @Override
      void inject(SimFleet fleet, String node) {
        SimNode process = fleet.nodes.get(node);
        process.pause();
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, () -> process.resume(FAULT_DURATION_MILLIS));
      }
    },
    ALL_SCHEDULERS_RESTARTED {
      @Override
      void inject(SimFleet fleet, String node) {
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
      }
    },
    STORE_FAILS_CALLS_OF_SCHEDULER {
      @Override
      void inject(SimFleet fleet, String node) {
        setStoreBehavior(fleet, List.of(node), Behavior.FAILS_CALLS);
      }
    },
    STORE_UNRESPONSIVE_TO_SCHEDULER {
      @Override
      void inject(SimFleet fleet, String node) {
        setStoreBehavior(fleet, List.of(node), Behavior.UNRESPONSIVE);
      }
    },
    STORE_UNRESPONSIVE_TO_ALL {
      @Override
      void inject(SimFleet fleet, String node) {
        setStoreBehavior(fleet, List.copyOf(fleet.nodes.keySet()), Behavior.UNRESPONSIVE);
      }
    },
    STORE_LOSES_RESPONSES {
      @Override
      void inject(SimFleet fleet, String node) {
        setStoreBehavior(fleet, List.copyOf(fleet.nodes.keySet()), Behavior.LOSES_RESPONSES);
      }
    },
    STORE_APPLIES_TRANSACTIONS_LATE {
      @Override
      void inject(SimFleet fleet, String node) {
        setStoreBehavior(fleet, List.of(node), Behavior.APPLIES_TRANSACTIONS_LATE);
      }
    },
    STORE_DISCARDS_HISTORY {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.rowStore.discardHistory();
      }
    },
    SCHEDULER_CUT_OFF_FROM_WORKERS {
      @Override
      void inject(SimFleet fleet, String node) {
        setCommandOutcome(fleet, node, CommandOutcome.NOT_DELIVERED);
      }
    },
    /** Neither the scheduler nor another process reaches the other, the store or a worker. */
    SCHEDULER_CUT_OFF {
      @Override
      void inject(SimFleet fleet, String node) {
        SimNode process = fleet.nodes.get(node);
        process.setHeartbeatsLost(true);
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, () -> process.setHeartbeatsLost(false));
        setCommandOutcome(fleet, node, CommandOutcome.NOT_DELIVERED);
        setStoreBehavior(fleet, List.of(node), Behavior.UNRESPONSIVE);
      }
    },
    SCHEDULER_CUT_OFF_FROM_WORKERS_AND_STORE {
      @Override
      void inject(SimFleet fleet, String node) {
        setCommandOutcome(fleet, node, CommandOutcome.NOT_DELIVERED);
        setStoreBehavior(fleet, List.of(node), Behavior.UNRESPONSIVE);
      }
    },
    COMMAND_RESPONSES_LOST {
      @Override
      void inject(SimFleet fleet, String node) {
        setCommandOutcome(fleet, node, CommandOutcome.RESPONSE_LOST);
      }
    },
    COMMANDS_EXECUTED_LATE {
      @Override
      void inject(SimFleet fleet, String node) {
        setCommandOutcome(fleet, node, CommandOutcome.EXECUTED_LATE);
      }
    },
    WORKER_CRASHES {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.crashWorker("w0");
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, () -> fleet.startWorker("w0"));
      }
    },
    WORKER_RESTARTED {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.startWorker("w0");
      }
    },
    WORKER_CUT_OFF {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet
            .nodes
            .values()
            .forEach(process -> process.setCommandOutcomeFor("w0", CommandOutcome.NOT_DELIVERED));
        fleet.clock.runAfter(
            FAULT_DURATION_MILLIS,
            () ->
                fleet
                    .nodes
                    .values()
                    .forEach(
                        process ->
                            process.setCommandOutcomeFor("w0", CommandOutcome.RESPONSE_RECEIVED)));
      }
    },
    WORKER_CUT_OFF_FOR_LONG {
      @Override
      void inject(SimFleet fleet, String node) {
        String busiest = fleet.busiestWorkerId();
        fleet
            .nodes
            .values()
            .forEach(
                process -> process.setCommandOutcomeFor(busiest, CommandOutcome.NOT_DELIVERED));
        fleet.clock.runAfter(
            3 * FAULT_DURATION_MILLIS,
            () ->
                fleet
                    .nodes
                    .values()
                    .forEach(
                        process ->
                            process.setCommandOutcomeFor(
                                busiest, CommandOutcome.RESPONSE_RECEIVED)));
      }
    },
    WORKER_FAILS_ALL_TASKS {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.workersThatFailAllTasks.add("w1");
        fleet.clock.runAfter(FAULT_DURATION_MILLIS, fleet.workersThatFailAllTasks::clear);
      }
    },
    JOB_CANCELLED {
      @Override
      void inject(SimFleet fleet, String node) {
        fleet.cancel("a");
      }
    };

    /**
     * Starts the fault now, and schedules its end.
     *
     * @param node the name of the node that schedules
     */
    abstract void inject(SimFleet fleet, String node);

    /** Changes how the store responds to some nodes, for {@link #FAULT_DURATION_MILLIS}. */
    private static void setStoreBehavior(SimFleet fleet, List<String> nodes, Behavior behavior) {
      nodes.forEach(name -> fleet.rowStore.setBehavior(name, behavior));
      fleet.clock.runAfter(
          FAULT_DURATION_MILLIS,
          () -> nodes.forEach(name -> fleet.rowStore.setBehavior(name, Behavior.NORMAL)));
    }

    /** Changes what happens to a node's commands to workers, for {@link #FAULT_DURATION_MILLIS}. */
    private static void setCommandOutcome(SimFleet fleet, String node, CommandOutcome outcome) {
      SimNode process = fleet.nodes.get(node);
      process.setCommandOutcome(outcome);
      fleet.clock.runAfter(
          FAULT_DURATION_MILLIS, () -> process.setCommandOutcome(CommandOutcome.RESPONSE_RECEIVED));
    }
  }

  /** Returns a fleet of three nodes and four workers to which three jobs were just submitted. */
  static SimFleet fleetWithSubmittedJobs(long seed) {
    SimFleet fleet = SimFleet.start(seed, 3, 4);
    fleet.runFor(1_500);
    fleet.submit("a", SimFleet.step(6, 1_000), SimFleet.step(4, 2_000, 0));
    fleet.submit("b", SimFleet.step(8, 1_500));
    fleet.submit("c", SimFleet.step(3, 500), SimFleet.step(3, 500, 0), SimFleet.step(2, 500, 1));
    return fleet;
  }

  private static void assertJobsFinishedAndNoViolations(SimFleet fleet, String context) {
    for (String job : List.of("a", "b", "c")) {
      Optional<JobState> state = fleet.checkedState(job);
      assertTrue(
          state.map(JobState::isFinal).orElse(false),
          context + ": state of job " + job + ": " + state);
    }
    assertEquals(List.of(), fleet.guaranteeChecker.violations(), context);
  }

  @Test
  void fleetWithoutFaultsCompletesAllJobs() {
    SimFleet fleet = fleetWithSubmittedJobs(SEED);
    fleet.runFor(5_000);
    assertJobsFinishedAndNoViolations(fleet, "no fault");
    assertEquals(Optional.of(JobState.COMPLETED), fleet.checkedState("a"));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void guaranteesHoldAfterFaultAtAnyTime(Fault fault) {
    for (int faultMillis = 0;
        faultMillis < JOB_LIFETIME_MILLIS;
        faultMillis += FAULT_TIME_STEP_MILLIS) {
      SimFleet fleet = fleetWithSubmittedJobs(SEED + faultMillis);
      fleet.runFor(faultMillis);
      fleet.schedulingNodeName().ifPresent(node -> fault.inject(fleet, node));
      fleet.runFor(FAULT_DURATION_MILLIS + RECOVERY_MILLIS);
      assertJobsFinishedAndNoViolations(fleet, fault + " at ms " + faultMillis);
    }
  }

  static Stream<Arguments> faultPairs() {
    return Stream.of(Fault.values())
        .flatMap(first -> Stream.of(Fault.values()).map(second -> Arguments.of(first, second)));
  }

  @ParameterizedTest
  @MethodSource("faultPairs")
  void guaranteesHoldAfterOverlappingFaults(Fault first, Fault second) {
    IntStream.of(120, 700, 1_300)
        .forEach(
            firstFaultMillis -> {
              SimFleet fleet = fleetWithSubmittedJobs(SEED + firstFaultMillis);
              fleet.runFor(firstFaultMillis);
              fleet.schedulingNodeName().ifPresent(node -> first.inject(fleet, node));
              fleet.runFor(900);
              fleet.schedulingNodeName().ifPresent(node -> second.inject(fleet, node));
              fleet.runFor(FAULT_DURATION_MILLIS + RECOVERY_MILLIS);
              assertJobsFinishedAndNoViolations(
                  fleet, first + " then " + second + " at ms " + firstFaultMillis);
            });
  }
}
