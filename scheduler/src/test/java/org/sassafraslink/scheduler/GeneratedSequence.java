package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.GeneratedFault.Kind;
import org.sassafraslink.scheduler.sim.DisabledMechanism;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimLayout;

/**
 * A generated sequence of faults on three nodes and a few workers, and what is wrong after it.
 *
 * @param seed the seed of the fleet and of its jobs
 * @param workerCount the number of workers
 * @param submissionMillis when jobs are submitted, in ms after the first ones
 * @param faults the faults in the order of their beginnings
 * @param losesWorkers whether workers are lost beside takeovers; then long-running tasks are
 *     checked by the rule of {@code LongRunningTaskChecker} too
 */
record GeneratedSequence(
    long seed,
    int workerCount,
    ImmutableList<Integer> submissionMillis,
    ImmutableList<GeneratedFault> faults,
    boolean losesWorkers) {
  static final List<String> NODES = List.of("n0", "n1", "n2");

  /** Faults that are in no group begin before this time after the first submission, in ms. */
  private static final int FAULTS_MILLIS = 20_000;

  /** Commands are executed this much later at most, by the platform's figures, in ms. */
  private static final int MIN_DELAY_MILLIS = 2_000;

  private static final int MAX_DELAY_MILLIS = 12_000;

  /**
   * Within this time after the last fault each long-running task has a run again: the longest lease
   * of a worker on the slowest clock (10.2 s), the longest scheduling lease with its renewal (2.6
   * s), and the time that the platform allows with capacity at hand (3 s).
   */
  private static final int RECOVERY_MILLIS = 15_800;

  private static final int SUBMISSIONS = 5;
  private static final int LONGEST_TASK_MILLIS = 15_000;

  /**
   * Within this time after the last fault all jobs have ended: a run that the last fault interrupts
   * is repeated after the recovery, as is one step after it.
   */
  private static final int FINISH_MILLIS = RECOVERY_MILLIS + 2 * LONGEST_TASK_MILLIS;

  /** Age of the first incarnations at which their clocks are ahead of every lease of the next. */
  private static final int STEADY_MILLIS = 15_000;

  private static final int OUTLASTS_TEST_MILLIS = 600_000;

  private static final String LASTING_JOB = "lasting";

  private static final ImmutableList<Kind> BESIDE_LOSSES =
      ImmutableList.of(
          Kind.WORKER_RESTARTS,
          Kind.WORKER_CRASHES,
          Kind.WORKER_CUT_OFF,
          Kind.WORKER_CUT_OFF_FROM_NODE,
          Kind.RESPONSES_LOST,
          Kind.STORE_SLOW,
          Kind.ENTRY_VANISHES);

  /** Generates the sequence of a seed. */
  static GeneratedSequence generate(long seed) {
    Random random = new Random(seed);
    int workerCount = 3 + random.nextInt(4);
    List<GeneratedFault> faults = new ArrayList<>();
    int groups = 1 + random.nextInt(3);
    for (int i = 0; i < groups; i++) {
      addRestartsAndCut(random, workerCount, faults::add);
    }
    List<Kind> kinds = Kind.OF_RESTARTS;
    int others = random.nextInt(5);
    for (int i = 0; i < others; i++) {
      Kind kind = kinds.get(random.nextInt(kinds.size()));
      faults.add(
          fault(random, random.nextInt(FAULTS_MILLIS), kind, drawWorker(random, workerCount)));
    }
    ImmutableList.Builder<Integer> submissionMillis = ImmutableList.builder();
    for (int i = 0; i < SUBMISSIONS; i++) {
      submissionMillis.add(drawSubmissionMillis(random, faults));
    }
    return of(seed, workerCount, submissionMillis.build(), faults);
  }

  /** Generates the sequence of a seed in which workers are lost beside takeovers. */
  static GeneratedSequence generateWithLosses(long seed) {
    Random random = new Random(seed);
    int workerCount = 4 + random.nextInt(3);
    List<GeneratedFault> faults = new ArrayList<>();
    Set<Integer> lost = new HashSet<>();
    int groups = 1 + random.nextInt(2);
    for (int i = 0; i < groups; i++) {
      int worker = drawWorker(random, workerCount);
      if (lost.add(worker)) {
        addLossBesideTakeovers(random, worker, faults::add);
      }
    }
    int others = random.nextInt(3);
    for (int i = 0; i < others; i++) {
      Kind kind = BESIDE_LOSSES.get(random.nextInt(BESIDE_LOSSES.size()));
      int worker = drawWorker(random, workerCount);
      if (!lost.contains(worker)) {
        faults.add(fault(random, random.nextInt(FAULTS_MILLIS), kind, worker));
      }
    }
    ImmutableList.Builder<Integer> submissionMillis = ImmutableList.builder();
    for (int i = 0; i < SUBMISSIONS; i++) {
      submissionMillis.add(drawSubmissionMillis(random, faults));
    }
    return of(seed, workerCount, submissionMillis.build(), faults, /* losesWorkers= */ true);
  }

  static GeneratedSequence of(
      long seed,
      int workerCount,
      ImmutableList<Integer> submissionMillis,
      List<GeneratedFault> faults) {
    return of(seed, workerCount, submissionMillis, faults, /* losesWorkers= */ false);
  }

  private static GeneratedSequence of(
      long seed,
      int workerCount,
      ImmutableList<Integer> submissionMillis,
      List<GeneratedFault> faults,
      boolean losesWorkers) {
    return new GeneratedSequence(
        seed,
        workerCount,
        submissionMillis,
        ImmutableList.sortedCopyOf(Comparator.comparingInt(GeneratedFault::atMillis), faults),
        losesWorkers);
  }

  /** Draws a time for a submission, mostly about when a fault begins. */
  private static int drawSubmissionMillis(Random random, List<GeneratedFault> faults) {
    return random.nextInt(4) == 0
        ? random.nextInt(FAULTS_MILLIS)
        : Math.max(
            0, faults.get(random.nextInt(faults.size())).atMillis() - 500 + random.nextInt(1_500));
  }

  /** Draws a worker; those with low numbers come first, since they get the most tasks. */
  private static int drawWorker(Random random, int workerCount) {
    return Math.min(random.nextInt(workerCount), random.nextInt(workerCount));
  }

  private static GeneratedFault fault(Random random, int atMillis, Kind kind, int worker) {
    return new GeneratedFault(
        atMillis, kind, worker, random.nextInt(NODES.size()), 100 + random.nextInt(8_000));
  }

  /**
   * Adds a series of restarts of one worker, and around them cuts, late commands and faults of the
   * scheduling node.
   */
  private static void addRestartsAndCut(
      Random random, int workerCount, Consumer<GeneratedFault> faults) {
    int worker = drawWorker(random, workerCount);
    int atMillis = random.nextInt(FAULTS_MILLIS / 2);
    Kind[] disturbances = {
      Kind.STARTS_LATE,
      Kind.STOPS_LATE,
      Kind.REPORT_REQUESTS_LATE,
      Kind.COMMANDS_LATE,
      Kind.RESPONSES_LOST,
      Kind.WORKER_CUT_OFF,
      Kind.WORKER_CUT_OFF_FROM_NODE
    };
    Kind[] restarts = {
      Kind.WORKER_RESTARTS,
      Kind.WORKER_RESTARTS,
      Kind.WORKER_RESTARTS_SMALLER,
      Kind.WORKER_RESTARTS_LARGER
    };
    Kind[] takeovers = {
      Kind.SCHEDULER_KILLED,
      Kind.SCHEDULER_POWERED_OFF,
      Kind.SCHEDULER_PAUSED,
      Kind.SCHEDULER_SUSPENDED
    };
    if (random.nextInt(3) > 0) {
      Kind kind = disturbances[random.nextInt(disturbances.length)];
      faults.accept(fault(random, atMillis, kind, worker));
      atMillis += random.nextInt(2_000);
    }
    int restartCount = 1 + random.nextInt(4);
    for (int i = 0; i < restartCount; i++) {
      faults.accept(fault(random, atMillis, restarts[random.nextInt(restarts.length)], worker));
      atMillis += 100 + random.nextInt(2_900);
      if (random.nextInt(4) == 0) {
        faults.accept(fault(random, atMillis, takeovers[random.nextInt(takeovers.length)], worker));
        atMillis += random.nextInt(1_000);
      }
    }
    if (random.nextInt(4) > 0) {
      Kind kind = random.nextInt(4) > 0 ? Kind.WORKER_CUT_OFF : Kind.WORKER_CUT_OFF_FROM_NODE;
      faults.accept(
          new GeneratedFault(
              atMillis,
              kind,
              worker,
              random.nextInt(NODES.size()),
              2_000 + random.nextInt(12_000)));
    }
  }

  /** Adds the loss of a worker, and up to 5 s later one takeover or a series of them. */
  private static void addLossBesideTakeovers(
      Random random, int worker, Consumer<GeneratedFault> faults) {
    Kind[] takeovers = {
      Kind.SCHEDULER_KILLED,
      Kind.SCHEDULER_POWERED_OFF,
      Kind.SCHEDULER_PAUSED,
      Kind.SCHEDULER_SUSPENDED,
      Kind.SCHEDULER_STOPPED
    };
    int atMillis = random.nextInt(FAULTS_MILLIS / 2);
    faults.accept(fault(random, atMillis, Kind.WORKER_LOST, worker));
    atMillis += 100 + random.nextInt(4_900);
    int takeoverCount = random.nextBoolean() ? 1 : 2 + random.nextInt(3);
    for (int i = 0; i < takeoverCount; i++) {
      // A node is away for less than two takeovers, so that one of three is always left.
      faults.accept(
          new GeneratedFault(
              atMillis,
              takeovers[random.nextInt(takeovers.length)],
              worker,
              /* node= */ 0,
              /* durationMillis= */ 500 + random.nextInt(1_000)));
      atMillis += 800 + random.nextInt(1_200);
    }
  }

  /** Returns the time after the first jobs were submitted at which the last fault has no effect. */
  private int lastEffectMillis() {
    return faults.stream()
        .mapToInt(
            fault -> fault.endMillis() + (fault.kind().delaysCommands() ? MAX_DELAY_MILLIS : 0))
        .max()
        .orElse(0);
  }

  /** The jobs of a sequence. */
  private record Jobs(SimFleet fleet, Random random, int longRunningTasks, List<String> ids) {
    static Jobs submitTo(SimFleet fleet, GeneratedSequence sequence) {
      Random random = new Random(sequence.seed());
      int longRunningTasks = 1 + random.nextInt(3);
      Jobs jobs = new Jobs(fleet, random, longRunningTasks, new ArrayList<>());
      StepSpec longRunning =
          TestJobs.step(
              longRunningTasks,
              1_000,
              OUTLASTS_TEST_MILLIS,
              TestJobs.StepKind.LONG_RUNNING,
              /* max */ 0);
      if (sequence.losesWorkers()) {
        // The rule does not bind for a team, whose limit may be reached.
        fleet.submitToOpenQueue(LASTING_JOB, SimFleet.QUEUE, longRunning);
      } else {
        fleet.submit(LASTING_JOB, longRunning);
      }
      jobs.submit("long", jobs.plain(2 + random.nextInt(4), 2_000, LONGEST_TASK_MILLIS));
      if (random.nextInt(3) == 0) {
        jobs.submit(
            "gang",
            TestJobs.gang(
                2 + random.nextInt(sequence.workerCount() - 1),
                1_000,
                2_000 + random.nextInt(4_000)));
      }
      for (int i = 0; i < sequence.submissionMillis().size(); i++) {
        String id = "later" + i;
        StepSpec step =
            i % 2 == 0
                ? jobs.plain(1 + random.nextInt(3), 200, 900)
                : jobs.plain(1 + random.nextInt(2), 2_000, LONGEST_TASK_MILLIS);
        fleet.clock.runAfter(sequence.submissionMillis().get(i), () -> jobs.submit(id, step));
      }
      return jobs;
    }

    private StepSpec plain(int count, int minMillis, int maxMillis) {
      int millis = minMillis + random.nextInt(maxMillis - minMillis + 1);
      return TestJobs.step(count, 1_000, millis, TestJobs.StepKind.PLAIN, /* max */ 0);
    }

    private void submit(String id, StepSpec step) {
      ids.add(id);
      fleet.submit(id, step);
    }
  }

  /** Plays the sequence, and returns everything that is wrong. */
  ImmutableList<String> violations() {
    return violations(Set.of());
  }

  /** As {@link #violations()}, without some mechanisms. */
  ImmutableList<String> violations(Set<DisabledMechanism> disabled) {
    SimFleet fleet =
        SimFleet.start(
            seed,
            NODES.size(),
            SimLayout.singlePool(workerCount).withTasksRunAsEstimated(),
            disabled);
    fleet.network.setLateCommandDelay(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
    fleet.runFor(STEADY_MILLIS);
    long startMillis = fleet.clock.nowMillis();
    Jobs jobs = Jobs.submitTo(fleet, this);
    faults.forEach(fault -> fleet.clock.runAfter(fault.atMillis(), () -> fault.inject(fleet)));
    int quietMillis = Math.max(lastEffectMillis(), Collections.max(submissionMillis));
    fleet.runFor(quietMillis + FINISH_MILLIS);
    Set<TaskId> unforeseeable = fleet.guaranteeChecker.runHistory().unforeseeableDuplicates();
    return Stream.of(
            fleet.guaranteeChecker.violations().stream(),
            fleet.guaranteeChecker.runHistory().duplicateRuns().stream(),
            unfinished(fleet, jobs).stream(),
            idleLongRunningTasks(fleet, jobs, startMillis + quietMillis).stream())
        .flatMap(found -> found)
        // The checker takes each report for received, but here reports are lost and processes
        // that have received them are replaced while they are paused.
        .filter(violation -> !kindOf(violation).equals("LOST_CHECKPOINT"))
        // The history of runs has the duplicates of these tasks that could be prevented.
        .filter(
            violation ->
                !kindOf(violation).equals("DUPLICATE_RUN")
                    || unforeseeable.stream()
                        .noneMatch(task -> violation.contains(task.toString())))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<String> unfinished(SimFleet fleet, Jobs jobs) {
    ImmutableList.Builder<String> found = ImmutableList.builder();
    for (String job : jobs.ids()) {
      Optional<JobState> state = fleet.checkedState(job);
      if (!state.equals(Optional.of(JobState.COMPLETED))) {
        found.add("UNFINISHED " + job + ": " + state);
      }
    }
    return found.build();
  }

  private static ImmutableList<String> idleLongRunningTasks(
      SimFleet fleet, Jobs jobs, long quietMillis) {
    ImmutableList.Builder<String> found = ImmutableList.builder();
    for (int i = 0; i < jobs.longRunningTasks(); i++) {
      TaskId task = new TaskId(LASTING_JOB, 0, 0, i);
      long gap =
          fleet
              .guaranteeChecker
              .runHistory()
              .longestGapMillis(task, quietMillis, fleet.clock.nowMillis());
      if (gap > RECOVERY_MILLIS) {
        found.add(
            "IDLE "
                + task
                + " for "
                + gap
                + " ms since "
                + quietMillis
                + ": "
                + fleet.guaranteeChecker.runHistory().describe(task));
      }
    }
    return found.build();
  }

  /** Returns a sequence with the same kinds of violations without the faults that aren't needed. */
  GeneratedSequence shrink(Set<DisabledMechanism> disabled) {
    Set<String> wanted = kindsOf(violations(disabled));
    GeneratedSequence shortest = this;
    boolean isShorter = true;
    while (isShorter) {
      isShorter = false;
      for (GeneratedFault fault : shortest.faults()) {
        List<GeneratedFault> fewer = new ArrayList<>(shortest.faults());
        fewer.remove(fault);
        GeneratedSequence candidate = of(seed, workerCount, submissionMillis, fewer, losesWorkers);
        if (kindsOf(candidate.violations(disabled)).stream().anyMatch(wanted::contains)) {
          shortest = candidate;
          isShorter = true;
          break;
        }
      }
    }
    return shortest;
  }

  private static Set<String> kindsOf(List<String> violations) {
    return violations.stream()
        .map(GeneratedSequence::kindOf)
        .collect(java.util.stream.Collectors.toSet());
  }

  /** Returns the first word of a violation in capitals. */
  static String kindOf(String violation) {
    return Stream.of(violation.split("[ :]"))
        .filter(word -> word.matches("[A-Z_]+"))
        .findFirst()
        .orElse(violation);
  }
}
