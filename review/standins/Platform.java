import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates the platform: its store, its machines, and the service that recommends minions. Arguments:
 * address, record file. Paths below /internal are for minions and the operator only.
 */
public final class Platform {
  private static final long ANSWER_MILLIS = 4;
  private static final int MAX_ROWS = 500;
  private static final long DECISION_MILLIS = 50;
  private static final long VALIDITY_MILLIS = 3_000;

  /** A minion's entry is removed after three heartbeat intervals of silence. */
  private static final long ENTRY_LIFE_MILLIS = 4_500;

  /** A member of a gang that has been silent for this long has left. */
  private static final long GANG_MEMBER_LIFE_MILLIS = 400;

  private record RowKey(String table, String part, String key) implements Comparable<RowKey> {
    @Override
    public int compareTo(RowKey other) {
      int tables = table.compareTo(other.table);
      int parts = part.compareTo(other.part);
      return tables != 0 ? tables : parts != 0 ? parts : key.compareTo(other.key);
    }
  }

  private record Row(RowKey key, String value, long version, boolean deleted) {
    ObjectNode toJson() {
      ObjectNode json =
          Http.object()
              .put("table", key.table)
              .put("part", key.part)
              .put("key", key.key)
              .put("value", value)
              .put("schemaVersion", version);
      return deleted ? json.put("deleted", true) : json;
    }
  }

  private final Path record;
  private final TreeMap<RowKey, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Map<String, Long> heartbeatMillis = new HashMap<>();

  /** When each member of a gang last reported its presence, by the gang; ms of a steady clock. */
  private final Map<String, Map<String, Long>> gangs = new HashMap<>();

  private final Map<String, Boolean> doneGangs = new HashMap<>();
  private long version;

  private Platform(Path record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Platform platform = new Platform(Path.of(args[1]));
    Http.serve(args[0], platform::handle);
    while (true) {
      Thread.sleep(100);
      platform.removeSilentEntries();
    }
  }

  private Http.Reply handle(HttpExchange exchange, JsonNode body) throws Exception {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = Http.query(exchange);
    switch (path) {
      case "/rows-tx":
        Thread.sleep(2 * ANSWER_MILLIS);
        return transaction(body);
      case "/rows-get":
        Thread.sleep(ANSWER_MILLIS);
        return read(query);
      case "/rows-feed":
        return feed(query);
      case "/machines":
        Thread.sleep(ANSWER_MILLIS);
        return machines();
      case "/machine-move", "/machine-upkeep":
        Http.record(record, "platform command " + path + " " + body);
        return Http.reply(409, Http.object().put("reason", "busy"));
      case "/internal/put":
        put(body.path("table").asText(), body.path("key").asText(), body.path("value"));
        return Http.reply(200, Http.object());
      case "/internal/heartbeat":
        heartbeat(body.path("key").asText(), body.path("value"));
        return Http.reply(200, Http.object());
      case "/internal/gang":
        return Http.reply(200, gang(body));
      case "/advise":
        return advise(body);
      default:
        return Http.reply(404, Http.object());
    }
  }

  private synchronized Http.Reply transaction(JsonNode body) {
    boolean holds = true;
    ArrayNode current = Http.MAPPER.createArrayNode();
    for (JsonNode expected : body.path("expectedRevision")) {
      Row row = rows.get(keyOf(expected));
      holds &= (row == null ? 0 : row.version) == expected.path("schemaVersion").asLong();
      if (row != null) {
        current.add(row.toJson());
      }
    }
    if (!holds) {
      ObjectNode conflict = stamped();
      conflict.set("rows", current);
      return Http.reply(412, conflict);
    }
    version++;
    for (JsonNode write : body.path("writes")) {
      RowKey key = keyOf(write);
      if (key.table.equals("op") || key.table.equals("servers")) {
        return Http.reply(403, Http.object());
      }
      store(new Row(key, write.path("value").asText(), version, false));
    }
    for (JsonNode removed : body.path("remove")) {
      remove(keyOf(removed));
    }
    notifyAll();
    return Http.reply(200, stamped());
  }

  private void store(Row row) {
    rows.put(row.key, row);
    history.add(row);
  }

  private void remove(RowKey key) {
    if (rows.remove(key) != null) {
      history.add(new Row(key, "", version, true));
    }
  }

  private ObjectNode stamped() {
    return Http.object()
        .put("schemaVersion", version)
        .put("nowMs", System.nanoTime() / 1_000_000);
  }

