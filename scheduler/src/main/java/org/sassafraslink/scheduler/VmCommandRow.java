package org.sassafraslink.scheduler;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * The content of the row with the VMs to which a command may have been sent.
 *
 * <p>It is a JSON array of the VMs' names, as the previous version wrote it, followed by an object
 * with the times: {@code ["m1","m2",{"from":5000,"offsets":[0,35]}]}. The previous version reads
 * the object as one more VM.
 *
 * @param untilStoreMillisByVm until when a command to the VM may still be sent, by the store's
 *     clock in ms; {@link #UNKNOWN} if the row does not say so
 */
record VmCommandRow(ImmutableMap<String, Long> untilStoreMillisByVm) {
  static final long UNKNOWN = -1;

  private static final String FROM_FIELD = "from";
  private static final String OFFSETS_FIELD = "offsets";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  String encode() {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    untilStoreMillisByVm.keySet().forEach(array::add);
    long from =
        untilStoreMillisByVm.values().stream()
            .filter(until -> until != UNKNOWN)
            .mapToLong(Long::longValue)
            .min()
            .orElse(0);
    ObjectNode times = array.addObject().put(FROM_FIELD, from);
    ArrayNode offsets = times.putArray(OFFSETS_FIELD);
    untilStoreMillisByVm
        .values()
        .forEach(until -> offsets.add(until == UNKNOWN ? UNKNOWN : until - from));
    return array.toString();
  }

  /** Decodes a row of this or the previous version; empty if it does not name VMs only. */
  static Optional<VmCommandRow> decode(String value) {
    JsonNode array;
    try {
      array = MAPPER.readTree(value);
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
    if (!array.isArray()) {
      return Optional.empty();
    }
    JsonNode times = array.path(array.size() - 1);
    int vmCount = times.isObject() ? array.size() - 1 : array.size();
    JsonNode offsets = times.path(OFFSETS_FIELD);
    JsonNode from = times.path(FROM_FIELD);
    boolean hasTimes = offsets.size() == vmCount && from.isIntegralNumber() && from.asLong() >= 0;
    ImmutableMap.Builder<String, Long> untilByVm = ImmutableMap.builder();
    for (int i = 0; i < vmCount; i++) {
      if (!array.get(i).isTextual()) {
        return Optional.empty();
      }
      JsonNode offset = offsets.path(i);
      boolean isKnown = hasTimes && offset.isIntegralNumber() && offset.asLong() >= 0;
      long until = isKnown ? from.asLong() + offset.asLong() : UNKNOWN;
      untilByVm.put(array.get(i).asText(), until);
    }
    return Optional.of(new VmCommandRow(untilByVm.buildKeepingLast()));
  }
}
