package org.sassafraslink.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.scheduler.incarnation.FencingToken;

/**
 * The state of one incarnation of a worker, as known to the scheduler. Not thread-safe: used only
 * on the scheduler's thread.
 */
final class Worker {
  /** How long the last worker report is relied on, in ms: one long poll and its response. */
  static final long REPORT_VALIDITY_MILLIS = 1_700;

  /**
   * How long an answer shows that a worker is up when a long-running task is assigned to it, in ms.
   * If the worker is lost within this time, the task waits for the end of one more lease.
   */
  private static final long ANSWER_VALIDITY_MILLIS = 500;

  /** After this time without an answer, another worker is asked as well, in ms. */
  private static final long PROMPT_ANSWER_MILLIS = 150;

  WorkerEntry entry;

  /** Whether the platform lists this incarnation. */
  boolean listed = true;

  /** Whether it has responded with a worker report under this scheduler's fencing token. */
  boolean hasReported;

  /** Whether a response has shown that the worker is in this incarnation. */
  boolean confirmed;

  /** When it was last registered under its id, monotonic ms. */
  long registeredMillis;

  /**
   * The number of its last registration under its id, from which its fencing token is made; 0 if it
   * is only known from the rows of jobs.
   */
  long registration;

  /**
   * Whether its entry is of this incarnation. If not, it is that of an earlier one, which may have
   * been of another kind.
   */
  boolean hasOwnEntry = true;

  /** Whether it may have executed a command to an earlier incarnation. */
  boolean mayHaveInheritedLease = true;

  /**
   * When leases from commands to earlier incarnations have expired according to an earlier
   * scheduler, monotonic ms; empty if none has stored this.
   */
  private OptionalLong storedInheritedEndMillis = OptionalLong.empty();

  /**
   * Whether this scheduler knew of another incarnation of the worker when it first knew of this
   * one.
   */
  boolean followsKnownIncarnation;

  /** Whether the row of a job names a later incarnation of the worker. */
  boolean namedInLaterIncarnation;

  /** Whether a response has shown that a later incarnation of the worker runs. */
  boolean laterIncarnationSeen;

  /** Whether this incarnation has ended. */
  boolean ended;

  /**
   * Whether its last report listed an attempt that this scheduler does not expect there. It was
   * told to stop the attempt, which a further report has to show.
   */
  boolean runsOrphan;

  /** The number of the last report request that was sent to it. */
  long lastReportRequest;

  /** Whether the last report request, which also renews the lease, is pending. */
  boolean reportRequestPending;

  /** When the next report request is due, monotonic ms. */
  long nextReportRequestMillis;

  /** When it last responded to a report request, monotonic ms. */
  long lastResponseMillis;

  /** When the newest report request with a response was sent, monotonic ms. */
  long lastAnsweredRequestMillis;

  /** When it last responded to a start or a stop, monotonic ms; for the log only. */
  long lastCommandResponseMillis;

  /** When a command with a lease was last sent to it, monotonic ms. */
  long lastLeaseSentMillis;

  /** The worker's clock in its newest report, ms. */
  long newestReportClockMillis;

  /** When it was last asked for an answer before an assignment, monotonic ms; 0 if never. */
  private long answerWantedMillis;

  /** Whether that request has not been sent yet. */
  private boolean answerRequestDue;

  /** The number of consecutive failed report requests; at least 1 if the worker is unreachable. */
  int consecutiveCallFailures;

  /** It gets no new tasks before this time, monotonic ms. */
  long avoidUntilMillis;

  /** Why it gets no new tasks until the reason is cleared; empty if it may get some. */
  String cordonReason = "";

  /** Whether its availability zone is evacuated, so that it gets no new tasks. */
  boolean zoneEvacuated;

  /** When it was cordoned, monotonic ms. */
  long cordonedMillis;

  /** Since when its entry has announced a drain while it had tasks, monotonic ms; 0 if not. */
  long drainSeenMillis;

  /** Whether it is drained for another pool; see {@link SurplusWorkers}. */
  boolean isSurplus;

  /** Whether it is drained for the long-running tasks of another pool, so gets no short ones. */
  boolean isSurplusForLongRunning;

  /** Sequence number up to which the reported ends of attempts are committed. */
  long lastCommittedEnd;

  /** Sequence number up to which the reported ends of attempts have been processed. */
  long lastProcessedEnd;

  /** Sequence number up to which ends were acknowledged in a report request with a response. */
  long lastAcknowledgedEnd;

  /** The number of consecutive failures of different tasks, without a success in between. */
  int consecutiveTaskFailures;

  private final Map<TaskId, Task> tasks = new LinkedHashMap<>();
  private final TreeMap<Long, PendingCommit> uncommittedEnds = new TreeMap<>();

