package org.sassafraslink.entry.longrunning;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.sassafraslink.entry.cancelling.EntryDaemon;
import org.sassafraslink.entry.cancelling.EntryFleet;
import org.sassafraslink.entry.cancelling.EventFile;
import org.sassafraslink.entry.cancelling.RunRecord;
import org.sassafraslink.entry.cancelling.StoreStandIn;
import org.sassafraslink.entry.cancelling.WorkerStandIn;
import org.sassafraslink.entry.longrunning.AbsenceChecker.LongRunningTask;
import org.sassafraslink.entry.longrunning.LongRunningPlay.Result;

/**
 * Plays entry daemons as processes while workers end for good shortly before the process that
 * schedules is killed or asked to stop, and checks that their long-running tasks run again in time,
 * and no task twice at once.
 */
public final class LostWorkerPlay {
  /** The only pool, without a standby pool, so that its VMs stay and have room. */
  private static final String POOL = "steady";

  private static final int LONG_RUNNING_JOBS = 2;
  private static final int MIN_VMS = 6;
  private static final int PROCESSOR_TENTHS = 10;
  private static final int CALLERS = 6;
  private static final int MIN_DELAY_MILLIS = 200;
  private static final int MAX_DELAY_MILLIS = 3_000;
  private static final int MAX_LOST_AT_ONCE = 2;
  private static final int MAX_SERIES = 3;
  private static final int MIN_INTERVAL_MILLIS = 1_000;
  private static final int MAX_INTERVAL_MILLIS = 2_000;
  private static final long DOWN_MILLIS = 500;
  private static final long GRACE_MILLIS = 6_000;
  private static final long START_MILLIS = 60_000;
  private static final long FIRST_RUN_MILLIS = 20_000;
  private static final long TAKEOVER_MILLIS = 5_000;
  private static final long SAMPLE_MILLIS = 25;

  /** Longer than the rule lets a task be away after the last fault. */
  private static final long CALM_MILLIS = 12_000;

  /** What is played; a round is a loss with one takeover or some. */
  record Options(long seed, int daemons, int rounds) {}

  private final Options options;
  private final RunRecord record;
  private final EventFile events;
  private final StoreStandIn store;
  private final VmFleet vms;
  private final EntryFleet entries;
  private final ExecutorService threads;
  private final Random random;
  private final List<String> rounds = new ArrayList<>();
  private String endedScheduler = "";
  private volatile boolean isOver;
  private volatile long calmSinceMillis;

  private LostWorkerPlay(
      Options options,
      RunRecord record,
      EventFile events,
      StoreStandIn store,
      VmFleet vms,
      EntryFleet entries,
      ExecutorService threads) {
    this.options = options;
    this.record = record;
    this.events = events;
    this.store = store;
    this.vms = vms;
    this.entries = entries;
    this.threads = threads;
    this.random = new Random(options.seed());
  }

