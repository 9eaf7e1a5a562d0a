package org.sassafraslink.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import java.util.UUID;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.connection.CallerLimits;
import org.sassafraslink.entry.process.CallerLimitSettings;
import org.sassafraslink.entry.process.CdsTrainingRun;
import org.sassafraslink.entry.process.EntryNode;
import org.sassafraslink.entry.process.EventLogs;
import org.sassafraslink.entry.process.FatalFailures;
import org.sassafraslink.entry.process.ListenFailedException;
import org.sassafraslink.platform.fleet.NodeSettingsFile;

/** The main class of the daemon {@code sassafraslink-entry}. */
public final class Main {
  /** Exit code if the settings file is not named or is invalid, or if an option is unknown. */
  private static final int EXIT_INVALID_SETTINGS = 2;

  private Main() {}

  /**
   * Starts the daemon, or executes the given option and exits; {@code --help} lists the options.
   * Exits with code 2 if the settings or the options are invalid, and with code 3 if an address is
   * in use or a thread ends by a failure.
   */
  public static void main(String[] args)
      throws ReflectiveOperationException, InterruptedException, IOException {
    Map<CallerLimitSettings, String> limits = limitsFromEnvironment();
    if (args.length > 0 && executeOption(args, limits)) {
      return;
    }
    Path file = settingsFile();
    NodeSettings settings = readSettings(file);
    CallerLimits callerLimits = callerLimits(limits, settings);
    EventLog log = EventLogs.create(settings.node());
    FatalFailures failures =
        FatalFailures.create(log, EventLogs::flush, Runtime.getRuntime()::halt);
    failures.watchAllThreads();
    HangUpSignalHandler.install(() -> logSettingsValidity(file, log));
    EntryNode node;
    try {
      node = EntryNode.start(settings, callerLimits, log, UUID.randomUUID().toString());
    } catch (ListenFailedException e) {
      failures.end(e.getMessage(), e.getCause());
      return;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
  }

  private static Map<CallerLimitSettings, String> limitsFromEnvironment() {
    Map<CallerLimitSettings, String> limits = new EnumMap<>(CallerLimitSettings.class);
    for (CallerLimitSettings setting : CallerLimitSettings.values()) {
      String value = System.getenv(setting.environmentVariable());
      if (value != null) {
        limits.put(setting, value);
      }
    }
    return limits;
  }

  /**
   * Executes the option in {@code args}, if there is one, and otherwise adds the limits in {@code
   * args} to {@code limits}. The option parser is used only here and not at a start without
   * arguments, because loading its classes would delay that start.
   *
   * @return whether there was an option
   */
  private static boolean executeOption(String[] args, Map<CallerLimitSettings, String> limits)
      throws InterruptedException, IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<Void> checkSettings =
        parser.accepts("check-settings", "check the settings file and exit");
    OptionSpec<Void> loadClasses =
        parser.accepts(
            "load-classes",
            "run the daemon briefly to record classes for the class data sharing archive, then exit");
    OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
    for (CallerLimitSettings setting : CallerLimitSettings.values()) {
      parser.accepts(setting.flag(), setting.description()).withRequiredArg();
    }
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_INVALID_SETTINGS);
      return true;
    }
    for (CallerLimitSettings setting : CallerLimitSettings.values()) {
      if (options.has(setting.flag())) {
        limits.put(setting, String.valueOf(options.valueOf(setting.flag())));
      }
    }
    if (options.has(checkSettings)) {
      NodeSettings settings = readSettings(settingsFile());
      callerLimits(limits, settings);
      System.out.println("The settings of " + settings.node() + " are valid.");
    } else if (options.has(loadClasses)) {
      CdsTrainingRun.run(EventLogs.create("class-loading"));
      System.exit(0);
    } else if (options.has(help)) {
      System.out.println(
          "sassafraslink-entry; the environment variable "
              + NodeSettingsFile.PATH_VARIABLE
              + " names its settings file");
      parser.printHelpOn(System.out);
    } else {
      return false;
    }
    return true;
  }

  private static CallerLimits callerLimits(
      Map<CallerLimitSettings, String> values, NodeSettings settings) {
    Either<ImmutableList<String>, CallerLimits> limits =
        CallerLimitSettings.parse(
            ImmutableMap.copyOf(values),
            Runtime.getRuntime().maxMemory(),
            settings.maxDescriptors());
    if (limits.isLeft()) {
      limits.getLeft().forEach(System.err::println);
      System.exit(EXIT_INVALID_SETTINGS);
    }
    return limits.get();
  }

  private static Path settingsFile() {
    String file = System.getenv(NodeSettingsFile.PATH_VARIABLE);
    if (file == null) {
      System.err.println(
          NodeSettingsFile.PATH_VARIABLE
              + ": this environment variable is not set; it must name the settings file");
      System.exit(EXIT_INVALID_SETTINGS);
    }
    return Path.of(file);
  }

  private static NodeSettings readSettings(Path file) {
    Either<ImmutableList<String>, NodeSettings> settings = NodeSettingsFile.read(file);
    if (settings.isLeft()) {
      settings.getLeft().forEach(System.err::println);
      System.exit(EXIT_INVALID_SETTINGS);
    }
    return settings.get();
  }

  /**
   * Reads the settings file again and logs whether it is valid. New values take effect only at the
   * next start, because addresses and limits are fixed while the process runs.
   */
  private static void logSettingsValidity(Path file, EventLog log) {
    Either<ImmutableList<String>, NodeSettings> settings = NodeSettingsFile.read(file);
    log.log(
        "settings.reloaded",
        "valid",
        settings.isRight(),
        "faults",
        settings.isLeft() ? settings.getLeft() : "none");
  }
}