  /** The part of the worker's capacity that is reserved for its tasks. */
  private Resources reserved = Resources.NONE;

  /** Long-running tasks that are to run here next, for which room is kept free. */
  private final Set<Task> holds = new LinkedHashSet<>();

  private WorkerLease lease;

  /** Whether it gets no lease beyond those it has; see {@link WorkerLeaseRecorder}. */
  private BooleanSupplier leaseWithheld = () -> false;

  private ReplacementSuspicion replacementSuspicion = ReplacementSuspicion.NONE;

  /** When a replacement was last suspected, monotonic ms. */
  private long replacementSuspectedMillis;

  /** Whether the entry of another worker suggests that this incarnation has been replaced. */
  private enum ReplacementSuspicion {
    NONE,
    /** Suspected, and this worker has not been asked since. */
    TO_BE_CHECKED,
    /** Suspected, and no response to a later request has shown yet whether it is true. */
    BEING_CHECKED
  }

  /** A change of a job that must be committed before the end that caused it is acknowledged. */
  private record PendingCommit(Job job, long changeNumber) {
    boolean isCommitted() {
      return job.lastCommittedChange >= changeNumber || job.finalCommitted;
    }
  }

  /**
   * Creates a listed worker without tasks.
   *
   * @param unknownLeasesEndMillis see {@link WorkerLease}
   * @param unknownInheritedEndMillis see {@link WorkerLease}
   */
  Worker(WorkerEntry entry, long unknownLeasesEndMillis, long unknownInheritedEndMillis) {
    this.entry = entry;
    this.lease = WorkerLease.ofUnknownClock(unknownLeasesEndMillis, unknownInheritedEndMillis);
  }

  /**
   * Applies a newer entry of this incarnation. Requests still go to the address at which the
   * incarnation has responded, which it keeps until it ends.
   */
  void applyEntry(WorkerEntry newer) {
    entry = confirmed ? newer.withAddress(entry.address()) : newer;
  }

  /**
   * Records that the entry of another worker has the VM or the address of this one. Anyone may have
   * written that entry, so the worker is asked, and runs its tasks until its own response, or the
   * lack of one until its lease has expired, shows that it has ended.
   */
  void suspectReplacement(long nowMillis) {
    replacementSuspicion = ReplacementSuspicion.TO_BE_CHECKED;
    replacementSuspectedMillis = nowMillis;
  }

  boolean isReplacementSuspected() {
    return replacementSuspicion != ReplacementSuspicion.NONE;
  }

  /** Returns whether a request must be sent at once to check this, and records it as sent. */
  boolean beginReplacementCheck() {
    boolean isDue = replacementSuspicion == ReplacementSuspicion.TO_BE_CHECKED;
    if (isDue) {
      replacementSuspicion = ReplacementSuspicion.BEING_CHECKED;
    }
    return isDue;
  }

  /**
   * Ends the suspicion, if any, that a response of this incarnation has disproved, and returns
   * whether there was one.
   */
  boolean endDisprovedSuspicion(long requestSentMillis) {
    boolean isDisproved =
        isReplacementSuspected() && requestSentMillis >= replacementSuspectedMillis;
    if (isDisproved) {
      laterIncarnationSeen = false;
      replacementSuspicion = ReplacementSuspicion.NONE;
    }
    return isDisproved;
  }

  /** Returns the fencing token of commands to this incarnation. */
  long fencingToken(long epoch) {
    return FencingToken.of(epoch, registration).value();
  }

  /** Records that a response has shown that a later incarnation runs; a report may disprove it. */
  void recordLaterIncarnation(long nowMillis) {
    laterIncarnationSeen = true;
    suspectReplacement(nowMillis);
  }

  /** Returns whether it provides capacity to the pool of its entry, as far as is known. */
  boolean isInPool() {
    return listed && !ended && !isReplacementSuspected();
  }

  /** Returns whether neither its entry, a cordon nor an evacuation keeps new tasks from it. */
  boolean isOpenForTasks() {
    return hasOwnEntry && cordonReason.isEmpty() && !zoneEvacuated;
  }

  /**
   * Records a response with the worker's clock, which also ends a series of failed requests.
   *
   * @param inheritedLeaseMillis see {@link WorkerLease#read}
   * @param sentMillis when the request was sent, monotonic ms
   */
  void recordResponse(
      long workerClockMillis, long inheritedLeaseMillis, long sentMillis, long nowMillis) {
    lease = lease.read(workerClockMillis, inheritedLeaseMillis, nowMillis);
    lastAnsweredRequestMillis = Math.max(lastAnsweredRequestMillis, sentMillis);
    lastResponseMillis = nowMillis;
    consecutiveCallFailures = 0;
  }

