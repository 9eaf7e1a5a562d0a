package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Set;

/** The main class of the daemon {@code sassafraslinkd}. */
public final class Main {
  /** Exit code if the settings are invalid. */
  private static final int INVALID_SETTINGS_EXIT_CODE = 2;

  private static final String VERSION = "0.1.0";

  private Main() {}

  /**
   * Starts the daemon. Exits with code 2 if the settings are invalid, after printing each error to
   * standard error.
   */
  public static void main(String[] args) throws IOException {
    Set<String> flags = Set.of(args);
    if (flags.contains("--help")) {
      Settings.parser().printHelpOn(System.out);
      return;
    }
    if (flags.contains("--version")) {
      System.out.println("sassafraslinkd " + VERSION);
      return;
    }
    Either<ImmutableList<String>, Settings> settings = Settings.parse(args, System.getenv());
    if (settings.isLeft()) {
      settings.getLeft().forEach(System.err::println);
      System.exit(INVALID_SETTINGS_EXIT_CODE);
    }
    if (flags.contains("--check-settings")) {
      System.out.println("The settings are valid.");
      return;
    }
    run(settings.get());
  }

  private static void run(Settings settings) {
    // Must be set before the first logger is created: logback.xml reads it then.
    System.setProperty("sassafraslink.log", settings.text(Setting.LOG_FORMAT));
    Daemon daemon = Daemon.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
  }
}
