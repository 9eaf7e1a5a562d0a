package org.sassafraslink.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.PoolConfig;
import org.sassafraslink.api.fleet.FleetSettings.RequestLimits;
import org.sassafraslink.api.fleet.FleetSettings.TeamConfig;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.RowStore.Put;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.StepSpec;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.LeaseHolderWatch;
import org.sassafraslink.scheduler.RowFormats;
import org.sassafraslink.scheduler.Scheduler;
import org.sassafraslink.scheduler.SchedulerSettings;

/**
 * Measures the processor time of the scheduler's thread at several sizes of the fleet, with demand
 * in proportion to the size.
 *
 * <p>The scheduler is the real one; the store, the VMs and the workers are simulated on one clock.
 * Its passes are 1 ms of simulated time apart while callbacks arrive. A result of 1,000 ms for a
 * simulated second means that one core is fully used.
 */
public final class SchedulerLoadMeasurements {
  private static final double VM_COMMANDS_PER_SECOND = 1_000;

  private static final String STANDBY_POOL = "pool-4";
  private static final int SERVING_POOLS = 4;

  /**
   * Number of tasks that arrive in a second, per worker, unless the system property {@code
   * tasksPerWorkerSecond} is set. A worker can run 3.75.
   */
  private static final String DEFAULT_TASKS_PER_WORKER_SECOND = "2";

  private static final int TASKS_PER_STEP = 8;

  /** The other jobs have one step. */
  private static final double FRACTION_WITH_TWO_STEPS = 0.6;

  /** How long one pool has twice the demand of each other, before the next one has, in ms. */
  private static final long TURN_MILLIS = 4_000;

  /** The scheduler runs due work at least this often, as in an entry VM, in ms. */
  private static final long MAX_PASS_INTERVAL_MILLIS = 20;

  private static final long START_MILLIS = 4_000;
  private static final long MEASURED_MILLIS = 8_000;

  /** A size is measured for a shorter simulated time if it uses this much processor time. */
  private static final long MAX_PROCESSOR_NANOS = 40_000_000_000L;

  private static final double NANOS_PER_MICRO = 1_000;
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final SimulatedClock clock = new SimulatedClock();
  private final ProcessorMeter passMeter = new ProcessorMeter();
  private final ProcessorMeter callbackMeter = new ProcessorMeter();
  private final SimulatedStore store = new SimulatedStore(clock, callbackMeter);
  private final SimulatedWorkers workers =
      new SimulatedWorkers(clock, store, callbackMeter, STANDBY_POOL);
  private final Map<String, JobSpec> submittedJobs = new HashMap<>();
  private final Random random = new Random(1);
  private final double tasksPerWorkerSecond =
      Double.parseDouble(
          System.getProperty("tasksPerWorkerSecond", DEFAULT_TASKS_PER_WORKER_SECOND));
  private final int workerCount;
  private final Scheduler scheduler;
  private double arrivedTasks;
  private long millisSinceLastPass;
  private long emptyWorkerMillis;
  private long runningWorkerMillis;
  private long endedTasks;

  private SchedulerLoadMeasurements(int workerCount) {
    this.workerCount = workerCount;
    for (int i = 0; i < workerCount; i++) {
      workers.add("vm-" + i, "pool-" + i % SERVING_POOLS);
    }
    scheduler =
        Scheduler.create(
            store,
            workers,
            workers,
            Optional.empty(),
            clock,
            EventLog.silent(),
            new Formats(),
            new SchedulerSettings(
                /* node= */ "entry-1",
                /* process= */ "process-1",
                /* peerAddress= */ "entry-1:1",
                /* takeoverDelayMillis= */ 0,
                /* leaseMillis= */ 5_400,
                /* maxLeaseMillis= */ 5_400,
                /* maxStopMillis= */ 400,
                /* maxCancellationMillis= */ 3_000,
                /* handoverPauseMillis= */ 3_000,
                /* finalStateRetentionMillis= */ 120_000,
                /* maintenanceMillis= */ 2_000,
                /* moveMillis= */ SimulatedWorkers.MOVE_MILLIS,
                /* vmCommandsPerSecond= */ VM_COMMANDS_PER_SECOND,
                /* unavailabilityThresholdMillis= */ 4_500,
                /* maxBackfillImpactMillis= */ 4_000,
                /* maxEvacuationDelayMillis= */ Optional.empty()),
            new NoWatch());
    scheduler.onConfig(settings());
    scheduler.onEvacuations(new Evacuations(ImmutableSet.of(), /* verifiedAtMillis= */ 0));
  }

