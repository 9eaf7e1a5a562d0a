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

/** The commands of the tool. */
final class Commands {
  private static final long POLL_MILLIS = 250;
  private static final int POLLS = 60;

  private final Printer printer;
  private final Flags flags;

  private Commands(Printer printer, Flags flags) {
    this.printer = printer;
    this.flags = flags;
  }

  static Commands create(Printer printer, Flags flags) {
    return new Commands(printer, flags);
  }

  Either<ToolFailure, ExitCode> run(String command, List<String> arguments) {
    try {
      return switch (command) {
        case "check" -> argument(arguments, 0).flatMap(this::check);
        case "gather" -> argument(arguments, 0).flatMap(this::gather);
        case "diff" -> argument(arguments, 0).flatMap(this::diff);
        case "publish" -> argument(arguments, 0).flatMap(this::publish);
        case "status" -> show("/v1/status", Printer::status);
        case "audit" -> show("/v1/audit", Printer::audit);
        case "submit" -> argument(arguments, 0).flatMap(this::submit);
        case "jobs" -> jobs();
        case "cancel" -> argument(arguments, 0).flatMap(this::cancel);
        case "keys" -> keys(arguments);
        case "explain" -> explain(arguments);
        default -> usage("Unknown command '" + command + "'; see --help.");
      };
    } catch (NumberFormatException e) {
      return usage("A flag needs a whole number: " + e.getMessage() + ".");
    }
  }

  private Either<ToolFailure, ExitCode> check(String folder) {
    return FileGatherer.gather(Path.of(folder))
        .map(config -> done(config, "The files are valid: " + summary(config)));
  }

  private Either<ToolFailure, ExitCode> gather(String folder) {
    return FileGatherer.gather(Path.of(folder))
        .map(config -> done(config, Json.mapper().<JsonNode>valueToTree(config).toPrettyString()));
  }

  private Either<ToolFailure, ExitCode> diff(String folder) {
    return FileGatherer.gather(Path.of(folder))
        .flatMap(
            config ->
                inForce()
                    .map(
                        current -> {
                          ImmutableList<Change> changes =
                              ConfigDiff.between(current.config(), config);
                          String text =
                              "against version "
                                  + current.version()
                                  + "\n"
                                  + Printer.changes(Json.mapper().valueToTree(changes));
                          printer.print(changes, text);
                          return changes.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
                        }));
  }

  private record Current(long version, FleetConfig config) {}

  private Either<ToolFailure, Current> inForce() {
    return admin()
        .get("/v1/config")
        .map(
            node ->
                new Current(
                    node.get("version").asLong(),
                    Json.mapper().convertValue(node.get("config"), FleetConfig.class)));
  }

  private Either<ToolFailure, ExitCode> publish(String folder) {
    Path path = Path.of(folder);
    return FileGatherer.gather(path)
        .flatMap(
            config ->
                base(path)
                    .flatMap(base -> admin().post("/v1/config", body(base, config)))
                    .flatMap(accepted -> accepted(path, accepted)));
  }

