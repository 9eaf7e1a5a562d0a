package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.scheduler.GeneratedFault.Kind;
import org.sassafraslink.scheduler.sim.SimFleet;

/**
 * Cancels jobs at random times around random faults. Guards against tasks that start or run on
 * after the cancellation of their job.
 *
 * <p>The system properties {@code cancellations.firstSeed} and {@code cancellations.seeds} select
 * the seeds.
 */
class RandomCancellationTest {
  private static final int WORKERS = 4;
  private static final int JOBS = 4;
  private static final int DISTURBANCES_PER_JOB = 3;
  private static final int MAX_TAKEOVERS_PER_JOB = 2;

  /** Leaves time without a fault after most cancellations. */
  private static final int JOB_INTERVAL_MILLIS = 12_000;

  /** Tasks run for 40 to 180 s, so that those of cancelled jobs do not end by themselves. */
  private static final int TASK_TIME_FACTOR = 200;

  /** Longer than the longest delay of a command and any lease. */
  private static final int QUIET_MILLIS = 30_000;

  private static final int MIN_COMMAND_DELAY_MILLIS = 1_000;
  private static final int MAX_COMMAND_DELAY_MILLIS = 4_000;
  private static final int MAX_FAULT_MILLIS = 2_000;

  private static final ImmutableList<Kind> DISTURBANCES =
      ImmutableList.of(
          Kind.WORKER_CUT_OFF,
          Kind.WORKER_CUT_OFF_FROM_NODE,
          Kind.STARTS_LATE,
          Kind.STOPS_LATE,
          Kind.REPORT_REQUESTS_LATE,
          Kind.COMMANDS_LATE,
          Kind.RESPONSES_LOST);

  private static final ImmutableList<Kind> TAKEOVERS =
      ImmutableList.of(
          Kind.SCHEDULER_KILLED,
          Kind.SCHEDULER_POWERED_OFF,
          Kind.SCHEDULER_PAUSED,
          Kind.SCHEDULER_SUSPENDED);

  private static final ImmutableList<Kind> OTHERS =
      ImmutableList.of(
          Kind.WORKER_RESTARTS, Kind.WORKER_CRASHES, Kind.ENTRY_VANISHES, Kind.STORE_SLOW);

  static LongStream seeds() {
    long firstSeed = Long.getLong("cancellations.firstSeed", 20261207);
    return LongStream.range(firstSeed, firstSeed + Long.getLong("cancellations.seeds", 30));
  }

  private static <T> T draw(Random random, List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private static GeneratedFault drawFault(Random random, int atMillis, List<Kind> kinds) {
    return new GeneratedFault(
        atMillis,
        draw(random, kinds),
        random.nextInt(WORKERS),
        random.nextInt(GeneratedSequence.NODES.size()),
        100 + random.nextInt(MAX_FAULT_MILLIS));
  }

  /** Draws faults about the time of a cancellation. */
  private static List<GeneratedFault> drawFaults(Random random, int cancelMillis) {
    List<GeneratedFault> faults = new ArrayList<>();
    for (int i = 0; i < DISTURBANCES_PER_JOB; i++) {
      faults.add(drawFault(random, cancelMillis - random.nextInt(600), DISTURBANCES));
    }
    int takeoverMillis = cancelMillis;
    for (int i = random.nextInt(MAX_TAKEOVERS_PER_JOB + 1); i > 0; i--) {
      takeoverMillis += random.nextInt(800);
      faults.add(drawFault(random, takeoverMillis, TAKEOVERS));
    }
    faults.add(drawFault(random, cancelMillis - 500 + random.nextInt(2_000), OTHERS));
    return faults;
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskOfCancelledJobStartsOrRunsOn(long seed) {
    SimFleet fleet = SimFleet.start(seed, GeneratedSequence.NODES.size(), WORKERS);
    fleet.network.setLateCommandDelay(MIN_COMMAND_DELAY_MILLIS, MAX_COMMAND_DELAY_MILLIS);
    fleet.multiplyTaskTimes(TASK_TIME_FACTOR);
    fleet.runFor(1_500);
    Random random = new Random(seed);
    List<String> events = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = "job" + i;
      int submissionMillis = i * JOB_INTERVAL_MILLIS + random.nextInt(1_000);
      int cancelMillis = submissionMillis + 700 + random.nextInt(1_500);
      int count = 1 + random.nextInt(6);
      events.add(id + " submitted at " + submissionMillis + ", cancelled at " + cancelMillis);
      fleet.clock.runAfter(submissionMillis, () -> fleet.submit(id, SimFleet.step(count, 1_000)));
      fleet.clock.runAfter(cancelMillis, () -> fleet.cancel(id));
      for (GeneratedFault fault : drawFaults(random, cancelMillis)) {
        events.add(fault.toString());
        fleet.clock.runAfter(fault.atMillis(), () -> fault.inject(fleet));
      }
    }
    fleet.runFor(JOBS * JOB_INTERVAL_MILLIS + QUIET_MILLIS);
    List<String> violations =
        fleet.guaranteeChecker.violations().stream()
            .filter(violation -> violation.contains(" UNREQUESTED_"))
            .toList();
    assertEquals(List.of(), violations, () -> "seed " + seed + ": " + events);
    assertEquals(0, fleet.runningAttemptCount(), () -> "seed " + seed + ": " + events);
  }
}
