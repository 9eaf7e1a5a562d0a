package org.sassafraslink.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.AuditEntry.Change;
import org.sassafraslink.api.model.FleetConfig;

/** Compares two configurations field by field. */
public final class ConfigDiff {
  private ConfigDiff() {}

  /**
   * Returns the fields whose values differ, ordered by path. A path is of the form {@code
   * teams.drivers.limit}.
   *
   * <p>The value of a field that one configuration lacks is an empty text.
   */
  public static ImmutableList<Change> between(FleetConfig before, FleetConfig after) {
    Map<String, String> valuesBefore = flatten(before);
    Map<String, String> valuesAfter = flatten(after);
    TreeSet<String> paths = new TreeSet<>(valuesBefore.keySet());
    paths.addAll(valuesAfter.keySet());
    return paths.stream()
        .filter(
            path -> !valuesBefore.getOrDefault(path, "").equals(valuesAfter.getOrDefault(path, "")))
        .map(
            path ->
                new Change(
                    path, valuesBefore.getOrDefault(path, ""), valuesAfter.getOrDefault(path, "")))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the first field of {@code changes} that {@code otherChanges} changes too, if any. */
  public static Optional<String> firstCommonField(
      ImmutableList<Change> changes, ImmutableList<Change> otherChanges) {
    return changes.stream()
        .map(Change::field)
        .filter(field -> otherChanges.stream().anyMatch(change -> change.field().equals(field)))
        .findFirst();
  }

  /** Returns the value of each field of {@code config}, keyed by the path of the field. */
  private static Map<String, String> flatten(FleetConfig config) {
    Map<String, String> valuesByPath = new TreeMap<>();
    flatten("", Json.mapper().valueToTree(config), valuesByPath);
    return valuesByPath;
  }

  private static void flatten(String path, JsonNode node, Map<String, String> valuesByPath) {
    if (node.isObject()) {
      node.properties()
          .forEach(
              entry -> flatten(appendName(path, entry.getKey()), entry.getValue(), valuesByPath));
    } else if (node.isArray()) {
      for (JsonNode element : node) {
        // The path has the element's id or text instead of its index, so that adding or removing
        // an element does not change the paths of the elements after it.
        String key = element.has("id") ? element.get("id").asText() : element.asText();
        flatten(path + "[" + key + "]", element, valuesByPath);
      }
    } else {
      valuesByPath.put(path, node.asText());
    }
  }

  private static String appendName(String path, String name) {
    return path.isEmpty() ? name : path + "." + name;
  }
}
