package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Set;

/** The daemon {@code sassafraslinkd}. */
public final class Main {
  /** Exit code for settings that are refused. */
  private static final int BAD_SETTINGS = 2;

  private static final String VERSION = "0.1.0";

  private Main() {}

  /** Starts the daemon, or refuses its settings with exit code 2. */
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
      System.exit(BAD_SETTINGS);
    }
    if (flags.contains("--check-settings")) {
      System.out.println("The settings are valid.");
      return;
    }
    run(settings.get());
  }

  private static void run(Settings settings) {
    // Read by logback.xml when the first logger is made.
    System.setProperty("sassafraslink.log", settings.text(Setting.LOG_FORMAT));
    Node node = Node.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
  }
}
