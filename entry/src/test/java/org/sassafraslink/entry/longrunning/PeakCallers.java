package org.sassafraslink.entry.longrunning;

import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.sassafraslink.entry.cancelling.CallerConnection;
import org.sassafraslink.entry.cancelling.EntryFleet;
import org.sassafraslink.entry.cancelling.EventFile;
import org.sassafraslink.entry.cancelling.WorkerStandIn;

/** Callers that submit one long-running job to each of some pools, and short jobs in peaks. */
final class PeakCallers {
  static final long LONG_RUNNING_CPU = 1_250;
  private static final int SHORT_CPU = 4_000;
  private static final int SHORT_TASKS = 4;
  private static final int SHORT_MILLIS = 1_000;
  private static final int MAX_SUBMISSIONS = 8;

  private final EntryFleet entries;
  private final EventFile events;
  private final ExecutorService threads;
  private final Random seeds;
  private final AtomicInteger submitted = new AtomicInteger();
  private final AtomicInteger accepted = new AtomicInteger();

  PeakCallers(EntryFleet entries, EventFile events, ExecutorService threads, long seed) {
    this.entries = entries;
    this.events = events;
    this.threads = threads;
    this.seeds = new Random(seed);
  }

  int submitted() {
    return submitted.get();
  }

  int accepted() {
    return accepted.get();
  }

  /** Returns the path of the queue of a pool. */
  static String prefix(String pool) {
    return "/" + pool + "/";
  }

  /** Submits a long-running job, and returns its id. */
  String submitLongRunning(String pool) throws InterruptedException {
    Random random = new Random(seeds.nextLong());
    String id = id(random);
    String body =
        String.format(
            Locale.ROOT,
            "{\"spec\":\"%1$d:0\",\"phases\":[{\"count\":%2$d,\"cpu\":%1$d,\"memMb\":64,"
                + "\"estimatedMs\":500,\"longRunning\":true,\"maxUnavailable\":1}]}",
            LONG_RUNNING_CPU,
            Scenario.TASKS_PER_LONG_RUNNING_JOB);
    if (!submit(prefix(pool) + id, body, random)) {
      throw new IllegalStateException("the long-running job of " + pool + " is not accepted");
    }
    return id;
  }

  /** Submits short jobs in turns; returns when the last turn is over. */
  void run(Scenario scenario) throws InterruptedException {
    for (Scenario.Turn turn : scenario.turns()) {
      runTurn(turn, scenario.vmsByPool());
    }
  }

  private void runTurn(Scenario.Turn turn, Map<String, Integer> vmsByPool)
      throws InterruptedException {
    events.write(String.format(Locale.ROOT, "peak of %s, %.1f", turn.pool(), turn.factor()));
    double cpuMillisPerJob = (double) SHORT_CPU * SHORT_TASKS * SHORT_MILLIS;
    double room = (double) vmsByPool.get(turn.pool()) * WorkerStandIn.CPU;
    double intervalMillis = cpuMillisPerJob / (turn.factor() * room);
    long startMillis = events.millis();
    for (double due = 0; due < Scenario.TURN_MILLIS; due += intervalMillis) {
      Thread.sleep(Math.max(0, startMillis + (long) due - events.millis()));
      Random random = new Random(seeds.nextLong());
      threads.execute(() -> submitShort(turn.pool(), random));
    }
  }

  private void submitShort(String pool, Random random) {
    String body =
        String.format(
            Locale.ROOT,
            "{\"spec\":\"%1$d:%2$d\",\"phases\":[{\"count\":%3$d,\"cpu\":%1$d,\"memMb\":64,"
                + "\"estimatedMs\":%2$d}]}",
            SHORT_CPU,
            SHORT_MILLIS,
            SHORT_TASKS);
    submitted.incrementAndGet();
    try {
      if (submit(prefix(pool) + id(random), body, random)) {
        accepted.incrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String id(Random random) {
    return String.format(Locale.ROOT, "%016x", random.nextLong());
  }

  /** Submits a job until it is accepted, a few times at most; returns whether it was. */
  private boolean submit(String path, String body, Random random) throws InterruptedException {
    for (int i = 0; i < MAX_SUBMISSIONS; i++) {
      int status =
          CallerConnection.sendOnce(
              entries.choose(random).callerAddress(),
              "POST",
              path,
              body,
              CallerConnection.DEFAULT_DEADLINE_MILLIS);
      if (status == 200) {
        return true;
      }
      events.write("caller POST " + path + ": " + status);
      Thread.sleep(200 + random.nextInt(800));
    }
    return false;
  }
}