  /**
   * Returns the lease end to send for a lease of {@code leaseMillis}, in ms on the worker's clock,
   * and records it as granted. Returns empty before the worker has reported its clock.
   *
   * <p>If the last request failed, or leases are withheld, this is the lease end granted before.
   * Each request to a worker that does not respond may still arrive, so if each extended the lease,
   * the lease could never be known to have expired.
   */
  Optional<Long> grantLease(long leaseMillis, long nowMillis) {
    lastLeaseSentMillis = nowMillis;
    if (consecutiveCallFailures > 0) {
      return lease.longestEnd();
    }
    if (leaseWithheld.getAsBoolean()) {
      return lease.longestEnd().filter(end -> end > 0);
    }
    Optional<Long> endMillis = lease.endOf(leaseMillis, nowMillis);
    endMillis.ifPresent(end -> lease = lease.grantUntil(end));
    return endMillis;
  }

  /**
   * Returns the lease end to send with a start that is repeated: that of the longest lease granted.
   * A worker that has been lost would otherwise count as running its tasks for longer.
   */
  Optional<Long> repeatLease(long nowMillis) {
    lastLeaseSentMillis = nowMillis;
    return lease.longestEnd();
  }

  /**
   * Records when leases from commands to earlier incarnations have expired according to an earlier
   * scheduler.
   */
  void limitInheritedLeases(long endMillis) {
    storedInheritedEndMillis =
        OptionalLong.of(Math.min(endMillis, storedInheritedEndMillis.orElse(endMillis)));
    lease = lease.limitInheritedLeases(endMillis);
  }

  /**
   * Returns how long after a response to a request sent at {@code sentMillis} leases from commands
   * to earlier incarnations may last, on the worker's clock.
   *
   * @param unknownMillis how long if no earlier scheduler has stored when they expire
   */
  long inheritedLeaseMillis(long unknownMillis, long sentMillis) {
    if (!mayHaveInheritedLease) {
      return 0;
    }
    return storedInheritedEndMillis.isPresent()
        ? Math.min(unknownMillis, Math.max(0, storedInheritedEndMillis.getAsLong() - sentMillis))
        : unknownMillis;
  }

  /** Returns whether a response to a request sent at {@code sentMillis} is this incarnation's. */
  boolean isOwnClock(OptionalLong responseClockMillis, long sentMillis) {
    return responseClockMillis.isEmpty()
        || lease.canBeClock(responseClockMillis.getAsLong(), sentMillis);
  }

  /**
   * Returns whether every lease granted to this worker has expired, also those that earlier
   * schedulers granted, or any scheduler to an earlier incarnation.
   */
  boolean isLeaseExpired(long nowMillis) {
    return lease.isExpired(nowMillis);
  }

  /** Returns whether the worker responded so recently that its last worker report is relied on. */
  boolean hasRecentReport(long nowMillis) {
    return consecutiveCallFailures == 0 && nowMillis - lastResponseMillis < REPORT_VALIDITY_MILLIS;
  }

  /** Returns whether its requests fail, or it has not reported since the takeover or its expiry. */
  boolean isSilentOrUnreported() {
    return !hasReported || consecutiveCallFailures > 0;
  }

  /**
   * Returns whether it responded so recently, or since it was asked for that, that a long-running
   * task may be assigned to it.
   */
  boolean hasJustAnswered(long nowMillis) {
    boolean hasAnswered =
        lastResponseMillis >= answerWantedMillis
            && nowMillis - answerWantedMillis < REPORT_VALIDITY_MILLIS;
    return consecutiveCallFailures == 0
        && (hasAnswered || nowMillis - lastResponseMillis < ANSWER_VALIDITY_MILLIS);
  }

  /** Has it asked for a report at once, unless it is being asked already. */
  void wantAnswer(long nowMillis) {
    if (!isAnswerAwaited(nowMillis)) {
      answerWantedMillis = nowMillis;
      answerRequestDue = true;
    }
  }

  private boolean isAnswerAwaited(long nowMillis) {
    return answerWantedMillis > lastResponseMillis
        && nowMillis - answerWantedMillis < REPORT_VALIDITY_MILLIS
        && consecutiveCallFailures == 0;
  }

  /** Returns whether it was asked for an answer and should have given it by now. */
  boolean isLateToAnswer(long nowMillis) {
    return isAnswerAwaited(nowMillis) && nowMillis - answerWantedMillis > PROMPT_ANSWER_MILLIS;
  }

  /** Returns whether a request for an answer must be sent at once, and records it as sent. */
  boolean beginAnswerRequest() {
    boolean isDue = answerRequestDue;
    answerRequestDue = false;
    return isDue;
  }

  /** Returns whether its requests fail and it has last responded before a time. */
  boolean isSilentSince(long millis) {
    return consecutiveCallFailures > 0 && silentSinceMillis() < millis;
  }

