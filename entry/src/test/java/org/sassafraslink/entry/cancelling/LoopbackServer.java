package org.sassafraslink.entry.cancelling;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** An HTTP server with JSON bodies on a free port of the loopback address. */
public final class LoopbackServer {
  public static final ObjectMapper MAPPER = new ObjectMapper();

  /** Threads of all servers of the rig. */
  public static final ExecutorService THREADS =
      Executors.newCachedThreadPool(LoopbackServer::daemon);

  /** Timers of all servers of the rig; their tasks must be short. */
  public static final ScheduledExecutorService TIMERS =
      new ScheduledThreadPoolExecutor(2, LoopbackServer::daemon);

  /** After this time the connection of an exchange without a response is closed. */
  private static final long UNANSWERED_SECONDS = 15;

  static {
    // Otherwise each small response waits for a delayed acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
  }

  /** Handles one exchange; the connection is closed if it fails. */
  public interface Handler {
    void handle(HttpExchange exchange) throws Exception;
  }

  private LoopbackServer() {}

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  /** Starts a server and returns its port. */
  public static int start(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 500);
    server.setExecutor(THREADS);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange);
          } catch (Exception e) {
            exchange.close();
          }
        });
    server.start();
    return server.getAddress().getPort();
  }

  public static void respond(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  /** Leaves an exchange without a response. */
  static void leaveUnanswered(HttpExchange exchange) {
    TIMERS.schedule(exchange::close, UNANSWERED_SECONDS, TimeUnit.SECONDS);
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> result = new HashMap<>();
    String query = exchange.getRequestURI().getRawQuery();
    if (query != null) {
      for (String pair : query.split("&", -1)) {
        int separator = pair.indexOf('=');
        result.put(
            pair.substring(0, separator),
            URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }
}
