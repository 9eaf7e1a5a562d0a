package org.sassafraslink.entry.longrunning;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.sassafraslink.entry.cancelling.CallerConnection;
import org.sassafraslink.entry.cancelling.EntryDaemon;
import org.sassafraslink.entry.cancelling.EntryFleet;
import org.sassafraslink.entry.cancelling.EventFile;
import org.sassafraslink.entry.cancelling.LoopbackServer;
import org.sassafraslink.entry.cancelling.RunRecord;
import org.sassafraslink.entry.cancelling.StoreStandIn;
import org.sassafraslink.entry.cancelling.WorkerStandIn;
import org.sassafraslink.entry.longrunning.AbsenceChecker.LongRunningTask;

/**
 * Plays entry daemons as processes while a wave of maintenance goes through all VMs and some pools
 * have peaks of short jobs, and checks that the long-running tasks of other pools run again in
 * time.
 */
public final class LongRunningPlay {
  private static final long START_MILLIS = 60_000;
  private static final long FIRST_RUN_MILLIS = 20_000;
  private static final long SAMPLE_MILLIS = 25;
  private static final long WAVE_MILLIS = 1_000;
  private static final int WAVE_SECONDS = 30;
  private static final long SCHEDULER_DOWN_MILLIS = 500;
  private static final long GRACE_MILLIS = 6_000;
  private static final int MIN_DISRUPTION_MILLIS = 2_000;
  private static final int MAX_DISRUPTION_MILLIS = 8_000;
  private static final int PROCESSOR_TENTHS = 10;

  /**
   * What is played.
   *
   * @param restMillis for how long the checks go on after the peaks
   */
  record Options(long seed, int daemons, long trafficMillis, long restMillis) {}

  /** What a play showed: one line for each break of the rule, and a summary. */
  record Result(List<String> breaks, List<String> gaps, String summary) {}

  private final Scenario scenario;
  private final EventFile events;
  private final StoreStandIn store;
  private final VmFleet vms;
  private final EntryFleet entries;
  private final ExecutorService threads;
  private volatile boolean isOver;
  private volatile long calmSinceMillis;

  private LongRunningPlay(
      Scenario scenario,
      EventFile events,
      StoreStandIn store,
      VmFleet vms,
      EntryFleet entries,
      ExecutorService threads) {
    this.scenario = scenario;
    this.events = events;
    this.store = store;
    this.vms = vms;
    this.entries = entries;
    this.threads = threads;
  }