  private static RowKey keyOf(JsonNode node) {
    return new RowKey(
        node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
  }

  private synchronized Http.Reply read(Map<String, String> query) {
    String table = query.get("table");
    String part = query.getOrDefault("part", "");
    String from = query.getOrDefault("from", "");
    String to = query.getOrDefault("to", "");
    ArrayNode found = Http.MAPPER.createArrayNode();
    boolean hasMore = false;
    for (Row row : rows.tailMap(new RowKey(table, part, from)).values()) {
      boolean isPast = !to.isEmpty() && row.key.key.compareTo(to) >= 0;
      if (!row.key.table.equals(table) || !row.key.part.equals(part) || isPast) {
        break;
      }
      if (found.size() == MAX_ROWS) {
        hasMore = true;
        break;
      }
      found.add(row.toJson());
    }
    ObjectNode answer = stamped().put("hasMore", hasMore);
    answer.set("rows", found);
    return Http.reply(200, answer);
  }

  private synchronized Http.Reply feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endNanos =
        System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    while (true) {
      ArrayNode changed = Http.MAPPER.createArrayNode();
      for (Row row : history) {
        if (row.version > after && row.key.table.equals(query.get("table"))) {
          changed.add(row.toJson());
        }
      }
      long remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || remainingMillis <= 0) {
        ObjectNode answer = stamped();
        answer.set("rows", changed);
        return Http.reply(200, answer);
      }
      wait(remainingMillis);
    }
  }

  /** Lists a machine for each entry of a minion, as up. */
  private synchronized Http.Reply machines() throws Exception {
    ArrayNode machines = Http.MAPPER.createArrayNode();
    for (Row row : rows.values()) {
      if (row.key.table.equals("servers") && heartbeatMillis.containsKey(row.key.key)) {
        JsonNode entry = Http.MAPPER.readTree(Base64.getDecoder().decode(row.value));
        ObjectNode machine =
            Http.object()
                .put("machine", entry.path("machine").asText())
                .put("pool", entry.path("service").asText())
                .put("state", "up")
                .put("zone", entry.path("zone").asText())
                .put("id", row.key.key);
        machine.set("labels", entry.path("labels"));
        machine.set("capacity", entry.path("capacity"));
        machines.add(machine);
      }
    }
    ObjectNode answer = Http.object().putNull("nextToken");
    answer.set("machines", machines);
    return Http.reply(200, answer);
  }

  private synchronized void put(String table, String key, JsonNode value) {
    version++;
    byte[] text = value.toString().getBytes(StandardCharsets.UTF_8);
    store(
        new Row(
            new RowKey(table, "", key),
            Base64.getEncoder().encodeToString(text),
            version,
            false));
    notifyAll();
  }

  private synchronized void heartbeat(String id, JsonNode entry) {
    heartbeatMillis.put(id, System.nanoTime() / 1_000_000);
    put("servers", id, entry);
  }

  private synchronized void removeSilentEntries() {
    long now = System.nanoTime() / 1_000_000;
    List<String> silent = new ArrayList<>();
    heartbeatMillis.forEach(
        (id, millis) -> {
          if (now - millis > ENTRY_LIFE_MILLIS) {
            silent.add(id);
          }
        });
    for (String id : silent) {
      heartbeatMillis.remove(id);
      version++;
      remove(new RowKey("servers", "", id));
      Http.record(record, "platform entry of " + id + " removed");
      notifyAll();
    }
  }

  /** Notes that a member of a gang is present, or that the gang is done; returns both. */
  private synchronized ObjectNode gang(JsonNode body) {
    long now = System.nanoTime() / 1_000_000;
    String gang = body.path("gang").asText();
    Map<String, Long> members = gangs.computeIfAbsent(gang, key -> new HashMap<>());
    members.put(body.path("member").asText(), now);
    members.values().removeIf(millis -> now - millis > GANG_MEMBER_LIFE_MILLIS);
    if (body.path("done").asBoolean()) {
      doneGangs.put(gang, true);
    }
    return Http.object()
        .put("present", members.size())
        .put("done", doneGangs.getOrDefault(gang, false));
  }

  /** Approves all named minions, but none for a job whose id begins with "dead". */
  private Http.Reply advise(JsonNode body) throws InterruptedException {
    Thread.sleep(DECISION_MILLIS + (long) body.path("workers").size());
    String step = body.path("phase").asText();
    Http.record(record, "platform advise " + step + " on " + body.path("workers").size());
    ObjectNode answer = Http.object().put("validityMs", VALIDITY_MILLIS);
    ArrayNode approved = answer.putArray("approved");
    if (!step.startsWith("dead")) {
      body.path("workers")
          .forEach(id -> approved.addArray().add(id).add("ticket-" + id.asText() + "-" + step));
    }
    return Http.reply(200, answer);
  }
}
