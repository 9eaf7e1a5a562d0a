package org.sassafraslink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.AuditEntry.Change;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.cli.Flags.Flag;
import org.sassafraslink.config.ConfigDiff;

/**
 * Runs the commands of the tool.
 *
 * <p>Each command prints its result and returns an exit code, or returns a failure for the caller
 * to print.
 */
final class Commands {
  private static final long STATUS_POLL_INTERVAL_MILLIS = 250;
  private static final int MAX_STATUS_POLLS = 60;

  private final Printer printer;
  private final Flags flags;

  private Commands(Printer printer, Flags flags) {
    this.printer = printer;
    this.flags = flags;
  }

  static Commands create(Printer printer, Flags flags) {
    return new Commands(printer, flags);
  }

  /** Runs {@code command} with the positional arguments that follow it on the command line. */
  Either<CommandFailure, ExitCode> runCommand(String command, List<String> arguments) {
    try {
      return switch (command) {
        case "check" -> requireArgument(arguments, 0).flatMap(this::checkFiles);
        case "gather" -> requireArgument(arguments, 0).flatMap(this::printConfig);
        case "diff" -> requireArgument(arguments, 0).flatMap(this::compareWithCurrentConfig);
        case "publish" -> requireArgument(arguments, 0).flatMap(this::publishFiles);
        case "status" -> fetchAndPrint("/v1/status", Printer::formatStatus);
        case "audit" -> fetchAndPrint("/v1/audit", Printer::formatAuditLog);
        case "submit" -> requireArgument(arguments, 0).flatMap(this::submitJob);
        case "jobs" -> listJobs();
        case "cancel" -> requireArgument(arguments, 0).flatMap(this::cancelJob);
        case "keys" -> runKeysAction(arguments);
        case "explain" -> explain(arguments);
        default -> usageError("Unknown command '" + command + "'; see --help.");
      };
    } catch (NumberFormatException e) {
      return usageError("The value of a flag must be a whole number: " + e.getMessage() + ".");
    }
  }

  private Either<CommandFailure, ExitCode> checkFiles(String folder) {
    return ServiceFileReader.readConfig(Path.of(folder))
        .map(config -> printResult(config, "The files are valid: " + summarize(config)));
  }

  private Either<CommandFailure, ExitCode> printConfig(String folder) {
    return ServiceFileReader.readConfig(Path.of(folder))
        .map(
            config ->
                printResult(config, Json.mapper().<JsonNode>valueToTree(config).toPrettyString()));
  }

  private Either<CommandFailure, ExitCode> compareWithCurrentConfig(String folder) {
    return ServiceFileReader.readConfig(Path.of(folder))
        .flatMap(
            config ->
                fetchCurrentConfig()
                    .map(
                        current -> {
                          ImmutableList<Change> changes =
                              ConfigDiff.between(current.config(), config);
                          String text =
                              "Changes from version "
                                  + current.version()
                                  + " to the files:\n"
                                  + Printer.formatChanges(Json.mapper().valueToTree(changes));
                          printer.print(changes, text);
                          return changes.isEmpty() ? ExitCode.OK : ExitCode.FILES_DIFFER;
                        }));
  }

  /** The newest accepted version of the configuration that the called daemon knows. */
  private record CurrentConfig(long version, FleetConfig config) {}

  private Either<CommandFailure, CurrentConfig> fetchCurrentConfig() {
    return adminClient()
        .get("/v1/config")
        .map(
            node ->
                new CurrentConfig(
                    node.get("version").asLong(),
                    Json.mapper().convertValue(node.get("config"), FleetConfig.class)));
  }

  private Either<CommandFailure, ExitCode> publishFiles(String folder) {
    Path folderPath = Path.of(folder);
    return ServiceFileReader.readConfig(folderPath)
        .flatMap(
            config ->
                chooseBaseVersion(folderPath)
                    .flatMap(
                        baseVersion ->
                            adminClient().post("/v1/config", publishBody(baseVersion, config)))
                    .flatMap(answer -> finishPublish(folderPath, answer)));
  }

