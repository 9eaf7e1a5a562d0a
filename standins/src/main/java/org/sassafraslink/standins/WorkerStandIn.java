package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import io.jooby.Context;
import io.jooby.Jooby;
import java.util.LinkedHashMap;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.platform.WorkerControl.Resources;
import org.sassafraslink.api.platform.WorkerControl.Start;
import org.sassafraslink.api.platform.WorkerControl.Task;
import org.sassafraslink.api.platform.WorkerControl.TaskState;
import org.sassafraslink.api.platform.WorkerControl.Worker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Simulates all workers in one process.
 *
 * <p>A task does no work: it is done when its run time has passed, and stopped if its lease expires
 * before that.
 */
public final class WorkerStandIn {
  private static final Logger LOG = LoggerFactory.getLogger("worker-stand-in");
  private static final int WORKERS_PER_RACK = 4;
  private static final int HANDLER_THREADS = 8;

  /**
   * A task that was started on a worker. Times are in milliseconds since the epoch.
   *
   * @param recordedState the state when the task was last started, renewed or stopped
   */
  private record TaskRun(
      Start start, long startedMillis, long leaseExpiryMillis, TaskState recordedState) {
    /** Returns the state at {@code nowMillis}, computed from the run time and the lease. */
    TaskState stateAt(long nowMillis) {
      if (recordedState != TaskState.RUNNING) {
        return recordedState;
      }
      long doneMillis = startedMillis + start.runMillis();
      if (Math.min(doneMillis, leaseExpiryMillis) > nowMillis) {
        return TaskState.RUNNING;
      }
      return doneMillis <= leaseExpiryMillis ? TaskState.DONE : TaskState.STOPPED;
    }

    Task toTask(long nowMillis) {
      return new Task(
          start.job(), start.epoch(), start.worker(), stateAt(nowMillis), start.need().memoryMb());
    }
  }

  private final ImmutableList<Worker> workers;
  private final Map<String, TaskRun> runsByJob = new LinkedHashMap<>();

  private WorkerStandIn(ImmutableList<Worker> workers) {
    this.workers = workers;
  }

  /** Creates {@code --workers} workers and starts the HTTP server. */
  public static void main(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> portOption =
        parser.accepts("port").withRequiredArg().ofType(Integer.class).defaultsTo(9600);
    OptionSpec<Integer> workersOption =
        parser.accepts("workers").withRequiredArg().ofType(Integer.class).defaultsTo(35);
    OptionSpec<Integer> memoryOption =
        parser.accepts("memory-mb").withRequiredArg().ofType(Integer.class).defaultsTo(65536);
    OptionSpec<String> zonesOption =
        parser
            .accepts("zones")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .defaultsTo("udhna", "athwa", "varachha");
    OptionSet options = parser.parse(args);
    WorkerStandIn standIn =
        new WorkerStandIn(
            createWorkers(
                options.valueOf(workersOption),
                options.valueOf(memoryOption),
                ImmutableList.copyOf(options.valuesOf(zonesOption))));
    HttpServers.start(
        "127.0.0.1", options.valueOf(portOption), HANDLER_THREADS, standIn::addRoutes);
    LOG.info("Worker stand-in simulates {} workers.", options.valueOf(workersOption));
  }

  /**
   * Creates workers in racks of {@value #WORKERS_PER_RACK}; the racks are assigned to the zones in
   * turn.
   */
  private static ImmutableList<Worker> createWorkers(
      int count, int memoryMb, ImmutableList<String> zones) {
    ImmutableList.Builder<Worker> workers = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      int rack = i / WORKERS_PER_RACK;
      workers.add(
          new Worker(
              "worker-" + i,
              zones.get(rack % zones.size()),
              "rack-" + rack,
              new Resources(16, memoryMb, 0)));
    }
    return workers.build();
  }

  private void addRoutes(Jooby app) {
    app.get("/workers", ctx -> Json.write(workers));
    app.get("/tasks", ctx -> Json.write(listTasks(System.currentTimeMillis())));
    app.post(
        "/tasks",
        ctx ->
            Json.write(
                startOrRenew(
                    Json.readTrusted(ctx.body().value(), Start.class),
                    System.currentTimeMillis())));
    app.post("/tasks/{job}/stop", ctx -> Json.write(stopTask(ctx, System.currentTimeMillis())));
  }

  private synchronized ImmutableList<Task> listTasks(long nowMillis) {
    return runsByJob.values().stream()
        .map(run -> run.toTask(nowMillis))
        .collect(ImmutableList.toImmutableList());
  }

  /** Starts the task, or renews its lease if it was started under this epoch or a later one. */
  private synchronized Task startOrRenew(Start start, long nowMillis) {
    TaskRun run = runsByJob.get(start.job());
    long leaseExpiryMillis = nowMillis + start.leaseMillis();
    boolean isRenewal = run != null && run.start().epoch() >= start.epoch();
    if (isRenewal) {
      TaskState state = run.stateAt(nowMillis);
      run = new TaskRun(run.start(), run.startedMillis(), leaseExpiryMillis, state);
    } else {
      run = new TaskRun(start, nowMillis, leaseExpiryMillis, TaskState.RUNNING);
    }
    runsByJob.put(start.job(), run);
    return run.toTask(nowMillis);
  }

  /** Stops the task if it is running. An unknown task is reported as stopped. */
  private synchronized Task stopTask(Context ctx, long nowMillis) {
    String job = ctx.path("job").value();
    TaskRun run = runsByJob.get(job);
    if (run == null) {
      return new Task(job, ctx.query("epoch").longValue(), "", TaskState.STOPPED, 0);
    }
    TaskState state = run.stateAt(nowMillis);
    TaskRun stopped =
        new TaskRun(
            run.start(),
            run.startedMillis(),
            run.leaseExpiryMillis(),
            state == TaskState.RUNNING ? TaskState.STOPPED : state);
    runsByJob.put(job, stopped);
    return stopped.toTask(nowMillis);
  }
}
