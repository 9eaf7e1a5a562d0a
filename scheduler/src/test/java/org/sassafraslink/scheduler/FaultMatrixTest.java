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
import org.sassafraslink.scheduler.sim.FakeRows.Treatment;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNode;
import org.sassafraslink.scheduler.sim.SimNode.OrderFate;

/** Every kind of fault at every step of a job's life. */
class FaultMatrixTest {
  /** The steps of a job's life fall into this time after its submission, in ms. */
  private static final int LIFE_MILLIS = 2_400;

  private static final int STEP_MILLIS = 60;
  private static final int FAULT_MILLIS = 4_500;
  private static final long SEED = 20261204;

  /** Within this time after the last fault all jobs have their final state, in ms. */
  private static final int RECOVERY_MILLIS = 20_000;

  enum Fault {
    SCHEDULER_KILLED {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.stopNode(node);
        fleet.clock.after(FAULT_MILLIS, () -> fleet.startNode(node));
      }
    },
    SCHEDULER_RESTARTED_AT_ONCE {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.startNode(node);
      }
    },
    SCHEDULER_STOPPED_GRACEFULLY {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.nodes.get(node).stop();
      }
    },
    SCHEDULER_FROZEN {
      @Override
      void strike(SimFleet fleet, String node) {
        SimNode process = fleet.nodes.get(node);
        process.pause();
        fleet.clock.after(FAULT_MILLIS, () -> process.wake(0));
      }
    },
    SCHEDULER_SUSPENDED {
      @Override
      void strike(SimFleet fleet, String node) {
        SimNode process = fleet.nodes.get(node);
        process.pause();
        fleet.clock.after(FAULT_MILLIS, () -> process.wake(FAULT_MILLIS));
      }
    },
    ALL_KILLED {
      @Override
      void strike(SimFleet fleet, String node) {
        List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
      }
    },
    STORE_REFUSES_SCHEDULER {
      @Override
      void strike(SimFleet fleet, String node) {
        treat(fleet, List.of(node), Treatment.REFUSES);
      }
    },
    STORE_SILENT_TO_SCHEDULER {
      @Override
      void strike(SimFleet fleet, String node) {
        treat(fleet, List.of(node), Treatment.SILENT);
      }
    },
    STORE_DOWN {
      @Override
      void strike(SimFleet fleet, String node) {
        treat(fleet, List.copyOf(fleet.nodes.keySet()), Treatment.SILENT);
      }
    },
    STORE_LOSES_ANSWERS {
      @Override
      void strike(SimFleet fleet, String node) {
        treat(fleet, List.copyOf(fleet.nodes.keySet()), Treatment.LOSES_ANSWERS);
      }
    },
    STORE_APPLIES_LATE {
      @Override
      void strike(SimFleet fleet, String node) {
        treat(fleet, List.of(node), Treatment.APPLIES_LATE);
      }
    },
    STORE_FORGETS {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.rows.compact();
      }
    },
    CUT_FROM_WORKERS {
      @Override
      void strike(SimFleet fleet, String node) {
        orders(fleet, node, OrderFate.LOST);
      }
    },
    CUT_FROM_ALL {
      @Override
      void strike(SimFleet fleet, String node) {
        orders(fleet, node, OrderFate.LOST);
        treat(fleet, List.of(node), Treatment.SILENT);
      }
    },
    ORDERS_UNANSWERED {
      @Override
      void strike(SimFleet fleet, String node) {
        orders(fleet, node, OrderFate.ANSWER_LOST);
      }
    },
    ORDERS_LATE {
      @Override
      void strike(SimFleet fleet, String node) {
        orders(fleet, node, OrderFate.LATE);
      }
    },
    WORKER_CRASHES {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.crashWorker("w0");
        fleet.clock.after(FAULT_MILLIS, () -> fleet.startWorker("w0"));
      }
    },
    WORKER_REBORN {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.startWorker("w0");
      }
    },
    WORKER_CUT_OFF {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.nodes.values().forEach(process -> process.ordersTo("w0", OrderFate.LOST));
        fleet.clock.after(
            FAULT_MILLIS,
            () ->
                fleet
                    .nodes
                    .values()
                    .forEach(process -> process.ordersTo("w0", OrderFate.ANSWERED)));
      }
    },
    WORKER_CUT_OFF_FOR_LONG {
      @Override
      void strike(SimFleet fleet, String node) {
        String busiest = fleet.busiestWorker();
        fleet.nodes.values().forEach(process -> process.ordersTo(busiest, OrderFate.LOST));
        fleet.clock.after(
            3 * FAULT_MILLIS,
            () ->
                fleet
                    .nodes
                    .values()
                    .forEach(process -> process.ordersTo(busiest, OrderFate.ANSWERED)));
      }
    },
    WORKER_FAILS_ALL {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.failingWorkers.add("w1");
        fleet.clock.after(FAULT_MILLIS, fleet.failingWorkers::clear);
      }
    },
    JOB_CANCELLED {
      @Override
      void strike(SimFleet fleet, String node) {
        fleet.cancel("a");
      }
    };

    abstract void strike(SimFleet fleet, String node);

    private static void treat(SimFleet fleet, List<String> nodes, Treatment treatment) {
      nodes.forEach(name -> fleet.rows.treat(name, treatment));
      fleet.clock.after(
          FAULT_MILLIS, () -> nodes.forEach(name -> fleet.rows.treat(name, Treatment.SERVES)));
    }

    private static void orders(SimFleet fleet, String node, OrderFate fate) {
      SimNode process = fleet.nodes.get(node);
      process.orders(fate);
      fleet.clock.after(FAULT_MILLIS, () -> process.orders(OrderFate.ANSWERED));
    }
  }

  static SimFleet busyFleet(long seed) {
    SimFleet fleet = SimFleet.start(seed, 3, 4);
    fleet.run(1_500);
    fleet.submit("a", SimFleet.step(6, 1_000), SimFleet.step(4, 2_000, 0));
    fleet.submit("b", SimFleet.step(8, 1_500));
    fleet.submit("c", SimFleet.step(3, 500), SimFleet.step(3, 500, 0), SimFleet.step(2, 500, 1));
    return fleet;
  }

  private static void check(SimFleet fleet, String context) {
    for (String job : List.of("a", "b", "c")) {
      Optional<JobState> state = fleet.state(job);
      assertTrue(
          state.map(JobState::isFinal).orElse(false), context + ": job " + job + " is " + state);
    }
    assertEquals(List.of(), fleet.promises.violations(), context);
  }

  @Test
  void calmFleetCompletesAllJobs() {
    SimFleet fleet = busyFleet(SEED);
    fleet.run(5_000);
    check(fleet, "calm");
    assertEquals(Optional.of(JobState.COMPLETED), fleet.state("a"));
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void oneFaultAtEachStepBreaksNoPromise(Fault fault) {
    for (int at = 0; at < LIFE_MILLIS; at += STEP_MILLIS) {
      SimFleet fleet = busyFleet(SEED + at);
      fleet.run(at);
      fleet.schedulingNode().ifPresent(node -> fault.strike(fleet, node));
      fleet.run(FAULT_MILLIS + RECOVERY_MILLIS);
      check(fleet, fault + " at " + at);
    }
  }

  static Stream<Arguments> pairs() {
    return Stream.of(Fault.values())
        .flatMap(first -> Stream.of(Fault.values()).map(second -> Arguments.of(first, second)));
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void overlappingFaultsBreakNoPromise(Fault first, Fault second) {
    IntStream.of(120, 700, 1_300)
        .forEach(
            at -> {
              SimFleet fleet = busyFleet(SEED + at);
              fleet.run(at);
              fleet.schedulingNode().ifPresent(node -> first.strike(fleet, node));
              fleet.run(900);
              fleet.schedulingNode().ifPresent(node -> second.strike(fleet, node));
              fleet.run(FAULT_MILLIS + RECOVERY_MILLIS);
              check(fleet, first + " then " + second + " at " + at);
            });
  }
}