  private static Map<String, Object> publishBody(long baseVersion, FleetConfig config) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("base", baseVersion);
    body.put("config", config);
    return body;
  }

  /**
   * Returns the version on which the operator's files are based: the value of {@code --base}, else
   * the version that the last publish from {@code folder} saved, else 0 if nothing was published.
   *
   * <p>Fails if neither is given and there is a current version. Using the current version as the
   * base could undo changes that other operators published after these files were written.
   */
  private Either<CommandFailure, Long> chooseBaseVersion(Path folder) {
    if (!flags.text(Flag.BASE).isEmpty()) {
      return Either.right(flags.number(Flag.BASE));
    }
    Optional<Long> saved = ServiceFileReader.readBaseVersion(folder);
    if (saved.isPresent()) {
      return Either.right(saved.get());
    }
    return fetchCurrentConfig()
        .flatMap(
            current ->
                current.version() == 0
                    ? Either.right(0L)
                    : Either.left(
                        CommandFailure.of(
                            ExitCode.USAGE,
                            "Set --base to the version that these files are based on. Version "
                                + current.version()
                                + " is the current version.")));
  }

  /**
   * Saves the accepted version in {@code folder} as the base of the next publish, prints the
   * changes, and waits until all daemons know the version unless {@code --no-wait} is given.
   *
   * @param answer the daemon's answer, with the accepted version and its changes
   */
  private Either<CommandFailure, ExitCode> finishPublish(Path folder, JsonNode answer) {
    long version = answer.get("version").asLong();
    try {
      ServiceFileReader.writeBaseVersion(folder, version);
    } catch (IOException e) {
      printer.printProgress(
          "Cannot save the accepted version in " + folder + "; use --base for the next publish.");
    }
    printer.print(
        answer,
        "Version " + version + " is accepted.\n" + Printer.formatChanges(answer.get("changes")));
    return flags.isSet("no-wait") ? Either.right(ExitCode.OK) : waitUntilKnownByAllDaemons(version);
  }

  /**
   * Polls the status of the called daemon, at most {@link #MAX_STATUS_POLLS} times, until all
   * daemons know {@code version}.
   */
  private Either<CommandFailure, ExitCode> waitUntilKnownByAllDaemons(long version) {
    for (int i = 0; i < MAX_STATUS_POLLS; i++) {
      Either<CommandFailure, JsonNode> status = adminClient().get("/v1/status");
      if (status.isRight()) {
        int total = status.get().get("members").size();
        int daemonsWithVersion = 0;
        for (JsonNode member : status.get().get("members")) {
          daemonsWithVersion += member.get("versionKnown").asLong() >= version ? 1 : 0;
        }
        printer.printProgress(
            "Version "
                + version
                + " is known to "
                + daemonsWithVersion
                + " of "
                + total
                + " daemons.");
        if (daemonsWithVersion == total) {
          return Either.right(ExitCode.OK);
        }
      }
      sleepBetweenPolls();
    }
    return Either.left(
        CommandFailure.of(
            ExitCode.OUTCOME_UNKNOWN,
            "Version "
                + version
                + " is accepted, but it is unknown whether all daemons know it; see status."));
  }

  private Either<CommandFailure, ExitCode> submitJob(String queue) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("queue", queue);
    body.put("cores", flags.number(Flag.CORES));
    body.put("memoryMb", flags.number(Flag.MEMORY_MB));
    body.put("accelerators", flags.number(Flag.ACCELERATORS));
    body.put("runMillis", flags.number(Flag.RUN_MS));
    body.put("rerunnable", !flags.isSet("not-rerunnable"));
    body.put("id", flags.text(Flag.ID).isEmpty() ? null : flags.text(Flag.ID));
    return jobClient().post("/jobs", body).map(job -> printResult(job, Printer.formatJob(job)));
  }

  private Either<CommandFailure, ExitCode> listJobs() {
    return jobClient()
        .get("/jobs")
        .map(
            jobs -> {
              StringBuilder text = new StringBuilder();
              jobs.forEach(job -> text.append(Printer.formatJob(job)).append('\n'));
              return printResult(jobs, text.toString());
            });
  }

  private Either<CommandFailure, ExitCode> cancelJob(String jobId) {
    return jobClient()
        .delete("/jobs/" + jobId)
        .map(job -> printResult(job, Printer.formatJob(job)));
  }

  private Either<CommandFailure, ExitCode> runKeysAction(List<String> arguments) {
    return requireArgument(arguments, 0)
        .flatMap(
            action ->
                switch (action) {
                  case "make" ->
                      requireArgument(arguments, 1)
                          .map(id -> printNewKey(TeamKeyFiles.generateKey(id)));
                  case "grant" ->
                      requireArgument(arguments, 2)
                          .flatMap(
                              id -> {
                                TeamKeyFiles.NewKey key = TeamKeyFiles.generateKey(id);
                                return TeamKeyFiles.addKey(Path.of(arguments.get(1)), key)
                                    .map(file -> printNewKey(key));
                              });
                  case "withdraw" ->
                      requireArgument(arguments, 2)
                          .flatMap(id -> TeamKeyFiles.removeKey(Path.of(arguments.get(1)), id))
                          .map(
                              file ->
                                  printResult(
                                      file.toString(), file + " no longer contains the key."));
                  default -> usageError("Unknown action '" + action + "' of keys; see --help.");
                });
  }

  private ExitCode printNewKey(TeamKeyFiles.NewKey key) {
    return printResult(key, "key: " + key.key() + "\ndigest: " + key.digest());
  }

  private Either<CommandFailure, ExitCode> explain(List<String> arguments) {
    return requireArgument(arguments, 1)
        .flatMap(
            idOrService ->
                switch (arguments.get(0)) {
                  case "vm" -> fetchAndPrintReasons("/v1/explain/vm/" + idOrService);
                  case "job" -> fetchAndPrintReasons("/v1/explain/job/" + idOrService);
                  case "request" ->
                      requireArgument(arguments, 2)
                          .flatMap(
                              queue ->
                                  fetchAndPrintReasons(
                                      explainRequestPath(idOrService, queue, arguments)));
                  default ->
                      usageError(
                          "The first argument of explain must be vm, job or request; see --help.");
                });
  }

  private static String explainRequestPath(String service, String queue, List<String> arguments) {
    String path = "/v1/explain/request?service=" + service + "&queue=" + queue;
    int keyIndex = 3;
    return arguments.size() > keyIndex ? path + "&key=" + arguments.get(keyIndex) : path;
  }

  private Either<CommandFailure, ExitCode> fetchAndPrintReasons(String path) {
    return adminClient()
        .get(path)
        .map(
            node -> {
              StringBuilder text = new StringBuilder();
              node.get("reasons").forEach(reason -> text.append(reason.asText()).append('\n'));
              return printResult(node, text.toString());
            });
  }

  /** Formats the JSON answer of a daemon as text for people. */
  @FunctionalInterface
  private interface Formatter {
    String format(JsonNode node);
  }

  private Either<CommandFailure, ExitCode> fetchAndPrint(String path, Formatter formatter) {
    return adminClient().get(path).map(node -> printResult(node, formatter.format(node)));
  }

  private ExitCode printResult(Object value, String text) {
    printer.print(value, text);
    return ExitCode.OK;
  }

  private DaemonClient adminClient() {
    return DaemonClient.forOperator(flags.text(Flag.ADMIN), flags.text(Flag.OPERATOR_KEY));
  }

  private DaemonClient jobClient() {
    return DaemonClient.forTeam(flags.text(Flag.ADMIN), flags.text(Flag.TEAM_KEY));
  }

  /** Returns the argument at {@code index}, or a usage error if it is missing. */
  private static Either<CommandFailure, String> requireArgument(List<String> arguments, int index) {
    return index < arguments.size()
        ? Either.right(arguments.get(index))
        : Either.left(
            CommandFailure.of(
                ExitCode.USAGE, "An argument of the command is missing; see --help."));
  }

  private static <T> Either<CommandFailure, T> usageError(String message) {
    return Either.left(CommandFailure.of(ExitCode.USAGE, message));
  }

  private static String summarize(FleetConfig config) {
    return String.format(
        "%d pools, %d services, %d job queues, %d teams, %d maintenance plans.",
        config.pools().size(),
        config.services().size(),
        config.jobQueues().size(),
        config.teams().size(),
        config.plans().size());
  }

  private static void sleepBetweenPolls() {
    try {
      Thread.sleep(STATUS_POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
