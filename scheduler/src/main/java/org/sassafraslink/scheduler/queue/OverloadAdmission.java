package org.sassafraslink.scheduler.queue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Decides which jobs of a pool are deferred while more of them arrive than the pool can serve in
 * time, as in a burst or when one team sends many times its usual.
 *
 * <p>The rule is that of Moore and Hodgson, with weights. Jobs are admitted by their latest start.
 * When one can't start in time behind those before it, jobs that have not started are deferred
 * until it can, beginning with the lowest priority, within it with the jobs of teams above their
 * {@link TeamShares share}, and within these with the lowest loss per work. {@link ServiceLevels}
 * exempts some jobs of each size and priority. Nothing is deferred while all jobs can be in time.
 */
public final class OverloadAdmission {
  /** A job that may be deferred, with what decides about it; the first is deferred first. */
  private record Candidate(
      WaitingJob job, int priority, boolean guaranteed, boolean aboveShare, double lossPerWork)
      implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate other) {
      // Not a chain of comparators: rounds are frequent, and this runs for each pair in the heap.
      if (priority != other.priority) {
        return Integer.compare(other.priority, priority);
      }
      if (guaranteed != other.guaranteed) {
        return Boolean.compare(guaranteed, other.guaranteed);
      }
      if (aboveShare != other.aboveShare) {
        return Boolean.compare(other.aboveShare, aboveShare);
      }
      int byLoss = Double.compare(lossPerWork, other.lossPerWork);
      if (byLoss != 0) {
        return byLoss;
      }
      int byAcceptance = Long.compare(other.job.acceptedMillis(), job.acceptedMillis());
      return byAcceptance != 0 ? byAcceptance : job.id().compareTo(other.job.id());
    }
  }

  private final PoolLoad load;
  private final long nowMillis;

  /** The highest priority, which is the lowest number, of the jobs that have not started. */
  private final int highestPriority;

  private OverloadAdmission(PoolLoad load, long nowMillis) {
    this.load = load;
    this.nowMillis = nowMillis;
    this.highestPriority =
        load.jobs().stream()
            .filter(job -> !job.started())
            .mapToInt(WaitingJob::priority)
            .min()
            .orElse(0);
  }

  /**
   * Returns the jobs that are deferred, by id, in the order in which they are placed when there is
   * room after all: those that would be deferred last are first.
   *
   * @param nowMillis the present time, wall-clock ms
   */
  public static ImmutableMap<String, DeferralReason> deferredJobs(PoolLoad load, long nowMillis) {
    return new OverloadAdmission(load, nowMillis).deferredJobs();
  }

  private ImmutableMap<String, DeferralReason> deferredJobs() {
    double inTimeMillis = load.runningMillis();
    boolean overflows = false;
    for (WaitingJob job : load.jobs()) {
      if (job.started() || startsInTime(job, inTimeMillis)) {
        inTimeMillis += job.workMillis();
      } else {
        overflows = true;
      }
    }
    return overflows ? deferUntilInTime(candidates(inTimeMillis)) : ImmutableMap.of();
  }

  private boolean startsInTime(WaitingJob job, double earlierWorkMillis) {
    return nowMillis + earlierWorkMillis <= job.latestStartMillis();
  }

  private ImmutableMap<String, DeferralReason> deferUntilInTime(Candidate[] candidates) {
    Map<String, DeferralReason> deferred = new HashMap<>();
    PriorityQueue<Candidate> admitted = new PriorityQueue<>();
    double queuedMillis = load.runningMillis();
    for (Candidate candidate : candidates) {
      WaitingJob job = candidate.job();
      if (job.started()) {
        queuedMillis += job.workMillis();
        continue;
      }
      admitted.add(candidate);
      List<Candidate> replaced = new ArrayList<>();
      double earlierMillis = queuedMillis;
      while (!startsInTime(job, earlierMillis) && !candidate.equals(admitted.peek())) {
        Candidate next = admitted.remove();
        replaced.add(next);
        earlierMillis -= next.job().workMillis();
      }
      if (startsInTime(job, earlierMillis)) {
        replaced.forEach(next -> deferred.put(next.job().id(), reason(next)));
        queuedMillis = earlierMillis + job.workMillis();
      } else {
        // Deferring the others would not be enough.
        admitted.remove();
        boolean isAlone = admitted.isEmpty() && replaced.isEmpty();
        deferred.put(job.id(), isAlone ? DeferralReason.NO_ROOM : reason(candidate));
        admitted.addAll(replaced);
      }
    }
    ImmutableMap.Builder<String, DeferralReason> result = ImmutableMap.builder();
    Arrays.stream(candidates)
        .filter(candidate -> deferred.containsKey(candidate.job().id()))
        .sorted(Comparator.reverseOrder())
        .forEach(candidate -> result.put(candidate.job().id(), deferred.get(candidate.job().id())));
    return result.buildOrThrow();
  }

  private DeferralReason reason(Candidate candidate) {
    if (candidate.priority() > highestPriority) {
      return DeferralReason.LOWER_PRIORITY;
    }
    return candidate.aboveShare() ? DeferralReason.TEAM_ABOVE_SHARE : DeferralReason.MOST_WORK;
  }

  /**
   * Returns a candidate for each job, by latest start.
   *
   * @param inTimeMillis the work that the pool can do in time, as time of the whole pool
   */
  private Candidate[] candidates(double inTimeMillis) {
    ImmutableList<WaitingJob> jobs = load.jobs();
    double[] lossPerWork = new double[jobs.size()];
    List<Integer> keptFirst = new ArrayList<>(jobs.size());
    for (int i = 0; i < jobs.size(); i++) {
      WaitingJob job = jobs.get(i);
      lossPerWork[i] = job.started() ? Double.POSITIVE_INFINITY : job.lossPerWork(nowMillis);
      keptFirst.add(i);
    }
    keptFirst.sort((a, b) -> Double.compare(lossPerWork[b], lossPerWork[a]));
    Set<Integer> aboveShare = jobsAboveShare(keptFirst, inTimeMillis);
    ServiceLevels levels = load.serviceLevels();
    Map<ServiceLevels.SizeKey, Integer> guaranteedBySize = new HashMap<>();
    Map<Integer, Integer> guaranteedByPriority = new HashMap<>();
    Candidate[] result = new Candidate[jobs.size()];
    for (int i : keptFirst) {
      WaitingJob job = jobs.get(i);
      boolean isPriorityGuaranteed =
          !job.started()
              && consume(guaranteedByPriority, job.priority(), levels::guaranteedStartsOfPriority);
      boolean isSizeGuaranteed =
          !job.started()
              && consume(
                  guaranteedBySize,
                  new ServiceLevels.SizeKey(job.queue(), job.size()),
                  levels::guaranteedStartsOfSize);
      boolean isGuaranteed = isPriorityGuaranteed || isSizeGuaranteed;
      result[i] =
          new Candidate(
              job,
              isGuaranteed ? highestPriority : job.priority(),
              isGuaranteed,
              aboveShare.contains(i),
              lossPerWork[i]);
    }
    return result;
  }

  /** Returns whether a start of the number guaranteed for a key is left, and uses it. */
  private static <K> boolean consume(
      Map<K, Integer> remainingByKey, K key, ToIntFunction<K> guaranteed) {
    int remaining = remainingByKey.computeIfAbsent(key, guaranteed::applyAsInt);
    remainingByKey.put(key, remaining - 1);
    return remaining > 0;
  }

  /**
   * Returns the numbers of the jobs for which their team's share has no room behind its jobs before
   * them.
   */
  private Set<Integer> jobsAboveShare(List<Integer> keptFirst, double inTimeMillis) {
    Map<String, Double> demandByTeam = new HashMap<>(load.runningMillisByTeam());
    load.jobs().forEach(job -> demandByTeam.merge(job.team(), job.workMillis(), Double::sum));
    if (demandByTeam.size() == 1) {
      return ImmutableSet.of();
    }
    ImmutableMap<String, Double> shares =
        TeamShares.of(demandByTeam, load.weightByTeam(), inTimeMillis);
    Map<String, Double> usedByTeam = new HashMap<>(load.runningMillisByTeam());
    Set<Integer> result = new HashSet<>();
    for (int i : keptFirst) {
      WaitingJob job = load.jobs().get(i);
      double usedMillis = usedByTeam.getOrDefault(job.team(), 0.0);
      if (usedMillis >= shares.get(job.team())) {
        result.add(i);
      }
      usedByTeam.put(job.team(), usedMillis + job.workMillis());
    }
    return result;
  }
}
