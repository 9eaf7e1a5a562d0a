package org.sassafraslink.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * The fields of one YAML mapping, read strictly.
 *
 * <p>Each accessor notes a fault and returns a harmless value when the field is absent or wrong, so
 * that one pass finds all faults of a file.
 */
final class YamlFields {
  private final String file;
  private final int line;
  private final Map<String, Node> fields = new LinkedHashMap<>();
  private final Map<String, Integer> lines = new LinkedHashMap<>();
  private final List<String> read = new ArrayList<>();
  private final List<FileFault> faults;

  private YamlFields(String file, Node node, List<FileFault> faults) {
    this.file = file;
    this.line = lineOf(node);
    this.faults = faults;
    if (!(node instanceof MappingNode mapping)) {
      fault(line, "expected fields with names");
      return;
    }
    for (NodeTuple tuple : mapping.getValue()) {
      String name =
          tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "(not a name)";
      if (fields.put(name, tuple.getValueNode()) != null) {
        fault(lineOf(tuple.getKeyNode()), "field '" + name + "' stands twice");
      }
      lines.put(name, lineOf(tuple.getKeyNode()));
    }
  }

  static YamlFields of(String file, Node node, List<FileFault> faults) {
    return new YamlFields(file, node, faults);
  }

  /** The line on which the mapping starts, from 1. */
  int line() {
    return line;
  }

  String name(String field) {
    String value = text(field);
    if (!value.matches("[a-z0-9]([a-z0-9-]{0,62})")) {
      fault(lineOf(field), "'" + field + "' must be lower-case letters, digits and hyphens");
    }
    return value;
  }

  String text(String field) {
    Node node = take(field);
    if (node instanceof ScalarNode scalar) {
      return scalar.getValue();
    }
    fault(lineOf(field), "field '" + field + "' is required and must be text");
    return "";
  }

  int integer(String field, int min, int max) {
    return parseInteger(field, text(field), min, max);
  }

  int integer(String field, int min, int max, int fallback) {
    return fields.containsKey(field) ? integer(field, min, max) : fallback;
  }

  boolean flag(String field, boolean fallback) {
    if (!fields.containsKey(field)) {
      return fallback;
    }
    String value = text(field);
    if (!value.equals("true") && !value.equals("false")) {
      fault(lineOf(field), "'" + field + "' must be true or false");
    }
    return value.equals("true");
  }

  <E extends Enum<E>> E choice(String field, Class<E> type, E fallback) {
    if (!fields.containsKey(field)) {
      return fallback;
    }
    String value = text(field);
    for (E constant : type.getEnumConstants()) {
      if (value.equals(constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
        return constant;
      }
    }
    fault(lineOf(field), "'" + field + "' has no value '" + value + "'");
    return fallback;
  }

  ImmutableList<String> texts(String field) {
    return list(field, node -> node instanceof ScalarNode scalar ? scalar.getValue() : "");
  }

  <T> ImmutableList<T> mappings(String field, Function<YamlFields, T> parse) {
    return list(
        field,
        node -> {
          YamlFields element = of(file, node, faults);
          T value = parse.apply(element);
          element.refuseUnknown();
          return value;
        });
  }

  Optional<YamlFields> mapping(String field) {
    return fields.containsKey(field)
        ? Optional.of(of(file, take(field), faults))
        : Optional.empty();
  }

  /** Notes a fault for each field that no accessor asked for. */
  void refuseUnknown() {
    fields.keySet().stream()
        .filter(name -> !read.contains(name))
        .forEach(name -> fault(lineOf(name), "unknown field '" + name + "'"));
  }

  void fault(int atLine, String message) {
    faults.add(new FileFault(file, atLine, message));
  }

  int lineOf(String field) {
    return lines.getOrDefault(field, line);
  }

  /** Indexes values by name; a name that stands twice is a fault. */
  <T> ImmutableMap<String, T> byName(List<T> values, Function<T, String> name) {
    Map<String, T> result = new LinkedHashMap<>();
    for (T value : values) {
      if (result.put(name.apply(value), value) != null) {
        fault(line, "name '" + name.apply(value) + "' stands twice");
      }
    }
    return ImmutableMap.copyOf(result);
  }

  private int parseInteger(String field, String value, int min, int max) {
    try {
      int number = Integer.parseInt(value);
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with numbers out of range.
    }
    fault(lineOf(field), "'" + field + "' must be a whole number from " + min + " to " + max);
    return min;
  }

  private <T> ImmutableList<T> list(String field, Function<Node, T> parse) {
    if (!fields.containsKey(field)) {
      return ImmutableList.of();
    }
    if (take(field) instanceof SequenceNode sequence) {
      return sequence.getValue().stream().map(parse).collect(ImmutableList.toImmutableList());
    }
    fault(lineOf(field), "field '" + field + "' must be a list");
    return ImmutableList.of();
  }

  private Node take(String field) {
    read.add(field);
    return fields.get(field);
  }

  private static int lineOf(Node node) {
    return node.getStartMark().map(mark -> mark.getLine() + 1).orElse(0);
  }
}
