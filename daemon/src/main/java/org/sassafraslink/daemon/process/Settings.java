package org.sassafraslink.daemon.process;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.sassafraslink.api.Digests;

/** The validated settings of a daemon. */
public final class Settings {
  private final ImmutableMap<Setting, String> values;
  private final ImmutableMap<String, String> operators;

  private Settings(ImmutableMap<Setting, String> values, ImmutableMap<String, String> operators) {
    this.values = values;
    this.operators = operators;
  }

  /** Creates the parser of the daemon's command-line flags, which also prints their help. */
  static OptionParser parser() {
    OptionParser parser = new OptionParser();
    for (Setting setting : Setting.values()) {
      parser.accepts(setting.flag(), setting.description()).withRequiredArg();
    }
    parser.accepts("help", "prints this help");
    parser.accepts("version", "prints the version");
    parser.accepts("check-settings", "checks the settings and exits");
    return parser;
  }

  /**
   * Reads the settings from flags and environment variables.
   *
   * @return the settings, or all errors found, as sentences for the operator
   */
  static Either<ImmutableList<String>, Settings> parse(
      String[] args, Map<String, String> environment) {
    OptionSet options;
    try {
      options = parser().parse(args);
    } catch (OptionException e) {
      return Either.left(ImmutableList.of(e.getMessage() + "."));
    }
    List<String> errors = new ArrayList<>();
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    for (Setting setting : Setting.values()) {
      String value =
          options.has(setting.flag())
              ? String.valueOf(options.valueOf(setting.flag()))
              : environment.getOrDefault(setting.environmentVariable(), setting.defaultValue());
      setting.findError(value).ifPresent(errors::add);
      values.put(setting, value);
    }
    ImmutableMap<String, String> operators = parseOperators(values.get(Setting.OPERATORS), errors);
    return errors.isEmpty()
        ? Either.right(new Settings(ImmutableMap.copyOf(values), operators))
        : Either.left(ImmutableList.copyOf(errors));
  }

  /**
   * Parses the value of {@link Setting#OPERATORS}. Adds a sentence to {@code errors} for each
   * invalid entry; of several entries with one name, the last counts.
   */
  private static ImmutableMap<String, String> parseOperators(String value, List<String> errors) {
    ImmutableMap.Builder<String, String> result = ImmutableMap.builder();
    for (String entry : Splitter.on(',').omitEmptyStrings().split(value)) {
      int equals = entry.indexOf('=');
      String digest = entry.substring(equals + 1);
      if (equals < 1 || !Digests.isWellFormed(digest)) {
        errors.add(
            "--operators contains '" + entry + "' but must have the form name=sha256:digest.");
        continue;
      }
      result.put(entry.substring(0, equals), digest);
    }
    return result.buildKeepingLast();
  }

  /** Returns the value of a setting as text. */
  String text(Setting setting) {
    return values.get(setting);
  }

  /** Returns the value of an integer setting. */
  int integer(Setting setting) {
    return Integer.parseInt(values.get(setting));
  }

  /** Returns the value of a setting whose unit is milliseconds. */
  Duration duration(Setting setting) {
    return Duration.ofMillis(integer(setting));
  }

  /** Returns the digest of each operator's key, by the name of the operator. */
  ImmutableMap<String, String> operators() {
    return operators;
  }
}
