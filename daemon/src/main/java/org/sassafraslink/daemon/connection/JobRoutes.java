package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableList;
import io.jooby.Context;
import io.jooby.Jooby;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig.JobQueue;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.api.platform.WorkerControl;
import org.sassafraslink.api.platform.WorkerControl.Resources;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.process.Job;
import org.sassafraslink.rules.process.JobPlacement;
import org.sassafraslink.rules.request.KeyCheck;

/**
 * Serves {@code /jobs}, where teams submit, list, read and cancel their jobs. Each request must
 * contain a team's key.
 *
 * <p>The handlers run on threads of an executor, because they block on the store.
 */
public final class JobRoutes {
  /** The largest number of cores, and of accelerators, that a job may require. */
  private static final int MAX_CORES_OR_ACCELERATORS = 1_024;

  private static final int MAX_MEMORY_MB = 16 * 1_024 * 1_024;

  /**
   * Maximum number of attempts to cancel a job. An attempt fails if another process has changed the
   * job's row or the store does not answer.
   */
  private static final int MAX_CANCEL_ATTEMPTS = 5;

  /**
   * The body of a request that submits a job.
   *
   * @param runMillis the run time that the team declares, in ms
   * @param rerunnable whether the job may be started again when its outcome is unknown
   * @param id chosen by the team, so that a repeated submission does not create a second job
   */
  public record Submission(
      String queue,
      int cores,
      int memoryMb,
      int accelerators,
      long runMillis,
      boolean rerunnable,
      Optional<String> id) {}

  private final TableService table;
  private final WorkerControl workerControl;
  private final Supplier<Optional<ActiveConfig>> activeConfig;
  private final LongSupplier wallClock;
  private final ExecutorService handlerExecutor;

  private JobRoutes(
      TableService table,
      WorkerControl workerControl,
      Supplier<Optional<ActiveConfig>> activeConfig,
      LongSupplier wallClock,
      ExecutorService handlerExecutor) {
    this.table = table;
    this.workerControl = workerControl;
    this.activeConfig = activeConfig;
    this.wallClock = wallClock;
    this.handlerExecutor = handlerExecutor;
  }

  /**
   * Creates the routes.
   *
   * @param activeConfig returns the configuration to apply; empty if it was not verified within the
   *     lease
   * @param wallClock returns the wall-clock time, in ms since the epoch
   * @param handlerExecutor runs the handlers, which may block
   */
  public static JobRoutes create(
      TableService table,
      WorkerControl workerControl,
      Supplier<Optional<ActiveConfig>> activeConfig,
      LongSupplier wallClock,
      ExecutorService handlerExecutor) {
    return new JobRoutes(table, workerControl, activeConfig, wallClock, handlerExecutor);
  }

  /** Handles a request of an authenticated team and returns the value to send as JSON. */
  @FunctionalInterface
  private interface TeamRequestHandler {
    Either<Failure, ?> handle(Context ctx, ActiveConfig active, String team);
  }

  /** Registers the routes with {@code app}. */
  public void addRoutes(Jooby app) {
    app.post("/jobs", ctx -> handle(ctx, this::submitJob));
    app.get("/jobs", ctx -> handle(ctx, this::listJobs));
    app.get("/jobs/{id}", ctx -> handle(ctx, this::readJob));
    app.delete("/jobs/{id}", ctx -> handle(ctx, this::cancelJob));
  }

  /** Authenticates the team of a request, calls {@code handler} and sends what it returns. */
  private Object handle(Context ctx, TeamRequestHandler handler) {
    return ctx.dispatch(
        handlerExecutor,
        () -> {
          Either<Failure, ?> result =
              authenticate(ctx)
                  .flatMap(
                      authenticated ->
                          handler
                              .handle(ctx, authenticated.active(), authenticated.team())
                              .map(Object.class::cast));
          if (result.isLeft()) {
            HttpServers.sendFailure(ctx, result.getLeft());
          } else {
            HttpServers.sendJson(ctx, result.get());
          }
        });
  }

  /** The team of a request, with the configuration in which its key was found. */
  private record AuthenticatedTeam(ActiveConfig active, String team) {}

  /** Returns the team whose key is in the request. */
  private Either<Failure, AuthenticatedTeam> authenticate(Context ctx) {
    Optional<ActiveConfig> active = activeConfig.get();
    if (active.isEmpty()) {
      return failure(
          FailureType.CONFIGURATION_STALE,
          "This daemon cannot verify that its configuration is the newest.");
    }
    return KeyCheck.identifyTeam(
            active.get().config(), ctx.header(CallAdmission.TEAM_KEY_HEADER).toOptional(), false)
        .map(team -> new AuthenticatedTeam(active.get(), team.orElseThrow()));
  }

  private Either<Failure, Job> submitJob(Context ctx, ActiveConfig active, String team) {
    Either<Failure, Submission> parsed = Json.read(ctx.body().value(""), Submission.class);
    return parsed.flatMap(submission -> submitJob(submission, active, team));
  }

