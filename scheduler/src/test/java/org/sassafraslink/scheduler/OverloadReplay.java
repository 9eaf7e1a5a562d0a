package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.scheduler.queue.PoolLoad;
import org.sassafraslink.scheduler.queue.SizeClass;
import org.sassafraslink.scheduler.queue.WaitingJob;

/**
 * Replays a recorded load on a pool, without workers or a network: two queues of 6 and 13 cores a
 * task, 20 teams of skewed size, one of them with seven times its usual.
 */
final class OverloadReplay {
  static final int TEAMS = 20;
  static final String HOT_TEAM = "team4";
  private static final double POOL_CORES = 2_816;
  private static final double USABLE_FRACTION = 0.85;
  private static final double SLACK_FACTOR = 1.6;
  private static final double TARGET_LATENCY_MILLIS = 600;
  private static final int PERIOD_MILLIS = 10;
  private static final double ESTIMATE_SPREAD = 0.2;
  private static final int HOT_FACTOR = 7;

  /** Orders the waiting jobs that can be in time; the first is placed first. */
  @FunctionalInterface
  interface Order {
    List<WaitingJob> of(PoolLoad load, ToDoubleFunction<WaitingJob> deadline, long nowMillis);
  }

  /** A job of the recorded load. */
  static final class ReplayedJob {
    final String id;
    final QueueConfig queue;
    final String team;
    final long acceptedMillis;
    final int width;
    final double cores;
    final double[] stepMillis;
    final double estimateFactor;
    SizeClass size;
    private int step;
    private int waitingTasks;
    private int runningTasks;
    private boolean started;
    double finishedMillis = Double.POSITIVE_INFINITY;

    private ReplayedJob(String id, QueueConfig queue, String team, long accepted, Random random) {
      boolean wide = queue.priority() > 0;
      this.id = id;
      this.queue = queue;
      this.team = team;
      this.acceptedMillis = accepted;
      this.width = (int) Math.min(32, Math.max(1, Math.round(spread(random, 8, 0.6))));
      this.cores = Math.min(wide ? 40 : 19, spread(random, wide ? 13 : 6.2, 0.45));
      this.stepMillis = new double[1 + (random.nextDouble() < 0.6 ? 1 : 0)];
      for (int i = 0; i < stepMillis.length; i++) {
        stepMillis[i] = Math.min(3_300, spread(random, wide ? 1_300 : 1_000, 0.5));
      }
      this.estimateFactor = spread(random, 1, ESTIMATE_SPREAD);
      this.waitingTasks = width;
    }

    private static double spread(Random random, double mean, double sigma) {
      return mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }

    private double chainMillis(int fromStep) {
      double sum = 0;
      for (int i = fromStep; i < stepMillis.length; i++) {
        sum += stepMillis[i];
      }
      return sum;
    }

    double coreMillis() {
      return width * cores * chainMillis(0);
    }

    private double objectiveMillis() {
      return acceptedMillis + SLACK_FACTOR * chainMillis(0) + TARGET_LATENCY_MILLIS;
    }

    boolean inTime() {
      return finishedMillis <= objectiveMillis();
    }

    private double latestStartMillis() {
      return acceptedMillis
          + TARGET_LATENCY_MILLIS
          + estimateFactor * (SLACK_FACTOR * chainMillis(0) - chainMillis(step));
    }

    private double deadlineMillis() {
      return latestStartMillis() + estimateFactor * chainMillis(step);
    }

    private WaitingJob snapshot() {
      double remaining =
          cores
              * estimateFactor
              * (waitingTasks * stepMillis[step] + width * chainMillis(step + 1));
      return new WaitingJob(
          id,
          queue.name(),
          team,
          queue.priority(),
          size,
          acceptedMillis,
          latestStartMillis(),
          remaining / (POOL_CORES * USABLE_FRACTION),
          started);
    }
  }

  private record RunningTask(ReplayedJob job, double endMillis) {}

  private final Order order;
  private final JobSizes sizes = new JobSizes();
  private final RecentStarts recentStarts = new RecentStarts();
  private final List<RunningTask> running = new ArrayList<>();
  private double freeCores = POOL_CORES;

  private OverloadReplay(Order order) {
    this.order = order;
  }