  /**
   * Plays a number of seeds, prints what each showed, and keeps the logs in a folder.
   *
   * @param args the folder; the system properties {@code lostworker.*} select what is played
   */
  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    long firstSeed = Long.getLong("lostworker.firstSeed", 1);
    long endSeed = firstSeed + Integer.getInteger("lostworker.seeds", 1);
    for (long seed = firstSeed; seed < endSeed; seed++) {
      Path logs = Files.createDirectories(folder.resolve("seed-" + seed));
      try {
        Result result =
            play(
                new Options(
                    seed,
                    Integer.getInteger("lostworker.daemons", 3),
                    Integer.getInteger("lostworker.rounds", 3)),
                logs);
        System.out.println(result.summary());
        Files.write(logs.resolve("breaks"), result.breaks());
        Files.write(logs.resolve("gaps"), result.gaps());
      } catch (IllegalStateException e) {
        System.out.println("seed " + seed + " not played: " + e.getMessage());
      }
    }
    System.exit(0);
  }

  static Result play(Options options, Path folder) throws IOException, InterruptedException {
    RunRecord record = new RunRecord(0, 0, 0);
    ExecutorService threads = Executors.newCachedThreadPool();
    try (EventFile events = EventFile.create(folder.resolve("events"))) {
      events.write("started at " + events.startUnixMillis() + ", " + options);
      StoreStandIn store = StoreStandIn.create(events, options.seed());
      int storePort = store.listen();
      int maxLost = options.rounds() * (MAX_LOST_AT_ONCE + MAX_SERIES - 1);
      ImmutableMap<String, Integer> vmsByPool = ImmutableMap.of(POOL, MIN_VMS + maxLost);
      store.put("op", "config", LongRunningPlay.config(vmsByPool.keySet(), false));
      VmFleet vms = VmFleet.start(store, record, events, options.seed(), vmsByPool);
      int vmApiPort = vms.listenForVmCalls();
      try (EntryFleet entries =
          EntryFleet.start(
              record,
              events,
              folder,
              /* jar= */ "",
              options.daemons(),
              PROCESSOR_TENTHS,
              storePort,
              vmApiPort)) {
        if (!entries.awaitRotation(START_MILLIS)) {
          throw new IllegalStateException("not all daemons are ready after 60 s, see " + folder);
        }
        return new LostWorkerPlay(options, record, events, store, vms, entries, threads).run();
      } finally {
        vms.stop();
      }
    } finally {
      threads.shutdownNow();
      threads.awaitTermination(GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private Result run() throws InterruptedException {
    AbsenceChecker checker = new AbsenceChecker(submitTasks());
    awaitFirstRuns(checker);
    OpenConnections callers = new OpenConnections(entries, POOL);
    for (int i = 0; i < CALLERS; i++) {
      Random callerRandom = new Random(random.nextLong());
      execute(() -> callers.run(callerRandom));
    }
    execute(this::runRounds);
    while (!isOver) {
      sample(checker);
    }
    if (rounds.size() < options.rounds()) {
      throw new IllegalStateException("nobody schedules after " + TAKEOVER_MILLIS + " ms");
    }
    List<String> breaks = new ArrayList<>(checker.breaks());
    breaks.addAll(record.overlaps());
    return new Result(
        breaks,
        checker.gaps(events.millis()),
        String.format(
            Locale.ROOT,
            "seed %d: longest gap %d ms, %d breaks, %d of %d short jobs accepted, %s",
            options.seed(),
            checker.longestMillis(),
            breaks.size(),
            callers.accepted(),
            callers.submitted(),
            rounds));
  }

  private List<LongRunningTask> submitTasks() throws InterruptedException {
    PeakCallers callers = new PeakCallers(entries, events, threads, options.seed());
    List<LongRunningTask> tasks = new ArrayList<>();
    for (int j = 0; j < LONG_RUNNING_JOBS; j++) {
      String job = callers.submitLongRunning(POOL);
      for (int i = 0; i < Scenario.TASKS_PER_LONG_RUNNING_JOB; i++) {
        tasks.add(new LongRunningTask(job + ".0.0." + i, POOL, PeakCallers.LONG_RUNNING_CPU));
      }
    }
    return tasks;
  }

  private void awaitFirstRuns(AbsenceChecker checker) throws InterruptedException {
    long endMillis = events.millis() + FIRST_RUN_MILLIS;
    while (!checker.haveAllRun()) {
      if (events.millis() > endMillis) {
        throw new IllegalStateException("not all long-running tasks run after 20 s");
      }
      sample(checker);
    }
  }

  private void sample(AbsenceChecker checker) throws InterruptedException {
    Map<String, List<WorkerStandIn.State>> workersByPool = vms.workersByPool();
    Set<String> running = new HashSet<>();
    workersByPool.values().forEach(list -> list.forEach(state -> running.addAll(state.tasks())));
    checker.check(workersByPool, running, calmSinceMillis, events.millis());
    Thread.sleep(SAMPLE_MILLIS);
  }

  private interface Script {
    void run() throws IOException, InterruptedException;
  }

  private void execute(Script script) {
    threads.execute(
        () -> {
          try {
            script.run();
          } catch (IOException e) {
            events.write("script failed " + e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void runRounds() throws InterruptedException {
    try {
      for (int i = 0; i < options.rounds(); i++) {
        runRound();
        Thread.sleep(CALM_MILLIS);
      }
    } finally {
      isOver = true;
    }
  }

  private int between(int min, int max) {
    return min + random.nextInt(max - min);
  }

  private void runRound() throws InterruptedException {
    int lost = 1 + random.nextInt(MAX_LOST_AT_ONCE);
    for (int i = 0; i < lost; i++) {
      loseWorker();
    }
    int delayMillis = between(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
    int takeovers = random.nextInt(3) == 0 ? between(2, MAX_SERIES + 1) : 1;
    StringBuilder round = new StringBuilder(lost + " lost, after " + delayMillis + " ms");
    Thread.sleep(delayMillis);
    for (int i = 0; i < takeovers; i++) {
      if (i > 0) {
        if (random.nextBoolean()) {
          loseWorker();
          round.append(" 1 lost");
        }
        Thread.sleep(between(MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS));
      }
      boolean isKilled = random.nextBoolean();
      endScheduler(isKilled);
      round.append(isKilled ? " KILL" : " TERM");
    }
    rounds.add(round.toString());
  }

  private void loseWorker() {
    vms.loseBusyWorker();
    calmSinceMillis = events.millis();
  }

  /** Ends the daemon that schedules, which starts again soon. A stop is planned, so it is calm. */
  private void endScheduler(boolean isKilled) throws InterruptedException {
    EntryDaemon daemon = awaitScheduler();
    if (isKilled) {
      calmSinceMillis = events.millis();
      execute(() -> entries.restart(daemon, DOWN_MILLIS));
    } else {
      execute(() -> entries.terminate(daemon, GRACE_MILLIS, DOWN_MILLIS));
    }
    endedScheduler = daemon.node();
  }

  /** Waits until another daemon schedules than the last that was ended. */
  private EntryDaemon awaitScheduler() throws InterruptedException {
    long endMillis = events.millis() + TAKEOVER_MILLIS;
    while (store.holder().equals(endedScheduler)) {
      if (events.millis() > endMillis) {
        throw new IllegalStateException("nobody schedules after " + TAKEOVER_MILLIS + " ms");
      }
      Thread.sleep(SAMPLE_MILLIS);
    }
    String holder = store.holder();
    return entries.daemons().stream()
        .filter(daemon -> daemon.node().equals(holder))
        .findAny()
        .orElseThrow();
  }
}