  private Either<Failure, Job> submitJob(Submission submission, ActiveConfig active, String team) {
    JobQueue queue = active.config().jobQueues().get(submission.queue());
    if (queue == null) {
      return failure(FailureType.SERVICE_UNKNOWN, "There is no job queue with this name.");
    }
    Resources resources =
        new Resources(submission.cores(), submission.memoryMb(), submission.accelerators());
    if (!isInRange(resources) || submission.runMillis() < 1) {
      return failure(
          FailureType.REQUEST_MALFORMED, "The job's resources or its run time are out of range.");
    }
    String id = team + "." + submission.id().orElseGet(() -> UUID.randomUUID().toString());
    if (!id.matches("[A-Za-z0-9._-]{1,160}")) {
      return failure(
          FailureType.REQUEST_MALFORMED,
          "A job id, with the team's name and a dot before it, must be 1 to 160 letters, "
              + "digits, '.', '_' or '-'.");
    }
    Either<PlatformFailure, ImmutableList<WorkerControl.Worker>> listedWorkers =
        workerControl.listWorkers();
    if (listedWorkers.isRight() && JobPlacement.isNeverRunnable(listedWorkers.get(), resources)) {
      return failure(FailureType.JOB_NEVER_RUNNABLE, "No worker is large enough for this job.");
    }
    return insertJob(
        Job.submit(
            id,
            team,
            queue.name(),
            queue.workClass(),
            resources,
            submission.runMillis(),
            submission.rerunnable(),
            wallClock.getAsLong()));
  }

  /**
   * Writes the row of a new job. If a row with the job's id exists already, returns the job in that
   * row.
   */
  private Either<Failure, Job> insertJob(Job job) {
    String key = Job.key(job.id());
    Either<PlatformFailure, Long> commitResult =
        table.commit(Transaction.compareAndSet(key, Row.ABSENT, Json.write(job)));
    if (commitResult.isRight()) {
      return Either.right(job);
    }
    if (commitResult.getLeft() instanceof PlatformFailure.Unavailable) {
      return failure(
          FailureType.STORE_UNAVAILABLE, "The store does not answer; the job was not accepted.");
    }
    // Either an earlier submission has written a row with this id, or it is unknown whether this
    // one
    // has; a read shows whether there is a row.
    return findJob(job.id())
        .flatMap(
            stored ->
                stored.isPresent()
                    ? Either.right(stored.get().job())
                    : failure(
                        FailureType.STORE_OUTCOME_UNKNOWN,
                        "The store did not confirm whether job " + job.id() + " was accepted."));
  }

  private Either<Failure, ImmutableList<Job>> listJobs(
      Context ctx, ActiveConfig active, String team) {
    return table
        .scan(Job.key(team + "."))
        .mapLeft(failure -> storeUnavailable())
        .map(
            rows ->
                rows.stream()
                    .map(row -> Json.readTrusted(row.value(), Job.class))
                    .collect(ImmutableList.toImmutableList()));
  }

  private Either<Failure, Job> readJob(Context ctx, ActiveConfig active, String team) {
    return findJobOfTeam(ctx, team).map(StoredJob::job);
  }

  private Either<Failure, Job> cancelJob(Context ctx, ActiveConfig active, String team) {
    for (int i = 0; i < MAX_CANCEL_ATTEMPTS; i++) {
      Either<Failure, StoredJob> storedJob = findJobOfTeam(ctx, team);
      if (storedJob.isLeft()) {
        return Either.left(storedJob.getLeft());
      }
      Job cancelledJob = storedJob.get().job().cancel();
      Transaction transaction =
          Transaction.compareAndSet(
              Job.key(cancelledJob.id()), storedJob.get().rowVersion(), Json.write(cancelledJob));
      // If the answer to a commit was lost, the next attempt reads the row again and finds the job
      // cancelled.
      if (cancelledJob.equals(storedJob.get().job()) || table.commit(transaction).isRight()) {
        return Either.right(cancelledJob);
      }
    }
    return Either.left(storeUnavailable());
  }

  /** A job with the version of its row. */
  private record StoredJob(Job job, long rowVersion) {}

  /**
   * Returns the job whose id is in the path of the request, or {@link FailureType#JOB_UNKNOWN} if
   * it does not exist or belongs to another team.
   */
  private Either<Failure, StoredJob> findJobOfTeam(Context ctx, String team) {
    String id = ctx.path("id").value();
    return findJob(id)
        .flatMap(
            found ->
                found
                    .filter(row -> row.job().team().equals(team))
                    .<Either<Failure, StoredJob>>map(Either::right)
                    .orElseGet(
                        () ->
                            failure(FailureType.JOB_UNKNOWN, "The team has no job with this id.")));
  }

  private Either<Failure, Optional<StoredJob>> findJob(String id) {
    return table
        .read(Job.key(id))
        .mapLeft(failure -> storeUnavailable())
        .map(
            row ->
                row.map(
                    jobRow ->
                        new StoredJob(
                            Json.readTrusted(jobRow.value(), Job.class), jobRow.version())));
  }

  private static boolean isInRange(Resources resources) {
    return resources.cores() >= 1
        && resources.cores() <= MAX_CORES_OR_ACCELERATORS
        && resources.memoryMb() >= 1
        && resources.memoryMb() <= MAX_MEMORY_MB
        && resources.accelerators() >= 0
        && resources.accelerators() <= MAX_CORES_OR_ACCELERATORS;
  }

  private static Failure storeUnavailable() {
    return Failure.of(FailureType.STORE_UNAVAILABLE, "The store does not answer.");
  }

  private static <T> Either<Failure, T> failure(FailureType type, String detail) {
    return Either.left(Failure.of(type, detail));
  }
}