  /** Returns a load of {@code factor} times the room of the pool for {@code durationMillis}. */
  static ImmutableList<ReplayedJob> record(long seed, double factor, int durationMillis) {
    Random random = new Random(seed);
    ImmutableList<QueueConfig> queues = ImmutableList.of(queue("live", 0), queue("detour", 1));
    double[] cumulated = new double[TEAMS];
    double sum = 0;
    for (int team = 0; team < TEAMS; team++) {
      String name = "team" + team;
      sum += weight(name) * (name.equals(HOT_TEAM) ? HOT_FACTOR : 1);
      cumulated[team] = sum;
    }
    ImmutableList.Builder<ReplayedJob> jobs = ImmutableList.builder();
    double dueCoreMillis = 0;
    for (int millis = 0, number = 0; millis < durationMillis; millis += PERIOD_MILLIS) {
      dueCoreMillis += factor * POOL_CORES * PERIOD_MILLIS;
      while (dueCoreMillis > 0) {
        double point = random.nextDouble() * sum;
        int team = 0;
        while (cumulated[team] < point) {
          team++;
        }
        QueueConfig queue = queues.get(random.nextInt(4) == 0 ? 1 : 0);
        ReplayedJob job = new ReplayedJob("job" + number++, queue, "team" + team, millis, random);
        dueCoreMillis -= job.coreMillis();
        jobs.add(job);
      }
    }
    return jobs.build();
  }

  /** Returns the weight of a team: that of team n is about 40 / (n + 1). */
  static double weight(String team) {
    return Math.max(2, 40 / (1 + Integer.parseInt(team.substring("team".length()))));
  }

  private static QueueConfig queue(String name, int priority) {
    return new QueueConfig(
        name, "h", "/", "pool", false, priority, 3, SLACK_FACTOR, 600, Optional.empty());
  }

  /** Replays jobs until all have ended. */
  static void run(ImmutableList<ReplayedJob> jobs, Order order) {
    new OverloadReplay(order).replay(jobs);
  }

  private void replay(ImmutableList<ReplayedJob> jobs) {
    List<ReplayedJob> live = new ArrayList<>();
    int arrived = 0;
    for (long now = 0; arrived < jobs.size() || !live.isEmpty(); now += PERIOD_MILLIS) {
      while (arrived < jobs.size() && jobs.get(arrived).acceptedMillis <= now) {
        ReplayedJob job = jobs.get(arrived++);
        job.size = sizes.classify(job.queue.name(), job.coreMillis() * job.estimateFactor);
        recentStarts.recordArrival(job.queue, job.size, now);
        live.add(job);
      }
      endTasks(now);
      live.removeIf(job -> job.finishedMillis < Double.POSITIVE_INFINITY);
      place(live, now);
    }
  }

  private void endTasks(long now) {
    Predicate<RunningTask> hasEnded = task -> task.endMillis() <= now;
    for (RunningTask task : running.stream().filter(hasEnded).toList()) {
      ReplayedJob job = task.job();
      freeCores += job.cores;
      job.runningTasks--;
      if (job.runningTasks == 0 && job.waitingTasks == 0) {
        job.step++;
        if (job.step == job.stepMillis.length) {
          job.finishedMillis = now;
        } else {
          job.waitingTasks = job.width;
        }
      }
    }
    running.removeIf(hasEnded);
  }

  private void place(List<ReplayedJob> live, long now) {
    Map<String, ReplayedJob> byId = new HashMap<>();
    ImmutableList.Builder<WaitingJob> inTime = ImmutableList.builder();
    List<ReplayedJob> late = new ArrayList<>();
    live.sort(Comparator.comparingDouble(ReplayedJob::latestStartMillis));
    for (ReplayedJob job : live) {
      if (job.waitingTasks > 0) {
        if (job.latestStartMillis() >= now) {
          byId.put(job.id, job);
          inTime.add(job.snapshot());
        } else {
          late.add(job);
        }
      }
    }
    Map<String, Double> runningByTeam = new HashMap<>();
    for (RunningTask task : running) {
      double remaining = (task.endMillis() - now) * task.job().cores;
      runningByTeam.merge(task.job().team, remaining / (POOL_CORES * USABLE_FRACTION), Double::sum);
    }
    ImmutableMap.Builder<String, Double> weights = ImmutableMap.builder();
    for (int team = 0; team < TEAMS; team++) {
      weights.put("team" + team, weight("team" + team));
    }
    PoolLoad load =
        new PoolLoad(
            inTime.build(),
            ImmutableMap.copyOf(runningByTeam),
            weights.buildOrThrow(),
            recentStarts.levels("pool", now));
    order
        .of(load, job -> byId.get(job.id()).deadlineMillis(), now)
        .forEach(job -> start(byId.get(job.id()), now, true));
    late.forEach(job -> start(job, now, false));
  }

  private void start(ReplayedJob job, long now, boolean inTime) {
    boolean isFirst = !job.started;
    while (job.waitingTasks > 0 && freeCores >= job.cores) {
      freeCores -= job.cores;
      job.waitingTasks--;
      job.runningTasks++;
      job.started = true;
      running.add(new RunningTask(job, now + job.stepMillis[job.step]));
    }
    if (isFirst && job.started && inTime) {
      recentStarts.recordStart(job.queue, job.size, now);
    }
  }
}
