package org.sassafraslink.standins;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.function.Consumer;

/** Starts the HTTP servers of the stand-ins. */
final class HttpServers {
  private static final int MAX_REQUEST_BYTES = 16 * 1024 * 1024;

  private HttpServers() {}

  /** Starts a server on {@code host} and {@code port} with the routes that {@code routes} adds. */
  static NettyServer start(String host, int port, int handlerThreads, Consumer<Jooby> routes) {
    ServerOptions options = new ServerOptions();
    options.setHost(host);
    options.setPort(port);
    options.setIoThreads(2);
    options.setWorkerThreads(handlerThreads);
    options.setMaxRequestSize(MAX_REQUEST_BYTES);
    options.setDefaultHeaders(false);
    NettyServer server = new NettyServer();
    server.setOptions(options);
    Jooby app =
        Jooby.createApp(
            ExecutionMode.WORKER,
            () -> {
              Jooby jooby = new Jooby();
              routes.accept(jooby);
              return jooby;
            });
    server.start(app);
    return server;
  }
}
