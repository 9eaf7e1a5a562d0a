package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * Guards against a gang whose members are started with different checkpoints: it never works, and
 * is started again without end.
 */
final class GangCheckpointTest {
  private static final long SEED = 20261205;
  private static final int MEMBERS = 3;
  private static final int WORKERS = 6;
  private static final int WORK_MILLIS = 6_000;

  /** How long a worker or a scheduler is down or out of touch, in ms. */
  private static final int OUTAGE_MILLIS = 2_500;

  private static final int FINISH_MILLIS = 40_000;

  /** What disturbs a gang. */
  enum Disturbance {
    WORKER_LOST {
      @Override
      void inject(SimFleet fleet, String worker) {
        fleet.crashWorker(worker);
        fleet.clock.runAfter(OUTAGE_MILLIS, () -> fleet.startWorker(worker));
      }
    },
    WORKER_RESTARTED {
      @Override
      void inject(SimFleet fleet, String worker) {
        fleet.startWorker(worker);
      }
    },
    WORKER_CUT_OFF {
      @Override
      void inject(SimFleet fleet, String worker) {
        setOutcome(fleet, worker, CommandOutcome.NOT_DELIVERED);
      }
    },
    RESPONSES_LOST {
      @Override
      void inject(SimFleet fleet, String worker) {
        setOutcome(fleet, worker, CommandOutcome.RESPONSE_LOST);
      }
    },
    SCHEDULER_KILLED {
      @Override
      void inject(SimFleet fleet, String worker) {
        fleet
            .schedulingNodeName()
            .ifPresent(
                node -> {
                  fleet.killNode(node);
                  fleet.clock.runAfter(OUTAGE_MILLIS, () -> fleet.startNode(node));
                });
      }
    };

    abstract void inject(SimFleet fleet, String worker);

    private static void setOutcome(SimFleet fleet, String worker, CommandOutcome outcome) {
      fleet.nodes.values().forEach(node -> node.setCommandOutcomeFor(worker, outcome));
      fleet.clock.runAfter(
          OUTAGE_MILLIS,
          () ->
              fleet
                  .nodes
                  .values()
                  .forEach(
                      node -> node.setCommandOutcomeFor(worker, CommandOutcome.RESPONSE_RECEIVED)));
    }
  }

  record Event(Disturbance disturbance, int worker, int afterMillis) {}

  private static void assertGangIsDone(List<Event> events) {
    SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 2, WORKERS);
    fleet.runFor(3_000);
    // The usual run times are 200 to 900 ms.
    fleet.multiplyTaskTimes(WORK_MILLIS / 500);
    fleet.submit("a", TestJobs.gang(MEMBERS, 1_000, WORK_MILLIS));
    for (Event event : events) {
      fleet.runFor(event.afterMillis());
      event.disturbance().inject(fleet, "w" + event.worker());
    }
    fleet.runFor(FINISH_MILLIS);
    assertEquals(List.of(), fleet.guaranteeChecker.violations(), events.toString());
    assertEquals(JobState.COMPLETED, fleet.checkedState("a").orElseThrow(), events.toString());
  }

  static Stream<Arguments> disturbances() {
    return Stream.of(Disturbance.values())
        .flatMap(
            disturbance ->
                IntStream.range(0, WORKERS)
                    .boxed()
                    .map(worker -> Arguments.of(disturbance, worker)));
  }

  /** Guards against GANG of review/4: the members restarted from checkpoints of their own. */
  @ParameterizedTest
  @MethodSource("disturbances")
  void gangThatLostMemberRestartsWithUnequalCheckpoints(Disturbance disturbance, int worker) {
    for (int afterMillis = 150; afterMillis < WORK_MILLIS; afterMillis += 350) {
      assertGangIsDone(List.of(new Event(disturbance, worker, afterMillis)));
    }
  }

  @Property(tries = 300, seed = "20261205", shrinking = ShrinkingMode.BOUNDED)
  void membersOfOneRunCarryOneCheckpoint(@ForAll("events") List<Event> events) {
    assertGangIsDone(events);
  }

  @Provide
  Arbitrary<List<Event>> events() {
    return Combinators.combine(
            Arbitraries.of(Disturbance.class),
            Arbitraries.integers().between(0, WORKERS - 1),
            Arbitraries.integers().between(0, 4_000))
        .as(Event::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(5);
  }
}