  /**
   * Prints, as CSV, the processor time by the number of workers.
   *
   * @param args the numbers of workers; if empty, the usual ones are used
   */
  public static void main(String[] args) {
    // The first runs only warm up the JIT compiler.
    new SchedulerLoadMeasurements(100).measure();
    new SchedulerLoadMeasurements(300).measure();
    System.out.println(
        "workers,simulated s,running workers,empty workers,passes,tasks,"
            + "us a pass,longest pass ms,us a task,ms of passes a s,ms of callbacks a s");
    for (int workerCount : workerCounts(args)) {
      SchedulerLoadMeasurements measurements = new SchedulerLoadMeasurements(workerCount);
      measurements.print(measurements.measure());
    }
  }

  private static int[] workerCounts(String[] args) {
    return args.length == 0
        ? new int[] {30, 100, 300, 1_000, 1_800}
        : Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
  }

  /** Runs the fleet, and returns for how many simulated ms it was measured. */
  private long measure() {
    while (!scheduler.isScheduling()) {
      advanceOneMilli();
    }
    for (int i = 0; i < START_MILLIS && !isOverLimit(); i++) {
      submitDueJobs();
      advanceOneMilli();
    }
    passMeter.reset();
    callbackMeter.reset();
    long tasksBefore = workers.endedTasks();
    long measuredMillis = 0;
    while (measuredMillis < MEASURED_MILLIS && !isOverLimit()) {
      submitDueJobs();
      advanceOneMilli();
      emptyWorkerMillis += workers.emptyWorkers();
      runningWorkerMillis += workers.runningWorkers();
      measuredMillis++;
    }
    endedTasks = workers.endedTasks() - tasksBefore;
    return measuredMillis;
  }

  private boolean isOverLimit() {
    return passMeter.totalNanos() + callbackMeter.totalNanos() > MAX_PROCESSOR_NANOS;
  }

  private void advanceOneMilli() {
    boolean anyDue = clock.tick();
    millisSinceLastPass++;
    if (anyDue || millisSinceLastPass >= MAX_PASS_INTERVAL_MILLIS) {
      millisSinceLastPass = 0;
      passMeter.run(scheduler::runDueWork);
    }
  }

  private void submitDueJobs() {
    arrivedTasks += workerCount * tasksPerWorkerSecond / 1_000;
    while (arrivedTasks > 0) {
      int turn = (int) (clock.wallMillis() / TURN_MILLIS % SERVING_POOLS);
      // One of five equal parts of the demand is added to the pool whose turn it is.
      int pool = random.nextInt(SERVING_POOLS + 1);
      boolean hasTwoSteps = random.nextDouble() < FRACTION_WITH_TWO_STEPS;
      submit("pool-" + (pool == SERVING_POOLS ? turn : pool), hasTwoSteps);
      arrivedTasks -= hasTwoSteps ? 2 * TASKS_PER_STEP : TASKS_PER_STEP;
    }
  }

  private void submit(String pool, boolean hasTwoSteps) {
    String id = "job-" + submittedJobs.size();
    ImmutableList.Builder<StepSpec> steps = ImmutableList.builder();
    steps.add(step(ImmutableList.of()));
    if (hasTwoSteps) {
      steps.add(step(ImmutableList.of(0)));
    }
    submittedJobs.put(
        id,
        new JobSpec(
            id,
            pool,
            pool,
            "team",
            "payload",
            steps.build(),
            0,
            0,
            0,
            clock.wallMillis(),
            Optional.empty()));
    store.put(JobRows.key(id, Kind.SUBMISSION), id);
  }

