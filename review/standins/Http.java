import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP and JSON for the stand-ins, and the record to which all of them append lines. */
final class Http {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  /** Handles a request; an exception closes the connection without a response. */
  interface Handler {
    Reply handle(HttpExchange exchange, JsonNode body) throws Exception;
  }

  record Reply(int status, JsonNode body) {}

  private Http() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static Reply reply(int status, JsonNode body) {
    return new Reply(status, body);
  }

  static HttpServer serve(String address, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(parse(address), 0);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext(
        "/",
        exchange -> {
          try (exchange) {
            byte[] request = exchange.getRequestBody().readAllBytes();
            Reply reply =
                handler.handle(
                    exchange, request.length == 0 ? object() : MAPPER.readTree(request));
            byte[] response =
                reply.body() == null ? new byte[0] : MAPPER.writeValueAsBytes(reply.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(
                reply.status(), response.length == 0 ? -1 : response.length);
            exchange.getResponseBody().write(response);
          } catch (IOException e) {
            throw e;
          } catch (Exception e) {
            throw new IOException(e);
          }
        });
    server.start();
    return server;
  }

  static InetSocketAddress parse(String address) {
    int separator = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, separator), Integer.parseInt(address.substring(separator + 1)));
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> result = new HashMap<>();
    String query = exchange.getRequestURI().getRawQuery();
    if (query != null) {
      for (String pair : query.split("&")) {
        int separator = pair.indexOf('=');
        result.put(
            pair.substring(0, separator),
            URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
      }
    }
    return result;
  }

  /** Sends a request; returns status 0 if no response arrives. */
  static Reply call(String method, String url, JsonNode body, Map<String, String> headers) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create(url))
              .timeout(Duration.ofSeconds(4))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofString(MAPPER.writeValueAsString(body)));
      if (body != null) {
        request.header("Content-Type", "application/json");
      }
      headers.forEach(request::header);
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      JsonNode json = response.body().isEmpty() ? object() : MAPPER.readTree(response.body());
      return new Reply(response.statusCode(), json);
    } catch (IOException e) {
      return new Reply(0, object());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Appends a line to the record, with the time in ms since 1970. */
  static void record(Path file, String line) {
    try {
      Files.writeString(
          file,
          System.currentTimeMillis() + " " + line + "\n",
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
