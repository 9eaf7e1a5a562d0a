package org.sassafraslink.scheduler.workerlease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;

/**
 * The content of the row with the recorded ends of leases: {@code
 * {"epoch":7,"workers":{"w1":[INCARNATION,STORE_MILLIS]}}}.
 *
 * @param epoch the epoch of the scheduler that wrote the row
 * @param endByWorker the recorded ends by the ids of the workers
 */
public record LeaseEndRow(long epoch, ImmutableMap<String, LeaseEnd> endByWorker) {
  private static final String EPOCH_FIELD = "epoch";
  private static final String WORKERS_FIELD = "workers";
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /** Returns the value of the row. */
  public String encode() {
    ObjectNode root = JsonNodeFactory.instance.objectNode().put(EPOCH_FIELD, epoch);
    ObjectNode workers = root.putObject(WORKERS_FIELD);
    endByWorker.forEach(
        (id, end) -> workers.putArray(id).add(end.incarnation()).add(end.storeMillis()));
    return root.toString();
  }

  /** Decodes the value of a row; empty if any part of it is not as {@link #encode} writes it. */
  public static Optional<LeaseEndRow> decode(String value) {
    JsonNode root;
    try {
      root = MAPPER.readTree(value);
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
    JsonNode epoch = root.path(EPOCH_FIELD);
    JsonNode workers = root.path(WORKERS_FIELD);
    if (!isTime(epoch) || !workers.isObject()) {
      return Optional.empty();
    }
    ImmutableMap.Builder<String, LeaseEnd> endByWorker = ImmutableMap.builder();
    for (Map.Entry<String, JsonNode> worker : workers.properties()) {
      JsonNode end = worker.getValue();
      if (end.size() != 2 || !isTime(end.path(0)) || !isTime(end.path(1))) {
        return Optional.empty();
      }
      endByWorker.put(worker.getKey(), new LeaseEnd(end.path(0).asLong(), end.path(1).asLong()));
    }
    return Optional.of(new LeaseEndRow(epoch.asLong(), endByWorker.buildOrThrow()));
  }

  private static boolean isTime(JsonNode node) {
    return node.isIntegralNumber() && node.canConvertToLong() && node.asLong() >= 0;
  }
}