  private static StepSpec step(ImmutableList<Integer> after) {
    return new StepSpec(
        TASKS_PER_STEP,
        new Resources(2_000, 1_000, 0),
        /* estimatedMillis= */ SimulatedWorkers.TASK_MILLIS,
        after,
        /* gang= */ false,
        /* rackLocal= */ false,
        /* requiredLabel= */ "",
        /* dataRack= */ "",
        /* maxPerWorker= */ 0,
        /* speculative= */ false,
        /* checkpointing= */ false,
        /* longRunning= */ false,
        /* image= */ "image",
        /* latencyTargetMillis= */ 0,
        /* backfill= */ false,
        /* maxUnavailable= */ 0);
  }

  private static FleetSettings settings() {
    ImmutableMap.Builder<String, QueueConfig> queues = ImmutableMap.builder();
    ImmutableMap.Builder<String, PoolConfig> pools = ImmutableMap.builder();
    for (int i = 0; i < SERVING_POOLS; i++) {
      String name = "pool-" + i;
      pools.put(name, new PoolConfig(name, /* enforcesCapacity= */ true, /* standby= */ false));
      queues.put(
          name,
          new QueueConfig(
              name,
              "host",
              "/" + name + "/",
              name,
              /* open= */ false,
              /* priority= */ 0,
              /* maxFailures= */ 3,
              /* slackFactor= */ 2,
              /* targetLatencyMillis= */ 1_500,
              /* advice= */ Optional.empty()));
    }
    pools.put(
        STANDBY_POOL,
        new PoolConfig(STANDBY_POOL, /* enforcesCapacity= */ true, /* standby= */ true));
    return new FleetSettings(
        /* version= */ 1,
        queues.buildOrThrow(),
        pools.buildOrThrow(),
        ImmutableMap.of(
            "team",
            new TeamConfig("team", ImmutableList.of("key"), /* weight= */ 0, Resources.NONE)),
        new RequestLimits(8_192, 65_536, 3_000, 15_000));
  }

  private void print(long measuredMillis) {
    double seconds = measuredMillis / 1_000.0;
    System.out.printf(
        Locale.ROOT,
        "%d,%.1f,%d,%d,%d,%d,%.0f,%.1f,%.0f,%.0f,%.0f%n",
        workerCount,
        seconds,
        runningWorkerMillis / Math.max(1, measuredMillis),
        emptyWorkerMillis / Math.max(1, measuredMillis),
        passMeter.runs(),
        endedTasks,
        passMeter.totalNanos() / NANOS_PER_MICRO / Math.max(1, passMeter.runs()),
        passMeter.longestNanos() / NANOS_PER_MILLI,
        (passMeter.totalNanos() + callbackMeter.totalNanos())
            / NANOS_PER_MICRO
            / Math.max(1, endedTasks),
        passMeter.totalNanos() / NANOS_PER_MILLI / seconds,
        callbackMeter.totalNanos() / NANOS_PER_MILLI / seconds);
  }

  /** Row formats in which the value of a submission is the id of its job. */
  private final class Formats implements RowFormats {
    @Override
    public String workerTable() {
      return SimulatedWorkers.TABLE;
    }

    @Override
    public Optional<WorkerEntry> decodeWorker(StoredRow row) {
      return workers.findEntry(row);
    }

    @Override
    public Either<Failure, JobSpec> decodeJob(String id, String rowValue) {
      return Either.right(submittedJobs.get(rowValue));
    }

    @Override
    public boolean hasDecisionPartition(String rowValue) {
      return true;
    }

    @Override
    public Put encodeWaveStatus(long wave, boolean completed) {
      return new Put(new RowKey("status", "", "wave/" + wave), Boolean.toString(completed));
    }
  }

  /** Watches no other scheduler, since there is none. */
  private static final class NoWatch implements LeaseHolderWatch {
    @Override
    public void watch(String address, Runnable onGone) {}

    @Override
    public OptionalLong lastHeartbeatMillis() {
      return OptionalLong.empty();
    }

    @Override
    public void setHolding(boolean isHolding) {}

    @Override
    public void announceRelease() {}
  }
}