  /**
   * Plays a number of seeds, prints what each showed, and keeps the logs in a folder.
   *
   * @param args the folder; the system properties {@code longrunning.*} select what is played
   */
  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    long firstSeed = Long.getLong("longrunning.firstSeed", 1);
    long endSeed = firstSeed + Integer.getInteger("longrunning.seeds", 1);
    for (long seed = firstSeed; seed < endSeed; seed++) {
      Path logs = Files.createDirectories(folder.resolve("seed-" + seed));
      try {
        Result result =
            play(
                new Options(
                    seed,
                    Integer.getInteger("longrunning.daemons", 3),
                    1_000L * Integer.getInteger("longrunning.seconds", 25),
                    1_000L * Integer.getInteger("longrunning.restSeconds", 10)),
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
    Scenario scenario = Scenario.draw(options.seed(), options.trafficMillis());
    RunRecord record = new RunRecord(0, 0, 0);
    ExecutorService threads = Executors.newCachedThreadPool();
    try (EventFile events = EventFile.create(folder.resolve("events"))) {
      events.write("started at " + events.startUnixMillis() + ", " + scenario);
      StoreStandIn store = StoreStandIn.create(events, options.seed());
      int storePort = store.listen();
      store.put("op", "config", config(scenario.vmsByPool().keySet(), true));
      VmFleet vms = VmFleet.start(store, record, events, options.seed(), scenario.vmsByPool());
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
        return new LongRunningPlay(scenario, events, store, vms, entries, threads)
            .run(options.restMillis());
      } finally {
        vms.stop();
      }
    } finally {
      threads.shutdownNow();
      threads.awaitTermination(GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }
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
            events.write("disruption failed " + e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private Result run(long restMillis) throws InterruptedException {
    PeakCallers callers = new PeakCallers(entries, events, threads, scenario.seed());
    List<LongRunningTask> tasks = new ArrayList<>();
    for (String pool : scenario.smallPools()) {
      String job = callers.submitLongRunning(pool);
      for (int i = 0; i < Scenario.TASKS_PER_LONG_RUNNING_JOB; i++) {
        tasks.add(new LongRunningTask(job + ".0.0." + i, pool, PeakCallers.LONG_RUNNING_CPU));
      }
    }
    AbsenceChecker checker = new AbsenceChecker(tasks);
    awaitFirstRuns(checker);
    long startMillis = events.millis();
    execute(
        () -> {
          Thread.sleep(WAVE_MILLIS);
          vms.startWave(WAVE_SECONDS);
        });
    execute(() -> disrupt(new Random(scenario.seed())));
    execute(
        () -> {
          callers.run(scenario);
          Thread.sleep(restMillis);
          isOver = true;
        });
    while (!isOver) {
      sample(checker);
    }
    return new Result(
        checker.breaks(),
        checker.gaps(events.millis()),
        summary(checker, callers, events.millis() - startMillis));
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

  /** Disrupts something once; stops of daemons are planned, so it stays calm beside them. */
  private void disrupt(Random random) throws IOException, InterruptedException {
    Thread.sleep(
        MIN_DISRUPTION_MILLIS + random.nextInt(MAX_DISRUPTION_MILLIS - MIN_DISRUPTION_MILLIS));
    switch (scenario.disruption()) {
      case NONE -> {}
      case SCHEDULER_KILLED -> {
        calmSinceMillis = Long.MAX_VALUE / 2;
        String holder = store.holder();
        for (EntryDaemon daemon : entries.daemons()) {
          if (daemon.node().equals(holder)) {
            entries.restart(daemon, SCHEDULER_DOWN_MILLIS);
          }
        }
        calmSinceMillis = events.millis();
      }
      case ROLLING_STOPS -> {
        for (EntryDaemon daemon : entries.daemons()) {
          entries.terminate(daemon, GRACE_MILLIS, SCHEDULER_DOWN_MILLIS);
          entries.awaitRotation(GRACE_MILLIS);
        }
      }
      case WORKER_LOST -> {
        vms.loseAnyWorker(scenario.smallPools());
        calmSinceMillis = events.millis() + VmFleet.LOSS_MILLIS;
      }
    }
  }

  private String summary(AbsenceChecker checker, PeakCallers callers, long playedMillis) {
    return String.format(
        Locale.ROOT,
        "seed %d, %s, VMs %s: longest gap %.1f s, longest with room %.1f s, %d breaks, %d of %d VMs"
            + " maintained, %d of %d short jobs accepted, %.1f s played",
        scenario.seed(),
        scenario.disruption(),
        scenario.vmsByPool().values(),
        checker.longestMillis() / 1e3,
        checker.longestWithRoomMillis() / 1e3,
        checker.breaks().size(),
        vms.maintainedCount(),
        vms.vmCount(),
        callers.accepted(),
        callers.submitted(),
        playedMillis / 1e3);
  }

  /** Returns the configuration row of a fleet with a queue for each of the pools. */
  static ObjectNode config(Set<String> pools, boolean hasStandbyPool) {
    ObjectNode config = LoopbackServer.MAPPER.createObjectNode().put("version", 7);
    ArrayNode routes = config.putArray("routes");
    ArrayNode services = config.putArray("services");
    for (String pool : pools) {
      addRoute(routes, pool);
      services.addObject().put("name", pool).put("admissionCheck", true).put("standby", false);
    }
    if (hasStandbyPool) {
      services
          .addObject()
          .put("name", Scenario.STANDBY_POOL)
          .put("admissionCheck", true)
          .put("standby", true);
    }
    config
        .putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 262_144)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    ObjectNode team = config.putArray("tenants").addObject();
    team.put("name", "t").put("weight", 100).putArray("apiKeys").add(CallerConnection.API_KEY);
    team.putObject("cap").put("cpu", 1_000_000).put("memMb", 1_000_000).put("gpu", 0);
    return config;
  }

  private static void addRoute(ArrayNode routes, String pool) {
    routes
        .addObject()
        .put("name", pool)
        .put("host", CallerConnection.HOST)
        .put("pathPrefix", PeakCallers.prefix(pool))
        .put("service", pool)
        .put("priority", 0)
        .put("maxAttempts", 4)
        .put("slackFactor", 4)
        .put("targetLatencyMs", 3_000)
        .put("public", false);
  }
}
