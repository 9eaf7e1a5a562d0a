package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.scheduler.OverloadReplay.Order;
import org.sassafraslink.scheduler.OverloadReplay.ReplayedJob;
import org.sassafraslink.scheduler.queue.OverloadAdmission;
import org.sassafraslink.scheduler.queue.PoolLoad;
import org.sassafraslink.scheduler.queue.SizeClass;
import org.sassafraslink.scheduler.queue.TeamShares;
import org.sassafraslink.scheduler.queue.WaitingJob;

/**
 * Guards against an order of waiting jobs that serves fewer callers in time than the alternatives
 * while a pool is overloaded, and against callers that pay for it by their size, priority or team.
 */
class OverloadReplayTest {
  private static final int BURSTS = 5;
  private static final int BURST_MILLIS = 5_000;

  private static final Order ARRIVAL =
      (load, deadline, now) -> sorted(load, Comparator.comparingLong(WaitingJob::acceptedMillis));

  private static final Order EARLIEST_DEADLINE =
      (load, deadline, now) -> sorted(load, Comparator.comparingDouble(deadline));

  private static final Order LATEST_START =
      (load, deadline, now) -> admittedFirst(load, admitted(load, now));

  private static final Order WEIGHTED_MOORE_HODGSON =
      (load, deadline, now) -> {
        List<String> deferred = OverloadAdmission.deferredJobs(load, now).keySet().asList();
        Map<String, Integer> positions = new HashMap<>();
        deferred.forEach(id -> positions.put(id, positions.size()));
        return sorted(load, Comparator.comparingInt(job -> positions.getOrDefault(job.id(), -1)));
      };

  private static final Order LOSS_PER_WORK =
      (load, deadline, now) -> admittedFirst(load, admittedByLossPerWork(load, now));

  private static final ImmutableMap<String, Order> ORDERS =
      ImmutableMap.of(
          "arrival", ARRIVAL,
          "earliest deadline, without admission", EARLIEST_DEADLINE,
          "latest start, with admission", LATEST_START,
          "Moore and Hodgson with weights", WEIGHTED_MOORE_HODGSON,
          "loss per work", LOSS_PER_WORK);

  private static List<WaitingJob> sorted(PoolLoad load, Comparator<WaitingJob> comparator) {
    return load.jobs().stream().sorted(comparator).toList();
  }

  private static List<WaitingJob> admittedFirst(PoolLoad load, Predicate<WaitingJob> admitted) {
    return sorted(load, Comparator.comparing(job -> !admitted.test(job)));
  }

  /** Admits the jobs that can start in time behind those before them. */
  private static Predicate<WaitingJob> admitted(PoolLoad load, long now) {
    Set<String> admitted = new HashSet<>();
    double queuedMillis = runningMillis(load);
    for (WaitingJob job : load.jobs()) {
      if (job.started() || now + queuedMillis <= job.latestStartMillis()) {
        admitted.add(job.id());
        queuedMillis += job.workMillis();
      }
    }
    return job -> admitted.contains(job.id());
  }

  /** Admits the jobs of the least work first, if all admitted ones still start in time. */
  private static Predicate<WaitingJob> admittedByLossPerWork(PoolLoad load, long now) {
    Set<String> admitted = new HashSet<>();
    List<WaitingJob> bestFirst =
        sorted(
            load,
            Comparator.comparing((WaitingJob job) -> !job.started())
                .thenComparingInt(WaitingJob::priority)
                .thenComparingDouble(WaitingJob::workMillis));
    for (WaitingJob added : bestFirst) {
      admitted.add(added.id());
      double queuedMillis = runningMillis(load);
      for (WaitingJob job : load.jobs()) {
        if (admitted.contains(job.id())) {
          if (!job.started() && now + queuedMillis > job.latestStartMillis()) {
            admitted.remove(added.id());
            break;
          }
          queuedMillis += job.workMillis();
        }
      }
    }
    return job -> admitted.contains(job.id());
  }