  private static Map<String, Object> body(long base, FleetConfig config) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("base", base);
    body.put("config", config);
    return body;
  }

  /** The version that the operator had read: given, noted by an earlier publish, or the first. */
  private Either<ToolFailure, Long> base(Path folder) {
    if (!flags.text(Flag.BASE).isEmpty()) {
      return Either.right(flags.number(Flag.BASE));
    }
    Optional<Long> noted = FileGatherer.base(folder);
    if (noted.isPresent()) {
      return Either.right(noted.get());
    }
    return inForce()
        .flatMap(
            current ->
                current.version() == 0
                    ? Either.right(0L)
                    : Either.left(
                        ToolFailure.of(
                            ExitCode.USAGE,
                            "Give --base: the version that these files are based on; version "
                                + current.version()
                                + " is in force.")));
  }

  private Either<ToolFailure, ExitCode> accepted(Path folder, JsonNode accepted) {
    long version = accepted.get("version").asLong();
    try {
      FileGatherer.writeBase(folder, version);
    } catch (IOException e) {
      printer.progress("The base version could not be noted below " + folder + ".");
    }
    printer.print(
        accepted,
        "Version " + version + " is accepted.\n" + Printer.changes(accepted.get("changes")));
    return flags.has("no-wait") ? Either.right(ExitCode.OK) : waitInForce(version);
  }

  private Either<ToolFailure, ExitCode> waitInForce(long version) {
    for (int i = 0; i < POLLS; i++) {
      Either<ToolFailure, JsonNode> status = admin().get("/v1/status");
      if (status.isRight()) {
        int total = status.get().get("members").size();
        int knowing = 0;
        for (JsonNode member : status.get().get("members")) {
          knowing += member.get("versionKnown").asLong() >= version ? 1 : 0;
        }
        printer.progress("Version " + version + " is at " + knowing + " of " + total + " daemons.");
        if (knowing == total) {
          return Either.right(ExitCode.OK);
        }
      }
      pause();
    }
    return Either.left(
        ToolFailure.of(
            ExitCode.OUTCOME_UNKNOWN,
            "Version "
                + version
                + " is accepted, but not every daemon has confirmed it; see status."));
  }

  private Either<ToolFailure, ExitCode> submit(String queue) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("queue", queue);
    body.put("cores", flags.number(Flag.CORES));
    body.put("memoryMb", flags.number(Flag.MEMORY_MB));
    body.put("accelerators", flags.number(Flag.ACCELERATORS));
    body.put("runMillis", flags.number(Flag.RUN_MS));
    body.put("rerunnable", !flags.has("not-rerunnable"));
    body.put("id", flags.text(Flag.ID).isEmpty() ? null : flags.text(Flag.ID));
    return jobApi().post("/jobs", body).map(job -> done(job, Printer.job(job)));
  }

  private Either<ToolFailure, ExitCode> jobs() {
    return jobApi()
        .get("/jobs")
        .map(
            jobs -> {
              StringBuilder text = new StringBuilder();
              jobs.forEach(job -> text.append(Printer.job(job)).append('\n'));
              return done(jobs, text.toString());
            });
  }

  private Either<ToolFailure, ExitCode> cancel(String id) {
    return jobApi().delete("/jobs/" + id).map(job -> done(job, Printer.job(job)));
  }

  private Either<ToolFailure, ExitCode> keys(List<String> arguments) {
    return argument(arguments, 0)
        .flatMap(
            action ->
                switch (action) {
                  case "make" -> argument(arguments, 1).map(id -> shown(TeamKeys.make(id)));
                  case "grant" ->
                      argument(arguments, 2)
                          .flatMap(
                              id -> {
                                TeamKeys.NewKey key = TeamKeys.make(id);
                                return TeamKeys.grant(Path.of(arguments.get(1)), key)
                                    .map(file -> shown(key));
                              });
                  case "withdraw" ->
                      argument(arguments, 2)
                          .flatMap(id -> TeamKeys.withdraw(Path.of(arguments.get(1)), id))
                          .map(file -> done(file.toString(), file + " no longer has the key."));
                  default -> usage("Unknown action '" + action + "' of keys.");
                });
  }

  private ExitCode shown(TeamKeys.NewKey key) {
    return done(key, "key: " + key.key() + "\ndigest: " + key.digest());
  }

  private Either<ToolFailure, ExitCode> explain(List<String> arguments) {
    return argument(arguments, 1)
        .flatMap(
            first ->
                switch (arguments.get(0)) {
                  case "vm" -> reasons("/v1/explain/vm/" + first);
                  case "job" -> reasons("/v1/explain/job/" + first);
                  case "request" ->
                      argument(arguments, 2)
                          .flatMap(queue -> reasons(requestPath(first, queue, arguments)));
                  default -> usage("explain takes vm, job or request.");
                });
  }

  private static String requestPath(String service, String queue, List<String> arguments) {
    String path = "/v1/explain/request?service=" + service + "&queue=" + queue;
    int keyIndex = 3;
    return arguments.size() > keyIndex ? path + "&key=" + arguments.get(keyIndex) : path;
  }

  private Either<ToolFailure, ExitCode> reasons(String path) {
    return admin()
        .get(path)
        .map(
            node -> {
              StringBuilder text = new StringBuilder();
              node.get("reasons").forEach(reason -> text.append(reason.asText()).append('\n'));
              return done(node, text.toString());
            });
  }

  @FunctionalInterface
  private interface Formatter {
    String format(JsonNode node);
  }

  private Either<ToolFailure, ExitCode> show(String path, Formatter formatter) {
    return admin().get(path).map(node -> done(node, formatter.format(node)));
  }

  private ExitCode done(Object value, String text) {
    printer.print(value, text);
    return ExitCode.OK;
  }

  private HttpApi admin() {
    return HttpApi.admin(flags.text(Flag.ADMIN), flags.text(Flag.OPERATOR_KEY));
  }

  private HttpApi jobApi() {
    return HttpApi.jobs(flags.text(Flag.ADMIN), flags.text(Flag.TEAM_KEY));
  }

  private static Either<ToolFailure, String> argument(List<String> arguments, int index) {
    return index < arguments.size()
        ? Either.right(arguments.get(index))
        : Either.left(
            ToolFailure.of(ExitCode.USAGE, "The command needs more arguments; see --help."));
  }

  private static <T> Either<ToolFailure, T> usage(String message) {
    return Either.left(ToolFailure.of(ExitCode.USAGE, message));
  }

  private static String summary(FleetConfig config) {
    return String.format(
        "%d pools, %d services, %d job queues, %d teams, %d plans.",
        config.pools().size(),
        config.services().size(),
        config.jobQueues().size(),
        config.teams().size(),
        config.plans().size());
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
