package org.sassafraslink.entry.crowd;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates the platform's store for one entry process: it has a configuration with one open queue,
 * acknowledges every transaction and keeps nothing.
 */
final class StoreStandIn {
  /** The host of the queue. */
  static final String HOST = "q.example";

  /** The path prefix of the queue. */
  static final String PATH_PREFIX = "/q/";

  private static final String CONFIG =
      "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\""
          + HOST
          + "\",\"pathPrefix\":\""
          + PATH_PREFIX
          + "\",\"service\":\"s\",\"public\":true,\"maxAttempts\":3}],"
          + "\"services\":[{\"name\":\"s\"}],\"tenants\":[]}";

  private static final Pattern WAIT_MILLIS = Pattern.compile("waitMs=(\\d+)");

  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicLong version = new AtomicLong(1);

  /** How long calls about jobs take, in ms. */
  private volatile long delayMillis;

  private StoreStandIn(HttpServer server) {
    this.server = server;
  }

  /** Starts a store on a free port of the loopback address. */
  static StoreStandIn start() throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    StoreStandIn store = new StoreStandIn(server);
    server.createContext("/", store::handle);
    server.setExecutor(store.executor);
    server.start();
    return store;
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Delays all later calls, except those about the configuration. */
  void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  private void handle(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().transferTo(OutputStream.nullOutputStream());
    String path = exchange.getRequestURI().getPath();
    String query = String.valueOf(exchange.getRequestURI().getQuery());
    boolean isAboutConfig = query.contains("table=op");
    try {
      Matcher wait = WAIT_MILLIS.matcher(query);
      Thread.sleep(wait.find() ? Long.parseLong(wait.group(1)) : isAboutConfig ? 0 : delayMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    String rows = "[]";
    if (path.equals("/rows-get") && isAboutConfig) {
      String value = Base64.getEncoder().encodeToString(CONFIG.getBytes(StandardCharsets.UTF_8));
      rows =
          "[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"schemaVersion\":1,\"value\":\""
              + value
              + "\"}]";
    }
    long newVersion = path.equals("/rows-tx") ? version.incrementAndGet() : version.get();
    String body =
        "{\"schemaVersion\":" + newVersion + ",\"nowMs\":1,\"rows\":" + rows + ",\"machines\":[]}";
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  void stop() {
    server.stop(0);
    executor.shutdownNow();
  }
}
