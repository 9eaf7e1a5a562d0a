import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The platform's store: rows with versions, transactions under conditions, reads and long polls for
 * changes. It can be silent, and perform a transaction late without an answer.
 */
final class Store {
  private static final long READ_MILLIS = 4;
  private static final long TRANSACTION_MILLIS = 8;

  private record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byTable = table.compareTo(other.table);
      int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
      return byPart != 0 ? byPart : key.compareTo(other.key);
    }
  }

  private record Row(Key key, String value, long version, boolean deleted) {}

  private final Recorder recorder;
  private final TreeMap<Key, Row> rows = new TreeMap<>();
  private final TreeMap<Long, List<Row>> changes = new TreeMap<>();
  private long version;

  /** While true, no call gets an answer and none is performed, except those performed late. */
  private volatile boolean silent;

  /** Chooses the transactions that are performed after the silence, without an answer. */
  private volatile Predicate<String> performedLate = body -> false;

  private final List<JsonNode> lateTransactions = new ArrayList<>();

  Store(Recorder recorder) {
    this.recorder = recorder;
  }

  void setSilent(boolean isSilent) {
    silent = isSilent;
    recorder.write("store " + (isSilent ? "gives no answers" : "answers again"));
  }

  void performLate(Predicate<String> chosen) {
    performedLate = chosen;
  }

  /** Performs the transactions that were chosen while the store was silent, if their conditions hold. */
  synchronized int performLateTransactions() {
    int done = 0;
    for (JsonNode transaction : lateTransactions) {
      boolean isDone = commit(transaction) == null;
      recorder.write("store performs a call of the silence late: " + (isDone ? "done" : "condition fails"));
      done += isDone ? 1 : 0;
    }
    lateTransactions.clear();
    return done;
  }

  void handle(HttpExchange exchange) throws Exception {
    String path = exchange.getRequestURI().getPath();
    byte[] body = exchange.getRequestBody().readAllBytes();
    if (silent) {
      if (path.equals("/rows-tx")
          && performedLate.test(decodedValues(new String(body, StandardCharsets.UTF_8)))) {
        synchronized (this) {
          lateTransactions.add(Http.MAPPER.readTree(body));
        }
        recorder.write("store receives a transaction with the job, and does not answer");
      }
      return; // The exchange stays open without an answer.
    }
    Map<String, String> query = Http.query(exchange.getRequestURI().getRawQuery());
    switch (path) {
      case "/rows-tx" -> {
        Thread.sleep(TRANSACTION_MILLIS);
        ObjectNode conflict;
        ObjectNode response = Http.MAPPER.createObjectNode();
        synchronized (this) {
          conflict = commit(Http.MAPPER.readTree(body));
          response.put("schemaVersion", version).put("nowMs", System.nanoTime() / 1_000_000);
        }
        Http.respond(exchange, conflict == null ? 200 : 412, conflict == null ? response : conflict);
      }
      case "/rows-get" -> {
        Thread.sleep(READ_MILLIS);
        Http.respond(exchange, 200, read(query));
      }
      case "/rows-feed" -> {
        Thread.sleep(READ_MILLIS);
        ObjectNode response = feed(query);
        if (!silent) {
          Http.respond(exchange, 200, response);
        }
      }
      default -> Http.respond(exchange, 404, Http.MAPPER.createObjectNode());
    }
  }

  private static String decodedValues(String transaction) throws Exception {
    StringBuilder text = new StringBuilder();
    for (JsonNode write : Http.MAPPER.readTree(transaction).path("writes")) {
      text.append(write.path("table").asText()).append(' ').append(write.path("key").asText()).append(' ');
    }
    return text.toString();
  }

  /** Writes a row as the operator or a worker does. */
  synchronized void put(String table, String key, String value) {
    version++;
    store(new Row(new Key(table, "", key), Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), version, false));
    notifyAll();
  }

  /** Removes a row, as the platform does with the entry of a worker that has been silent. */
  synchronized void remove(String table, String key) {
    version++;
    store(new Row(new Key(table, "", key), "", version, true));
    notifyAll();
  }

  private void store(Row row) {
    if (row.deleted()) {
      rows.remove(row.key());
    } else {
      rows.put(row.key(), row);
    }
    changes.computeIfAbsent(row.version(), v -> new ArrayList<>()).add(row);
  }

  private static Key keyOf(JsonNode node) {
    return new Key(node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
  }

  /** Returns null if the transaction was committed, and else the body of the response. */
  private synchronized ObjectNode commit(JsonNode transaction) {
    boolean holds = true;
    ArrayNode current = Http.MAPPER.createArrayNode();
    for (JsonNode expectation : transaction.path("expectedRevision")) {
      Row row = rows.get(keyOf(expectation));
      holds &= expectation.path("schemaVersion").asLong() == (row == null ? 0 : row.version());
      if (row != null) {
        current.add(toJson(row));
      }
    }
    if (!holds) {
      ObjectNode response = Http.MAPPER.createObjectNode();
      response.set("rows", current);
      response.put("schemaVersion", version).put("nowMs", System.nanoTime() / 1_000_000);
      return response;
    }
    version++;
    for (JsonNode write : transaction.path("writes")) {
      store(new Row(keyOf(write), write.path("value").asText(), version, false));
    }
    for (JsonNode removed : transaction.path("remove")) {
      Key key = keyOf(removed);
      if (rows.containsKey(key)) {
        store(new Row(key, "", version, true));
      }
    }
    notifyAll();
    return null;
  }

  private synchronized ObjectNode read(Map<String, String> query) {
    String table = query.getOrDefault("table", "");
    String part = query.getOrDefault("part", "");
    String to = query.getOrDefault("to", "");
    ObjectNode response = Http.MAPPER.createObjectNode();
    ArrayNode found = response.putArray("rows");
    boolean hasMore = false;
    for (Row row : rows.tailMap(new Key(table, part, query.getOrDefault("from", ""))).values()) {
      if (!row.key().table().equals(table) || !row.key().part().equals(part)) {
        break;
      }
      if (!to.isEmpty() && row.key().key().compareTo(to) >= 0) {
        break;
      }
      if (found.size() == 500) {
        hasMore = true;
        break;
      }
      found.add(toJson(row));
    }
    return response.put("hasMore", hasMore).put("schemaVersion", version).put("nowMs", System.nanoTime() / 1_000_000);
  }

  private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
    String table = query.getOrDefault("table", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long endNanos = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("waitMs", "0"));
    ArrayNode found = changed(table, after);
    while (found.isEmpty() && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
      found = changed(table, after);
    }
    ObjectNode response = Http.MAPPER.createObjectNode();
    response.set("rows", found);
    return response.put("schemaVersion", version).put("nowMs", System.nanoTime() / 1_000_000);
  }

  private ArrayNode changed(String table, long after) {
    Map<Key, Row> newest = new HashMap<>();
    for (List<Row> changed : changes.tailMap(after, false).values()) {
      for (Row row : changed) {
        if (row.key().table().equals(table)) {
          newest.put(row.key(), row);
        }
      }
    }
    ArrayNode result = Http.MAPPER.createArrayNode();
    newest.values().stream().sorted((a, b) -> Long.compare(a.version(), b.version())).forEach(row -> result.add(toJson(row)));
    return result;
  }

  private static ObjectNode toJson(Row row) {
    ObjectNode node = Http.MAPPER.createObjectNode();
    node.put("table", row.key().table()).put("part", row.key().part()).put("key", row.key().key());
    node.put("value", row.value()).put("schemaVersion", row.version());
    if (row.deleted()) {
      node.put("deleted", true);
    }
    return node;
  }
}
