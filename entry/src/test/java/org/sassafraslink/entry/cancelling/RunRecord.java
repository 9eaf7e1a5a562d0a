package org.sassafraslink.entry.cancelling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Records what callers and workers saw, and finds the tasks of cancelled jobs that started or ran
 * on after the acknowledgement of the cancelling.
 */
public final class RunRecord {
  /** A run of a task on a worker. */
  static final class Run {
    private final String task;
    private final int attempt;
    private final String worker;
    private final String sender;
    private final long receivedMillis;
    private final long startMillis;
    private final boolean isDelayed;
    private long endMillis = Long.MAX_VALUE;
    private String end = "running";

    Run(
        String task,
        int attempt,
        String worker,
        String sender,
        long receivedMillis,
        long startMillis,
        boolean isDelayed) {
      this.task = task;
      this.attempt = attempt;
      this.worker = worker;
      this.sender = sender;
      this.receivedMillis = receivedMillis;
      this.startMillis = startMillis;
      this.isDelayed = isDelayed;
    }

    String task() {
      return task;
    }

    int attempt() {
      return attempt;
    }

    private String jobId() {
      return task.substring(0, task.indexOf('.'));
    }
  }

  private record Acknowledgement(long millis, String vm, int status) {}

  private record Disruption(String node, long fromMillis, long toMillis) {}

  enum Kind {
    START,
    RUNS_ON
  }

  /**
   * A task of a cancelled job that was at work when it must not be.
   *
   * @param isCalm whether nothing near it disrupted the sender, the worker or the store
   */
  record Violation(Kind kind, boolean isCalm, int status, String end, String text) {
    /** Returns what violations are counted by. */
    String category() {
      return kind + (isCalm ? " calm " : " disrupted ") + status + " " + end;
    }

    @Override
    public String toString() {
      return text;
    }
  }

  /** The name of a disruption that concerns all nodes. */
  static final String ALL_NODES = "*";

  private final long cancelMillis;
  private final long stopMillis;
  private final long contactMillis;
  private final Map<String, Acknowledgement> acknowledgements = new HashMap<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<Disruption> disruptions = new ArrayList<>();

  public RunRecord(long cancelMillis, long stopMillis, long contactMillis) {
    this.cancelMillis = cancelMillis;
    this.stopMillis = stopMillis;
    this.contactMillis = contactMillis;
  }

  /** Records the response 2xx or 410 to a cancelling; the first one of a job counts. */
  synchronized void acknowledged(String jobId, long millis, String vm, int status) {
    acknowledgements.putIfAbsent(jobId, new Acknowledgement(millis, vm, status));
  }

  synchronized void started(Run run) {
    runs.add(run);
  }

  synchronized void ended(Run run, long millis, String how) {
    run.endMillis = millis;
    run.end = how;
  }

  /** Records a disruption of an entry VM, a worker or {@link #ALL_NODES}. */
  synchronized void disrupted(String node, long fromMillis, long toMillis) {
    disruptions.add(new Disruption(node, fromMillis, toMillis));
  }

  /** Returns whether the cancelling of the job at a path was acknowledged. */
  synchronized boolean isAcknowledged(String path) {
    return acknowledgements.containsKey(path.substring(path.lastIndexOf('/') + 1));
  }

  synchronized int acknowledgementCount() {
    return acknowledgements.size();
  }

  public synchronized int startCount() {
    return runs.size();
  }

  synchronized long startCountOfCancelledJobs() {
    return runs.stream().filter(run -> acknowledgements.containsKey(run.jobId())).count();
  }

  /**
   * Returns the longest time from an acknowledgement to a start of the job's tasks, in ms, without
   * the starts that a worker carried out late.
   */
  synchronized long longestStartDelayMillis() {
    return runs.stream()
        .filter(run -> !run.isDelayed && acknowledgements.containsKey(run.jobId()))
        .mapToLong(run -> run.startMillis - acknowledgements.get(run.jobId()).millis())
        .max()
        .orElse(0);
  }

