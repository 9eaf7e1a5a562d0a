import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Small HTTP servers on loopback addresses. */
final class Http {
  static final ObjectMapper MAPPER = new ObjectMapper();

  interface Handler {
    void handle(HttpExchange exchange) throws Exception;
  }

  private Http() {}

  /** Returns a free port of the loopback address. */
  static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** Starts a server on a free port, and returns the port. */
  static int serve(Handler handler) throws Exception {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
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

  static void respond(HttpExchange exchange, int status, JsonNode body) throws Exception {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  static Map<String, String> query(String raw) {
    Map<String, String> result = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int separator = pair.indexOf('=');
        result.put(
            pair.substring(0, separator),
            URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }
}
