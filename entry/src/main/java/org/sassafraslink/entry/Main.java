package org.sassafraslink.entry;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.ClassLoading;
import org.sassafraslink.entry.process.EntryNode;
import org.sassafraslink.entry.process.EventLogs;
import org.sassafraslink.platform.fleet.NodeFile;

/** The daemon {@code sassafraslink-entry}. */
public final class Main {
  /** Exit code for settings that are refused. */
  private static final int BAD_SETTINGS = 2;

  private Main() {}

  /**
   * Starts the daemon, or refuses its settings with exit code 2. With {@code --check-settings} it
   * only checks them; with {@code --load-classes} it starts and stops, for the class-data archive.
   */
  public static void main(String[] args) throws ReflectiveOperationException, InterruptedException {
    if (List.of(args).contains("--load-classes")) {
      ClassLoading.run(EventLogs.create("class-loading"));
      System.exit(0);
    }
    String file = System.getenv(NodeFile.PATH_VARIABLE);
    if (file == null) {
      System.err.println(NodeFile.PATH_VARIABLE + ": must name the settings file");
      System.exit(BAD_SETTINGS);
      return;
    }
    Either<ImmutableList<String>, NodeSettings> settings = NodeFile.read(Path.of(file));
    if (settings.isLeft()) {
      settings.getLeft().forEach(System.err::println);
      System.exit(BAD_SETTINGS);
      return;
    }
    if (List.of(args).contains("--check-settings")) {
      System.out.println("The settings are valid.");
      return;
    }
    EventLog log = EventLogs.create(settings.get().node());
    HangUp.handle(() -> reload(Path.of(file), log));
    EntryNode node = EntryNode.start(settings.get(), log, UUID.randomUUID().toString());
    Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "stop"));
  }

  /** What the file says of addresses and bounds holds for the life of a process. */
  private static void reload(Path file, EventLog log) {
    Either<ImmutableList<String>, NodeSettings> read = NodeFile.read(file);
    log.log(
        "settings.reloaded",
        "valid",
        read.isRight(),
        "faults",
        read.isLeft() ? read.getLeft() : "none");
  }
}