  void add(Task task) {
    tasks.put(task.id, task);
    reserved = reserved.plus(task.step.reservedResources());
  }

  void remove(Task task) {
    if (tasks.remove(task.id, task)) {
      reserved = reserved.minus(task.step.reservedResources());
    }
  }

  Task findTask(TaskId id) {
    return tasks.get(id);
  }

  /** Returns a copy of its tasks, so that the caller may add and remove tasks while iterating. */
  List<Task> tasks() {
    return new ArrayList<>(tasks.values());
  }

  boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Keeps room free for a task that is to run here next. */
  void hold(Task task) {
    holds.add(task);
  }

  void releaseHold(Task task) {
    holds.remove(task);
  }

  boolean hasHolds() {
    return !holds.isEmpty();
  }

  /**
   * Returns whether its VM may be taken away without loss: no task is assigned to it or is to run
   * here next, and all ends it reported are committed. An end that is not committed is known only
   * to this process and to the worker. Without the worker it could be lost, and its task would run
   * again.
   */
  boolean isSafeToRemove() {
    return tasks.isEmpty() && holds.isEmpty() && lastCommittedEnd >= lastProcessedEnd;
  }

  /** Returns what neither its tasks use nor is held; less than nothing if both exceed it. */
  Resources freeResources() {
    return freeResources(hold -> true);
  }

  /** Returns what is free for a task, for which room may be held here. */
  Resources freeResourcesFor(Task task) {
    return freeResources(hold -> hold != task);
  }

  private Resources freeResources(Predicate<Task> isCounted) {
    Resources free = entry.capacity().minus(reserved);
    for (Task hold : holds) {
      if (isCounted.test(hold)) {
        free = free.minus(hold.step.reservedResources());
      }
    }
    return free;
  }

  /**
   * Returns how many other tasks of the same job, occurrence and step it has, or holds room for.
   */
  int countOfSameStep(Task task) {
    long present = tasks.values().stream().filter(other -> isOfSameStep(other, task)).count();
    long held = holds.stream().filter(other -> isOfSameStep(other, task)).count();
    return (int) (present + held);
  }

  private static boolean isOfSameStep(Task other, Task task) {
    return other != task
        && other.job == task.job
        && other.id.occurrence() == task.id.occurrence()
        && other.id.step() == task.id.step();
  }

  boolean hasServingTask() {
    return tasks.values().stream().anyMatch(task -> task.step.serving());
  }

  boolean hasBackfillTask() {
    return tasks.values().stream().anyMatch(task -> task.step.backfill());
  }

  boolean hasRequiredLabel(StepSpec step) {
    return step.requiredLabel().isEmpty() || entry.labels().contains(step.requiredLabel());
  }

  /** Delays the acknowledgement of an end until the current state of the job is committed. */
  void acknowledgeAfterCommit(long sequence, Job job) {
    uncommittedEnds.put(sequence, new PendingCommit(job, job.lastChange));
    job.addWorkerAwaitingCommit(this);
  }

  /** Returns whether an end is not acknowledged yet because a change of the job is uncommitted. */
  boolean awaitsCommitOf(Job job) {
    return uncommittedEnds.values().stream()
        .anyMatch(pending -> pending.job() == job && !pending.isCommitted());
  }

  /** Advances {@link #lastCommittedEnd} up to the first end whose change is not committed. */
  void advanceLastCommittedEnd() {
    while (!uncommittedEnds.isEmpty() && uncommittedEnds.firstEntry().getValue().isCommitted()) {
      uncommittedEnds.pollFirstEntry();
    }
    lastCommittedEnd =
        uncommittedEnds.isEmpty() ? lastProcessedEnd : uncommittedEnds.firstKey() - 1;
  }

  /**
   * Records that tasks have moved to it which its clock may count as those of the earlier
   * incarnation, with leases that have expired at {@code millis}, monotonic ms.
   */
  void keepTasksUntil(long millis) {
    lease = lease.withInheritedLeasesUntil(millis);
  }

  /** Applies that the leases which earlier schedulers granted have expired at a time. */
  void limitUnknownLeases(long endMillis) {
    limitInheritedLeases(endMillis);
    lease = lease.limitUnknownLeases(endMillis);
  }

  /** Grants no lease beyond those it has while the condition holds. */
  void withholdLeaseWhile(BooleanSupplier condition) {
    leaseWithheld = condition;
  }

  WorkerLease lease() {
    return lease;
  }

  /** Returns when it last responded, or if it never did, was registered, monotonic ms. */
  long silentSinceMillis() {
    return heardMillis() > 0 ? heardMillis() : registeredMillis;
  }

  /** Returns when it last responded, monotonic ms; 0 if it never did. */
  long heardMillis() {
    return Math.max(lastResponseMillis, lastCommandResponseMillis);
  }
}