  /** Returns one line for each pair of runs of a task at the same time. */
  public synchronized List<String> overlaps() {
    List<String> found = new ArrayList<>();
    Map<String, Run> latestByTask = new HashMap<>();
    for (Run run : runs) {
      Run latest = latestByTask.get(run.task);
      if (latest != null && run.startMillis < latest.endMillis) {
        found.add(
            String.format(
                Locale.ROOT,
                "%.3f %s starts on %s and runs on %s until %.3f",
                run.startMillis / 1e3,
                run.task,
                run.worker,
                latest.worker,
                latest.endMillis / 1e3));
      }
      if (latest == null || run.endMillis > latest.endMillis) {
        latestByTask.put(run.task, run);
      }
    }
    return found;
  }

  synchronized List<Violation> violations(long nowMillis) {
    List<Violation> violations = new ArrayList<>();
    for (Run run : runs) {
      Acknowledgement cancelled = acknowledgements.get(run.jobId());
      if (cancelled == null) {
        continue;
      }
      long delayMillis = run.startMillis - cancelled.millis();
      if (delayMillis > cancelMillis && !run.isDelayed) {
        boolean isCalm = isCalm(run, run.startMillis - contactMillis, run.startMillis);
        violations.add(violation(Kind.START, isCalm, run, cancelled, delayMillis));
      }
      // An order that the worker carried out late counts from when its sender can know of it.
      long countedFromMillis =
          Math.max(
              cancelled.millis(),
              run.isDelayed ? run.startMillis + contactMillis : cancelled.millis());
      long goneByMillis = countedFromMillis + cancelMillis + stopMillis;
      if (run.startMillis <= cancelled.millis() + cancelMillis || run.isDelayed) {
        long endMillis = Math.min(run.endMillis, nowMillis);
        if (endMillis > goneByMillis) {
          boolean isCalm = hasCalmStretch(countedFromMillis, endMillis);
          violations.add(
              violation(Kind.RUNS_ON, isCalm, run, cancelled, endMillis - cancelled.millis()));
        }
      }
    }
    return violations;
  }

  /** Returns whether the run lasted for a whole time of stopping without a disruption. */
  private boolean hasCalmStretch(long fromMillis, long toMillis) {
    long neededMillis = cancelMillis + stopMillis;
    for (long start = fromMillis; start + neededMillis < toMillis; start += 100) {
      if (isCalm(null, start - contactMillis, start + neededMillis)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether nothing disrupted the nodes of a run, or any node if there is none. */
  private boolean isCalm(Run run, long fromMillis, long toMillis) {
    return disruptions.stream()
        .filter(
            disruption ->
                run == null
                    || disruption.node().equals(ALL_NODES)
                    || disruption.node().equals(run.sender)
                    || disruption.node().equals(run.worker))
        .noneMatch(
            disruption ->
                disruption.fromMillis() <= toMillis && disruption.toMillis() >= fromMillis);
  }

  private static Violation violation(
      Kind kind, boolean isCalm, Run run, Acknowledgement cancelled, long delayMillis) {
    String text =
        String.format(
            Locale.ROOT,
            "+%.3f s %s%s: %s run %d on %s from %s (came %.3f, start %.3f, end %s %s%s);"
                + " the cancelling was acknowledged at %.3f by %s with %d",
            delayMillis / 1e3,
            kind,
            isCalm ? "" : " (disrupted)",
            run.task,
            run.attempt,
            run.worker,
            run.sender,
            run.receivedMillis / 1e3,
            run.startMillis / 1e3,
            run.endMillis == Long.MAX_VALUE
                ? "-"
                : String.format(Locale.ROOT, "%.3f", run.endMillis / 1e3),
            run.end,
            run.isDelayed ? ", delayed by the worker" : "",
            cancelled.millis() / 1e3,
            cancelled.vm(),
            cancelled.status());
    return new Violation(kind, isCalm, cancelled.status(), run.end, text);
  }
}
