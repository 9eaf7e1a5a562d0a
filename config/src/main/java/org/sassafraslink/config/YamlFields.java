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
 * Reads and validates the fields of one YAML mapping.
 *
 * <p>An accessor that finds a required field absent or a value invalid reports an error and returns
 * a placeholder, so that one pass finds all errors of a file. A placeholder never reaches a
 * configuration, because no configuration is built if there is any error.
 */
final class YamlFields {
  private final String file;
  private final int startLine;
  private final Map<String, Node> valueNodes = new LinkedHashMap<>();
  private final Map<String, Integer> fieldLines = new LinkedHashMap<>();

  /** The fields that an accessor has read; the others are reported as unknown. */
  private final List<String> accessedFields = new ArrayList<>();

  private final List<ServiceFileError> errors;

  private YamlFields(String file, Node node, List<ServiceFileError> errors) {
    this.file = file;
    this.startLine = lineOf(node);
    this.errors = errors;
    if (!(node instanceof MappingNode mapping)) {
      reportError(startLine, "expected fields in the form 'name: value'");
      return;
    }
    for (NodeTuple tuple : mapping.getValue()) {
      String name =
          tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "(not a name)";
      if (valueNodes.put(name, tuple.getValueNode()) != null) {
        reportError(lineOf(tuple.getKeyNode()), "duplicate field '" + name + "'");
      }
      fieldLines.put(name, lineOf(tuple.getKeyNode()));
    }
  }

  /**
   * Returns the fields of {@code node}. Reports an error if it is not a mapping or has a field
   * twice.
   *
   * @param file the file of the node, for error messages
   * @param errors the list to which this method and the accessors add the errors that they find
   */
  static YamlFields of(String file, Node node, List<ServiceFileError> errors) {
    return new YamlFields(file, node, errors);
  }

  /** Returns the line on which the mapping starts, from 1. */
  int startLine() {
    return startLine;
  }

  /**
   * Returns the value of a required field that holds a name.
   *
   * <p>A name has 1 to 63 lower-case letters, digits and hyphens and does not start with a hyphen.
   */
  String name(String field) {
    String value = text(field);
    if (!value.matches("[a-z0-9]([a-z0-9-]{0,62})")) {
      reportError(
          lineOf(field),
          "'"
              + field
              + "' must be lower-case letters, digits and hyphens (1 to 63, no hyphen first)");
    }
    return value;
  }

  /** Returns the text of a required field that holds a single value. */
  String text(String field) {
    Node node = readValueNode(field);
    if (node instanceof ScalarNode scalar) {
      return scalar.getValue();
    }
    reportError(lineOf(field), "field '" + field + "' is required and must be text");
    return "";
  }

  /** Returns the value of a required field, a whole number from {@code min} to {@code max}. */
  int integerValue(String field, int min, int max) {
    return parseInteger(field, text(field), min, max);
  }

  /** Returns the value of an optional field, a whole number from {@code min} to {@code max}. */
  int integerValue(String field, int min, int max, int defaultValue) {
    return valueNodes.containsKey(field) ? integerValue(field, min, max) : defaultValue;
  }

  /** Returns the value of an optional field that is {@code true} or {@code false}. */
  boolean booleanValue(String field, boolean defaultValue) {
    if (!valueNodes.containsKey(field)) {
      return defaultValue;
    }
    String value = text(field);
    if (!value.equals("true") && !value.equals("false")) {
      reportError(lineOf(field), "'" + field + "' must be true or false");
    }
    return value.equals("true");
  }

  /**
   * Returns the value of an optional field that holds a constant of {@code type}.
   *
   * <p>Files have the constant in lower case, with hyphens in place of underscores.
   */
  <E extends Enum<E>> E enumValue(String field, Class<E> type, E defaultValue) {
    if (!valueNodes.containsKey(field)) {
      return defaultValue;
    }
    String value = text(field);
    for (E constant : type.getEnumConstants()) {
      if (value.equals(constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))) {
        return constant;
      }
    }
    reportError(lineOf(field), "'" + field + "' has the unknown value '" + value + "'");
    return defaultValue;
  }

  /**
   * Returns the elements of an optional list of texts; returns an empty list if the field is
   * absent.
   *
   * <p>An element that is not a single value becomes an empty text, without an error.
   */
  ImmutableList<String> textList(String field) {
    return parseList(field, node -> node instanceof ScalarNode scalar ? scalar.getValue() : "");
  }

  /**
   * Parses each element of an optional list of mappings; returns an empty list if the field is
   * absent.
   *
   * <p>Reports the fields of an element that {@code parser} does not read as unknown.
   */
  <T> ImmutableList<T> mappingList(String field, Function<YamlFields, T> parser) {
    return parseList(
        field,
        node -> {
          YamlFields element = of(file, node, errors);
          T value = parser.apply(element);
          element.reportUnknownFields();
          return value;
        });
  }

  /**
   * Returns the fields of a nested mapping, or nothing if the field is absent.
   *
   * <p>The caller has to call {@link #reportUnknownFields} on the result.
   */
  Optional<YamlFields> mapping(String field) {
    return valueNodes.containsKey(field)
        ? Optional.of(of(file, readValueNode(field), errors))
        : Optional.empty();
  }

  /** Reports an error for each field that no accessor has read so far. */
  void reportUnknownFields() {
    valueNodes.keySet().stream()
        .filter(name -> !accessedFields.contains(name))
        .forEach(name -> reportError(lineOf(name), "unknown field '" + name + "'"));
  }

  /** Adds an error at {@code errorLine} of this file. */
  void reportError(int errorLine, String message) {
    errors.add(new ServiceFileError(file, errorLine, message));
  }

  /** Returns the line of a field, or the first line of the mapping if the field is absent. */
  int lineOf(String field) {
    return fieldLines.getOrDefault(field, startLine);
  }

  /**
   * Returns {@code values} keyed by name, in the order of the list.
   *
   * <p>Reports an error if two values have the same name.
   */
  <T> ImmutableMap<String, T> indexByName(List<T> values, Function<T, String> nameOf) {
    Map<String, T> result = new LinkedHashMap<>();
    for (T value : values) {
      if (result.put(nameOf.apply(value), value) != null) {
        reportError(startLine, "duplicate name '" + nameOf.apply(value) + "'");
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
      // Reported below, like a number that is out of range.
    }
    reportError(lineOf(field), "'" + field + "' must be a whole number from " + min + " to " + max);
    return min;
  }

  private <T> ImmutableList<T> parseList(String field, Function<Node, T> elementParser) {
    if (!valueNodes.containsKey(field)) {
      return ImmutableList.of();
    }
    if (readValueNode(field) instanceof SequenceNode sequence) {
      return sequence.getValue().stream()
          .map(elementParser)
          .collect(ImmutableList.toImmutableList());
    }
    reportError(lineOf(field), "field '" + field + "' must be a list");
    return ImmutableList.of();
  }

  /** Returns the value of a field, or null if it is absent, and records the field as accessed. */
  private Node readValueNode(String field) {
    accessedFields.add(field);
    return valueNodes.get(field);
  }

  /** Returns the line on which {@code node} starts, from 1; 0 if the parser recorded none. */
  private static int lineOf(Node node) {
    return node.getStartMark().map(mark -> mark.getLine() + 1).orElse(0);
  }
}
