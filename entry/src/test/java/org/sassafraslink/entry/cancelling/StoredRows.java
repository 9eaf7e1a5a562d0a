package org.sassafraslink.entry.cancelling;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** The rows of the platform's store, with their versions and the history of changes. */
final class StoredRows {
  private static final Comparator<RowId> ORDER =
      Comparator.comparing(RowId::table).thenComparing(RowId::part).thenComparing(RowId::key);

  record RowId(String table, String part, String key) {
    static RowId of(JsonNode node) {
      return new RowId(
          node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }
  }

  private record Row(RowId key, String value, long version, boolean isDeleted) {}

  private final TreeMap<RowId, Row> rows = new TreeMap<>(ORDER);

  /** By table, the last change of each key, in the order of the versions. */
  private final Map<String, LinkedHashMap<RowId, Row>> changesByTable = new HashMap<>();

  private long version;
  private long discardedVersion;

  /** Forgets the changes up to now; a read of changes since an earlier version fails. */
  synchronized void discardHistory() {
    discardedVersion = version;
    notifyAll();
  }

  /** Writes a row, or removes it if {@code value} is empty. */
  synchronized void put(RowId key, Optional<String> value) {
    version++;
    store(new Row(key, value.orElse(""), version, value.isEmpty()));
    notifyAll();
  }

  private void store(Row row) {
    if (row.isDeleted()) {
      rows.remove(row.key());
    } else {
      rows.put(row.key(), row);
    }
    LinkedHashMap<RowId, Row> changes =
        changesByTable.computeIfAbsent(row.key().table(), table -> new LinkedHashMap<>());
    changes.remove(row.key());
    changes.put(row.key(), row);
  }

  /**
   * Applies a transaction if its expectations hold.
   *
   * @return the body of the response, with the current rows if an expectation does not hold
   */
  synchronized ObjectNode commit(JsonNode transaction) {
    boolean holds = true;
    ArrayNode current = LoopbackServer.MAPPER.createArrayNode();
    for (JsonNode expectation : transaction.path("expectedRevision")) {
      Row row = rows.get(RowId.of(expectation));
      holds &= expectation.path("schemaVersion").asLong() == (row == null ? 0 : row.version());
      if (row != null) {
        current.add(toJson(row));
      }
    }
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    if (!holds) {
      response.set("rows", current);
      return response.put("schemaVersion", version);
    }
    version++;
    for (JsonNode write : transaction.path("writes")) {
      store(new Row(RowId.of(write), write.path("value").asText(), version, false));
    }
    for (JsonNode removed : transaction.path("remove")) {
      RowId key = RowId.of(removed);
      if (rows.containsKey(key)) {
        store(new Row(key, "", version, true));
      }
    }
    notifyAll();
    return response.put("schemaVersion", version);
  }

  synchronized ObjectNode read(Map<String, String> query, int limit) {
    String table = query.getOrDefault("table", "");
    String part = query.getOrDefault("part", "");
    String to = query.getOrDefault("to", "");
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    ArrayNode found = response.putArray("rows");
    boolean hasMore = false;
    for (Row row : rows.tailMap(new RowId(table, part, query.getOrDefault("from", ""))).values()) {
      if (!row.key().table().equals(table)
          || !row.key().part().equals(part)
          || (!to.isEmpty() && row.key().key().compareTo(to) >= 0)) {
        break;
      }
      if (found.size() == limit) {
        hasMore = true;
        break;
      }
      found.add(toJson(row));
    }
    return response.put("hasMore", hasMore).put("schemaVersion", version);
  }

  synchronized ObjectNode parts(String table) {
    TreeSet<String> parts = new TreeSet<>();
    rows.keySet().stream()
        .filter(key -> key.table().equals(table))
        .forEach(k -> parts.add(k.part()));
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    ArrayNode list = response.putArray("parts");
    parts.forEach(list::add);
    return response.put("hasMore", false).put("schemaVersion", version);
  }

  /** Waits for changes of a table; returns empty if the history that it needs is discarded. */
  synchronized Optional<ObjectNode> awaitChanges(String table, long after, long waitMillis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMillis * 1_000_000;
    ArrayNode found = changes(table, after);
    while (found.isEmpty() && after >= discardedVersion && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
      found = changes(table, after);
    }
    if (after < discardedVersion) {
      return Optional.empty();
    }
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    response.set("rows", found);
    return Optional.of(response.put("schemaVersion", version));
  }

  private ArrayNode changes(String table, long after) {
    ArrayNode result = LoopbackServer.MAPPER.createArrayNode();
    Collection<Row> changes = changesByTable.getOrDefault(table, new LinkedHashMap<>()).values();
    changes.stream().filter(row -> row.version() > after).forEach(row -> result.add(toJson(row)));
    return result;
  }

  private static ObjectNode toJson(Row row) {
    ObjectNode node = LoopbackServer.MAPPER.createObjectNode();
    node.put("table", row.key().table())
        .put("part", row.key().part())
        .put("key", row.key().key())
        .put("value", row.value())
        .put("schemaVersion", row.version());
    return row.isDeleted() ? node.put("deleted", true) : node;
  }
}
