package org.sassafraslink.daemon.connection;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Route;
import io.jooby.netty.NettyServer;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.AuditEntry;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.daemon.process.Explainer;
import org.sassafraslink.daemon.process.Metrics;
import org.sassafraslink.daemon.process.StatusReader;
import org.sassafraslink.daemon.version.ConfigTracker;
import org.sassafraslink.daemon.version.Publisher;
import org.sassafraslink.daemon.version.Publisher.Proposal;
import org.sassafraslink.rules.process.Job;

/**
 * Serves a daemon's administration port.
 *
 * <p>The paths below {@code /v1} form the administration API: they publish and return the
 * configuration, return audit entries, jobs and the status, and explain decisions. They require an
 * operator's key. The pages for health, readiness and metrics require no key. The paths of {@link
 * JobRoutes} require a team's key.
 */
public final class AdminServer {
  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 4;
  private static final int MAX_REQUEST_BYTES = 16 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;
  private static final String BEARER_PREFIX = "Bearer ";
  private static final String OPERATOR_ATTRIBUTE = "operator";

  /**
   * The body of a request that publishes a configuration.
   *
   * @param base the version that the operator has read and changed
   */
  public record PublishRequest(long base, FleetConfig config) {}

  /**
   * The accepted configuration, as returned to an operator.
   *
   * @param version 0 if no configuration has been accepted yet
   * @param digest digest of the configuration's content; empty if none has been accepted yet
   */
  public record ConfigAnswer(long version, String digest, FleetConfig config) {}

  /**
   * The objects that handle the requests.
   *
   * @param operatorKeyDigests the digest of each operator's key, by operator name
   * @param ready returns whether the daemon is registered, has verified its configuration and is
   *     not stopping
   */
  public record Dependencies(
      ImmutableMap<String, String> operatorKeyDigests,
      TableService table,
      ConfigTracker configTracker,
      Publisher publisher,
      StatusReader statusReader,
      Explainer explainer,
      Metrics metrics,
      JobRoutes jobRoutes,
      Supplier<Boolean> ready) {}

  private final Dependencies dependencies;
  private NettyServer server;

  private AdminServer(Dependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Starts a server that listens on {@code host} and {@code port}. */
  public static AdminServer start(Dependencies dependencies, String host, int port) {
    AdminServer adminServer = new AdminServer(dependencies);
    adminServer.server =
        HttpServers.start(
            host,
            port,
            ExecutionMode.WORKER,
            new HttpServers.Options(
                IO_THREADS, WORKER_THREADS, MAX_REQUEST_BYTES, MAX_HEADER_BYTES),
            adminServer::addRoutes);
    return adminServer;
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  private void addRoutes(Jooby app) {
    dependencies.jobRoutes().addRoutes(app);
    app.get("/health", ctx -> HttpServers.sendJson(ctx, Map.of("status", "up")));
    app.get("/ready", this::sendReadiness);
    app.get("/metrics", this::sendMetrics);
    app.get("/v1/config", requireOperator(this::readConfig));
    app.post("/v1/config", requireOperator(this::publish));
    app.get(
        "/v1/status",
        requireOperator(ctx -> Either.right(dependencies.statusReader().readStatus())));
    app.get("/v1/audit", requireOperator(ctx -> readRows(AuditEntry.KEY_PREFIX, AuditEntry.class)));
    app.get("/v1/jobs", requireOperator(ctx -> readRows(Job.KEY_PREFIX, Job.class)));
    app.get(
        "/v1/explain/vm/{id}",
        requireOperator(ctx -> dependencies.explainer().explainVm(ctx.path("id").value())));
    app.get(
        "/v1/explain/job/{id}",
        requireOperator(ctx -> dependencies.explainer().explainJob(ctx.path("id").value())));
    app.get(
        "/v1/explain/request",
        requireOperator(
            ctx ->
                dependencies
                    .explainer()
                    .explainRequest(
                        ctx.query("service").value(""),
                        ctx.query("queue").value(""),
                        ctx.query("key").toOptional())));
  }

  /** Handles a request of an authenticated operator and returns the value to send as JSON. */
  @FunctionalInterface
  private interface OperatorRequestHandler {
    Either<Failure, ?> handle(Context ctx);
  }

  /**
   * Returns a route handler that rejects requests without a valid operator's key and passes the
   * others to {@code handler}. The operator's name is stored in the request's attribute {@value
   * #OPERATOR_ATTRIBUTE}.
   */
  private Route.Handler requireOperator(OperatorRequestHandler handler) {
    return ctx -> {
      Optional<String> operator = identifyOperator(ctx);
      if (operator.isEmpty()) {
        return HttpServers.sendFailure(
            ctx, Failure.of(FailureType.OPERATOR_REJECTED, "A valid operator's key is required."));
      }
      ctx.setAttribute(OPERATOR_ATTRIBUTE, operator.get());
      Either<Failure, ?> result = handler.handle(ctx);
      return result.isLeft()
          ? HttpServers.sendFailure(ctx, result.getLeft())
          : HttpServers.sendJson(ctx, result.get());
    };
  }

  /** Returns the name of the operator whose key is in the request; empty if there is none. */
  private Optional<String> identifyOperator(Context ctx) {
    String header = ctx.header("Authorization").value("");
    if (!header.startsWith(BEARER_PREFIX)) {
      return Optional.empty();
    }
    String digest = Digests.of(header.substring(BEARER_PREFIX.length()));
    return dependencies.operatorKeyDigests().entrySet().stream()
        .filter(entry -> Digests.matches(entry.getValue(), digest))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  private Object sendReadiness(Context ctx) {
    boolean isReady = dependencies.ready().get();
    ctx.setResponseCode(isReady ? 200 : SERVICE_UNAVAILABLE_STATUS);
    return HttpServers.sendJson(ctx, Map.of("ready", isReady));
  }

  private Object sendMetrics(Context ctx) {
    ctx.setResponseType(MediaType.text);
    return ctx.send(dependencies.metrics().scrape());
  }

  /** Returns the accepted configuration, if this daemon has it in its cache. */
  private Either<Failure, ?> readConfig(Context ctx) {
    Head head = dependencies.configTracker().freshness().known().head();
    if (head.digest().isEmpty()) {
      return Either.right(new ConfigAnswer(0, "", FleetConfig.empty()));
    }
    return dependencies
        .configTracker()
        .cachedObject(head.digest())
        .<Either<Failure, ?>>map(
            text ->
                Either.right(
                    new ConfigAnswer(
                        head.version(), head.digest(), Json.readTrusted(text, FleetConfig.class))))
        .orElseGet(
            () ->
                Either.left(
                    Failure.of(
                        FailureType.NOT_READY, "This daemon has not loaded the configuration.")));
  }

  private Either<Failure, ?> publish(Context ctx) {
    String operator = ctx.getAttribute(OPERATOR_ATTRIBUTE);
    return Json.read(ctx.body().value(""), PublishRequest.class)
        .flatMap(
            request ->
                dependencies
                    .publisher()
                    .publish(new Proposal(request.base(), request.config(), operator)));
  }

  /** Returns the values of all rows whose key begins with {@code prefix}, decoded from JSON. */
  private <T> Either<Failure, ?> readRows(String prefix, Class<T> type) {
    return dependencies
        .table()
        .scan(prefix)
        .mapLeft(failure -> Failure.of(FailureType.STORE_UNAVAILABLE, "The store does not answer."))
        .map(
            rows ->
                rows.stream()
                    .map(row -> Json.readTrusted(row.value(), type))
                    .collect(ImmutableList.toImmutableList()));
  }
}
