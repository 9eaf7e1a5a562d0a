package org.sassafraslink.cli;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.Locale;
import joptsimple.OptionSet;
import okhttp3.HttpUrl;

/**
 * The flags of the command line, with environment variables as a fallback.
 *
 * @param options the flags given on the command line
 * @param environment the environment variables of the process
 */
record Flags(OptionSet options, ImmutableMap<String, String> environment) {
  /**
   * A flag that has a value.
   *
   * <p>The name of the constant determines the flag and the environment variable: {@code RUN_MS} is
   * {@code --run-ms} and {@code SASSAFRASLINK_RUN_MS}.
   */
  enum Flag {
    ADMIN("URL of a daemon's administration and job API", "http://127.0.0.1:8081"),
    OPERATOR_KEY(
        "operator key; safer in the environment variable, because process lists show flags", ""),
    TEAM_KEY("team key; safer in the environment variable, because process lists show flags", ""),
    OUTPUT("output format: text or json", "text"),
    BASE("publish: the version that the files are based on", ""),
    CORES("submit: number of cores", "1"),
    MEMORY_MB("submit: memory in MB", "256"),
    ACCELERATORS("submit: number of accelerators", "0"),
    RUN_MS("submit: declared run time in ms", "1000"),
    ID("submit: id of the job; submitting the same id again does not create a second job", "");

    private final String description;
    private final String defaultValue;

    Flag(String description, String defaultValue) {
      this.description = description;
      this.defaultValue = defaultValue;
    }

    String flagName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    String environmentVariable() {
      return "SASSAFRASLINK_" + name();
    }

    /** Returns the description for the help text, which ends with the environment variable. */
    String description() {
      return description + " [" + environmentVariable() + "]";
    }
  }

  private static final ImmutableSet<String> OUTPUT_FORMATS = ImmutableSet.of("text", "json");

  /** Returns these flags, or a usage error if a value is invalid for every command. */
  Either<CommandFailure, Flags> check() {
    if (!OUTPUT_FORMATS.contains(text(Flag.OUTPUT))) {
      return invalid(Flag.OUTPUT, "must be text or json");
    }
    if (HttpUrl.parse(text(Flag.ADMIN)) == null) {
      return invalid(Flag.ADMIN, "must be a URL that begins with http:// or https://");
    }
    return Either.right(this);
  }

  private Either<CommandFailure, Flags> invalid(Flag flag, String rule) {
    String message = "--" + flag.flagName() + " = '" + text(flag) + "': " + rule + ".";
    return Either.left(CommandFailure.of(ExitCode.USAGE, message));
  }

  /** Returns the value of a flag, else of its environment variable, else its default. */
  String text(Flag flag) {
    return options.has(flag.flagName())
        ? String.valueOf(options.valueOf(flag.flagName()))
        : environment.getOrDefault(flag.environmentVariable(), flag.defaultValue);
  }

  /**
   * Returns the value of a flag as a number.
   *
   * @throws NumberFormatException if the value is not a whole number
   */
  long number(Flag flag) {
    return Long.parseLong(text(flag));
  }

  /** Returns whether a flag without a value, such as {@code no-wait}, is on the command line. */
  boolean isSet(String flagName) {
    return options.has(flagName);
  }
}
