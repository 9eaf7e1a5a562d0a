package org.sassafraslink.daemon.connection;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.util.function.Consumer;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.failure.Problem;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts Jooby servers, and sends their answers as JSON or as problem details (RFC 9457). */
final class HttpServers {
  private static final Logger LOG = LoggerFactory.getLogger("http");

  /** The numbers of threads of a server and the limits on the requests that it accepts. */
  record Options(int ioThreads, int workerThreads, int maxRequestBytes, int maxHeaderBytes) {}

  private HttpServers() {}

  /** Starts a server on which {@code addRoutes} registers the handlers. */
  static NettyServer start(
      String host, int port, ExecutionMode mode, Options options, Consumer<Jooby> addRoutes) {
    ServerOptions serverOptions = new ServerOptions();
    serverOptions.setHost(host);
    serverOptions.setPort(port);
    serverOptions.setIoThreads(options.ioThreads());
    serverOptions.setWorkerThreads(options.workerThreads());
    serverOptions.setMaxRequestSize(options.maxRequestBytes());
    serverOptions.setMaxHeaderSize(options.maxHeaderBytes());
    serverOptions.setDefaultHeaders(false);
    NettyServer server = new NettyServer();
    server.setOptions(serverOptions);
    Jooby app =
        Jooby.createApp(
            mode,
            () -> {
              Jooby jooby = new Jooby();
              jooby.error(HttpServers::sendError);
              addRoutes.accept(jooby);
              return jooby;
            });
    server.start(app);
    return server;
  }

  /** Sends {@code failure} as problem details, with the HTTP status of its type. */
  static Context sendFailure(Context ctx, Failure failure) {
    ctx.setResponseCode(failure.type().httpStatus());
    ctx.setResponseType(Problem.MEDIA_TYPE);
    return ctx.send(Json.write(failure.toProblem()));
  }

  /** Sends {@code value} as JSON; the HTTP status is 200 unless the handler has set another. */
  static Context sendJson(Context ctx, Object value) {
    ctx.setResponseType("application/json");
    return ctx.send(Json.write(value));
  }

  /** Sends the failure for a request that Jooby rejected or whose handler threw an exception. */
  private static void sendError(Context ctx, Throwable cause, StatusCode status) {
    sendFailure(ctx, toFailure(ctx, cause, status));
  }

  private static Failure toFailure(Context ctx, Throwable cause, StatusCode status) {
    return switch (status.value()) {
      case 404, 405 ->
          Failure.of(
              FailureType.RESOURCE_UNKNOWN,
              "Nothing exists at this path, or it does not support this method.");
      case 413 ->
          Failure.of(FailureType.REQUEST_TOO_LARGE, "The request body is larger than allowed.");
      case 431 ->
          Failure.of(FailureType.HEADERS_TOO_LARGE, "The request headers are larger than allowed.");
      case 400, 415, 422 ->
          Failure.of(FailureType.REQUEST_MALFORMED, "The request could not be read.");
      default -> {
        LOG.error(
            "The handler of request {} {} failed.", ctx.getMethod(), ctx.getRequestPath(), cause);
        yield Failure.of(
            FailureType.INTERNAL,
            "The daemon failed to process the request; see the daemon's log.");
      }
    };
  }
}