  private static double runningMillis(PoolLoad load) {
    return load.runningMillisByTeam().values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns the jobs of several bursts, each replayed on an idle pool. */
  private static ImmutableList<ReplayedJob> replay(double factor, Order order) {
    ImmutableList.Builder<ReplayedJob> all = ImmutableList.builder();
    for (int seed = 0; seed < BURSTS; seed++) {
      ImmutableList<ReplayedJob> jobs = OverloadReplay.record(seed, factor, BURST_MILLIS);
      OverloadReplay.run(jobs, order);
      all.addAll(jobs);
    }
    return all.build();
  }

  /** Returns the fraction of the selected jobs that ended in time. */
  private static double served(List<ReplayedJob> jobs, Predicate<ReplayedJob> which) {
    List<ReplayedJob> selected = jobs.stream().filter(which).toList();
    return (double) selected.stream().filter(ReplayedJob::inTime).count() / selected.size();
  }

  private static double served(List<ReplayedJob> jobs) {
    return served(jobs, job -> true);
  }

  private static double servedOfPriority(List<ReplayedJob> jobs, int priority) {
    return served(jobs, job -> job.queue.priority() == priority);
  }

  private static double servedOfSize(List<ReplayedJob> jobs, int priority, SizeClass size) {
    return served(jobs, job -> job.queue.priority() == priority && job.size == size);
  }

  /**
   * Returns the part of all work done in time that teams lacked of their share of it. A team's
   * share is by its weight, and no more than what it asked for.
   */
  private static double shareLacked(List<ReplayedJob> jobs) {
    Map<String, Double> asked = new HashMap<>();
    Map<String, Double> done = new HashMap<>();
    Map<String, Double> weights = new HashMap<>();
    for (ReplayedJob job : jobs) {
      asked.merge(job.team, job.coreMillis(), Double::sum);
      done.merge(job.team, job.inTime() ? job.coreMillis() : 0, Double::sum);
      weights.put(job.team, OverloadReplay.weight(job.team));
    }
    double room = done.values().stream().mapToDouble(Double::doubleValue).sum();
    double lacked = 0;
    for (Map.Entry<String, Double> share : TeamShares.of(asked, weights, room).entrySet()) {
      lacked += Math.max(0, share.getValue() - done.get(share.getKey()));
    }
    return lacked / room;
  }

  private static String tableLine(double factor, String name, List<ReplayedJob> jobs) {
    return String.format(
        "| %.1f | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |",
        factor,
        name,
        served(jobs),
        servedOfPriority(jobs, 0),
        servedOfPriority(jobs, 1),
        servedOfSize(jobs, 0, SizeClass.LARGEST),
        servedOfSize(jobs, 0, SizeClass.LARGE),
        served(jobs, job -> !job.team.equals(OverloadReplay.HOT_TEAM)),
        shareLacked(jobs));
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.5, 2.5})
  void callersServedByEachOrder(double factor) {
    Map<String, ImmutableList<ReplayedJob>> replayed = new LinkedHashMap<>();
    ORDERS.forEach((name, order) -> replayed.put(name, replay(factor, order)));
    replayed.forEach((name, jobs) -> System.out.println(tableLine(factor, name, jobs)));
    ImmutableList<ReplayedJob> before = replay(factor, LATEST_START);
    ImmutableList<ReplayedJob> now = replay(factor, WEIGHTED_MOORE_HODGSON);
    assertTrue(served(now) >= served(before), "all callers");
    assertTrue(servedOfPriority(now, 0) >= servedOfPriority(before, 0), "the highest priority");
  }

  @ParameterizedTest
  @CsvSource({
    "1.5, 0, LARGE", "1.5, 0, LARGEST", "1.5, 1, LARGE", "1.5, 1, LARGEST",
    "2.5, 0, LARGE", "2.5, 0, LARGEST", "2.5, 1, LARGE", "2.5, 1, LARGEST"
  })
  void largeJobsAreServedHalfAsOftenAsTheirQueue(double factor, int priority, SizeClass size) {
    ImmutableList<ReplayedJob> jobs = replay(factor, WEIGHTED_MOORE_HODGSON);
    double ofQueue = servedOfPriority(jobs, priority);
    double ofSize = servedOfSize(jobs, priority, size);
    assertTrue(ofSize >= ofQueue / 2, ofSize + " of the size, of the queue " + ofQueue);
  }

  @ParameterizedTest
  @ValueSource(doubles = {1.5, 2.5})
  void lowPriorityIsServed(double factor) {
    ImmutableList<ReplayedJob> jobs = replay(factor, WEIGHTED_MOORE_HODGSON);
    assertTrue(servedOfPriority(jobs, 1) >= servedOfPriority(jobs, 0) / 10);
  }

  /** The hot team has seven times its usual. */
  @Test
  void teamsLackLessOfTheirSharesThanBefore() {
    double before = shareLacked(replay(2.5, LATEST_START));
    double now = shareLacked(replay(2.5, WEIGHTED_MOORE_HODGSON));
    assertTrue(now < before, now + " lacked, before " + before);
  }

  /** Below the room of the pool the order is that of latest start, as without the rule. */
  @Test
  void loadWithoutOverloadIsServedAsBefore() {
    ImmutableList<ReplayedJob> before = replay(0.7, LATEST_START);
    ImmutableList<ReplayedJob> now = replay(0.7, WEIGHTED_MOORE_HODGSON);
    for (int i = 0; i < now.size(); i++) {
      assertEquals(before.get(i).finishedMillis, now.get(i).finishedMillis, now.get(i).id);
    }
  }
}
