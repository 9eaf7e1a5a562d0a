package org.sassafraslink.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerEntry;

/**
 * One incarnation of a worker as the scheduler knows it. Confined to the scheduler.
 *
 * <p>Its clock may be {@link #CLOCK_SLOWNESS} slow, so time that has certainly passed there is
 * counted at that lower rate.
 */
final class Worker {
  /** The slowest that a worker's steady clock may run, as a part of true time. */
  private static final double CLOCK_SLOWNESS = 0.98;

  /** What a worker told is relied on for this long, in ms: one waiting request, and its answer. */
  static final long HEARD_MILLIS = 1_700;

  /** Added to the end of a lease before its tasks count as killed, in ms. */
  private static final long EXPIRY_SLACK_MILLIS = 150;

  WorkerEntry entry;

  /** Whether the platform lists it. */
  boolean listed = true;

  /** Whether it has answered under this scheduler's fencing token. */
  boolean known;

  /** Whether this incarnation has certainly ended. */
  boolean gone;

  /** Whether a request for its lists is under way. */
  boolean holdPending;

  /** When the next request for its lists is due, monotonic ms. */
  long nextHoldMillis;

  /** When it last answered, monotonic ms. */
  long heardMillis;

  /** Requests in a row without an answer. */
  int silences;

  /** Not before this time does it get new tasks, monotonic ms. */
  long avoidUntilMillis;

  /** Why it gets no new tasks at all; empty if it may. */
  String cordon = "";

  /** When it was cordoned, monotonic ms. */
  long cordonedMillis;

  /** Ends up to this number are committed. */
  long committedEnds;

  /** Ends up to this number have been taken in. */
  long seenEnds;

  /** Ends up to this number were acknowledged in an answered request. */
  long acknowledgedEnds;

  /** Failures in a row, of different tasks, with no success between. */
  int failuresInRow;

  private final Map<TaskId, Task> tasks = new LinkedHashMap<>();
  private final TreeMap<Long, AwaitedCommit> uncommittedEnds = new TreeMap<>();
  private Resources reserved = Resources.NONE;
  private long clockMillis;
  private long clockSeenMillis;
  private long leaseEndMillis;
  private long earlierLeaseEndsMillis;

  /** A change of a job that must be committed before an end may be acknowledged. */
  private record AwaitedCommit(Job job, long change) {
    boolean isCommitted() {
      return job.committedChanges >= change || job.finalCommitted;
    }
  }

  /**
   * A worker as listed.
   *
   * @param earlierLeaseEndsMillis when leases that an earlier scheduler granted have certainly
   *     expired, monotonic ms
   */
  Worker(WorkerEntry entry, long earlierLeaseEndsMillis) {
    this.entry = entry;
    this.earlierLeaseEndsMillis = earlierLeaseEndsMillis;
  }

  /** Takes in the worker's clock from an answer. */
  void onAnswer(long workerClockMillis, long nowMillis) {
    clockMillis = Math.max(workerClockMillis, clockMillis);
    clockSeenMillis = nowMillis;
    heardMillis = nowMillis;
    silences = 0;
  }

  /**
   * The lease end to send now for a lease of {@code leaseMillis}, on the worker's clock.
   *
   * <p>A silent worker gets no longer lease than it has: each request to it may yet arrive, so that
   * its lease would never be known to have expired.
   */
  long grantLease(long leaseMillis, long nowMillis) {
    if (silences > 0) {
      return leaseEndMillis;
    }
    long end = clockMillis + (nowMillis - clockSeenMillis) + leaseMillis;
    leaseEndMillis = Math.max(leaseEndMillis, end);
    return end;
  }

  /** Whether its lease needs an extension to last {@code marginMillis} more. */
  boolean isLeaseShort(long marginMillis, long nowMillis) {
    return clockMillis + (nowMillis - clockSeenMillis) + marginMillis > leaseEndMillis;
  }

  /** Whether every lease granted to it has certainly expired. */
  boolean isLeaseExpired(long nowMillis) {
    double passed = (nowMillis - clockSeenMillis) * CLOCK_SLOWNESS;
    return nowMillis > earlierLeaseEndsMillis
        && clockMillis + passed > leaseEndMillis + EXPIRY_SLACK_MILLIS;
  }

  /** Whether it has answered so lately that what it told still holds. */
  boolean isHeardOf(long nowMillis) {
    return silences == 0 && nowMillis - heardMillis < HEARD_MILLIS;
  }

  void add(Task task) {
    tasks.put(task.id, task);
    reserved = reserved.plus(task.step.reserved());
  }

  void remove(Task task) {
    if (tasks.remove(task.id, task)) {
      reserved = reserved.minus(task.step.reserved());
    }
  }

  Task task(TaskId id) {
    return tasks.get(id);
  }

  /** A copy of its tasks, so that the caller may change them. */
  List<Task> tasks() {
    return new ArrayList<>(tasks.values());
  }

  boolean isEmpty() {
    return tasks.isEmpty();
  }

  /**
   * Whether its VM may be taken away without loss: nothing runs there, and all its ends are stored.
   * An end that is only known here would be lost with the worker, and its task would run again.
   */
  boolean isSettled() {
    return tasks.isEmpty() && committedEnds >= seenEnds;
  }

  Resources free() {
    return entry.capacity().minus(reserved);
  }

  /** How many tasks of this occurrence and step it has. */
  int countOf(TaskId like) {
    int count = 0;
    for (TaskId id : tasks.keySet()) {
      boolean isSameStep =
          id.job().equals(like.job())
              && id.occurrence() == like.occurrence()
              && id.step() == like.step();
      if (isSameStep) {
        count++;
      }
    }
    return count;
  }

  boolean hasServing() {
    return tasks.values().stream().anyMatch(task -> task.step.serving());
  }

  boolean hasBackfill() {
    return tasks.values().stream().anyMatch(task -> task.step.backfill());
  }

  boolean hasLabel(StepSpec step) {
    return step.requiredLabel().isEmpty() || entry.labels().contains(step.requiredLabel());
  }

  /** Notes that an end may be acknowledged once this state of the job is committed. */
  void awaitCommit(long sequence, Job job) {
    uncommittedEnds.put(sequence, new AwaitedCommit(job, job.changes));
  }

  /** Moves {@link #committedEnds} on as far as commits allow. */
  void updateCommittedEnds() {
    while (!uncommittedEnds.isEmpty() && uncommittedEnds.firstEntry().getValue().isCommitted()) {
      uncommittedEnds.pollFirstEntry();
    }
    committedEnds = uncommittedEnds.isEmpty() ? seenEnds : uncommittedEnds.firstKey() - 1;
  }
}
