package org.sassafraslink.scheduler.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RunReport.EndKind;
import org.sassafraslink.api.fleet.RunReport.Ended;
import org.sassafraslink.api.fleet.TaskId;

/** Checks what users are promised, from what workers and callers see. */
public final class Promises {
  /** A start may follow the acknowledgement of a cancellation by this, in ms. */
  private static final long CANCEL_MILLIS = 3_000;

  private final SimClock clock;
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Long> cancelledAt = new HashMap<>();
  private final Map<TaskId, Set<FakeWorker>> runsOn = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final Set<TaskId> acknowledgedDone = new HashSet<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final Map<String, Resources> caps = new HashMap<>();
  private final Map<String, Resources> used = new HashMap<>();
  private final Map<FakeWorker, Set<Long>> expiredBefore = new HashMap<>();
  private final Map<FakeWorker, Map<Long, Ended>> unacknowledged = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private boolean carriedOutLate;
  private int maxFailures = Integer.MAX_VALUE;

  public Promises(SimClock clock) {
    this.clock = clock;
  }

  /** Promises with a time bound do not hold for orders that a worker carries out late. */
  void setCarriedOutLate(boolean late) {
    carriedOutLate = late;
  }

  public List<String> violations() {
    return violations;
  }

  public void limit(String team, Resources cap) {
    caps.put(team, cap);
  }

  public void maxFailures(int bound) {
    maxFailures = bound;
  }

  public void onSubmitted(JobSpec job) {
    jobs.put(job.id(), job);
  }

  public void onCancelAcknowledged(String job) {
    cancelledAt.putIfAbsent(job, clock.now());
  }

  void onStart(FakeWorker worker, TaskId task, int attempt) {
    JobSpec job = jobs.get(task.job());
    if (job == null) {
      violate("UNASKED", task, "never submitted");
      return;
    }
    Set<FakeWorker> on = runsOn.computeIfAbsent(task, id -> new HashSet<>());
    if (!on.isEmpty()) {
      violate("TWICE", task, "runs on " + on.iterator().next().id + " and " + worker.id);
    }
    if (acknowledgedDone.contains(task)) {
      violate("TWICE", task, "attempt " + attempt + " after its acknowledged end");
    }
    on.add(worker);
    for (int earlier : job.steps().get(task.step()).after()) {
      for (int index = 0; index < job.steps().get(earlier).count(); index++) {
        if (!done.contains(new TaskId(task.job(), task.occurrence(), earlier, index))) {
          violate("ORDER", task, "step " + earlier + " is not done");
        }
      }
    }
    Long cancelled = cancelledAt.get(task.job());
    if (cancelled != null && !carriedOutLate && clock.now() - cancelled > CANCEL_MILLIS) {
      violate("UNASKED", task, "cancelled " + (clock.now() - cancelled) + " ms ago");
    }
    if (failures.getOrDefault(task, 0) >= maxFailures) {
      violate("BUDGET", task, "failed " + failures.get(task) + " times");
    }
    Resources need = job.steps().get(task.step()).need();
    Resources now = used.merge(job.team(), need, Resources::plus);
    Resources cap = caps.get(job.team());
    if (cap != null && now.cpuMillis() > cap.cpuMillis() * 1.1 + need.cpuMillis()) {
      violate("QUOTA", task, job.team() + " runs " + now + " of " + cap);
    }
  }

  void onEnd(FakeWorker worker, TaskId task, EndKind kind) {
    onGone(worker, task);
    if (kind == EndKind.DONE) {
      done.add(task);
    } else if (kind == EndKind.FAILED) {
      failures.merge(task, 1, Integer::sum);
    }
  }

  void onGone(FakeWorker worker, TaskId task) {
    Set<FakeWorker> on = runsOn.getOrDefault(task, Set.of());
    if (on.remove(worker)) {
      JobSpec job = jobs.get(task.job());
      used.merge(job.team(), job.steps().get(task.step()).need(), Resources::minus);
    }
  }

  /** Ends listed before a lease expired do not count when they are acknowledged later. */
  void onLeaseExpired(FakeWorker worker, List<Ended> listed) {
    Set<Long> before = expiredBefore.computeIfAbsent(worker, key -> new HashSet<>());
    listed.forEach(end -> before.add(end.sequence()));
  }

  void onAcknowledged(FakeWorker worker, List<Ended> listed, long upTo) {
    Map<Long, Ended> known = unacknowledged.computeIfAbsent(worker, key -> new HashMap<>());
    for (Ended end : listed) {
      known.put(end.sequence(), end);
      boolean isExpired = expiredBefore.getOrDefault(worker, Set.of()).contains(end.sequence());
      if (end.sequence() <= upTo && end.kind() == EndKind.DONE && !isExpired) {
        acknowledgedDone.add(end.task());
        if (runsOn.getOrDefault(end.task(), Set.of()).size() > 0) {
          violate("TWICE", end.task(), "runs while its end is acknowledged");
        }
      }
    }
  }

  /** All tasks of a job have ended successfully. */
  boolean isDone(JobSpec job) {
    for (int step = 0; step < job.steps().size(); step++) {
      for (int index = 0; index < job.steps().get(step).count(); index++) {
        if (!done.contains(new TaskId(job.id(), 0, step, index))) {
          return false;
        }
      }
    }
    return true;
  }

  void violate(String rule, TaskId task, String detail) {
    violations.add(clock.now() + " " + rule + " " + task + ": " + detail);
  }

  void violate(String rule, String detail) {
    violations.add(clock.now() + " " + rule + ": " + detail);
  }
}
