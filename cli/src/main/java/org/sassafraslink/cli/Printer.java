package org.sassafraslink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Locale;
import org.sassafraslink.api.Json;

/**
 * Prints the results of commands as text for people or as JSON for programs.
 *
 * <p>Failures and progress go to a stream of their own, so that they never mix with JSON output.
 */
final class Printer {
  private final boolean jsonOutput;
  private final PrintStream out;
  private final PrintStream err;

  Printer(boolean jsonOutput, PrintStream out, PrintStream err) {
    this.jsonOutput = jsonOutput;
    this.out = out;
    this.err = err;
  }

  /** Prints {@code node} if the output format is JSON, else {@code text}. */
  void print(JsonNode node, String text) {
    out.println(jsonOutput ? node.toPrettyString() : text.stripTrailing());
  }

  /** Prints {@code value} as Jackson writes it if the output format is JSON, else {@code text}. */
  void print(Object value, String text) {
    print(Json.mapper().<JsonNode>valueToTree(value), text);
  }

  void printProgress(String line) {
    err.println(line);
  }

  void printFailure(CommandFailure failure) {
    failure.messages().forEach(err::println);
  }

  /** Formats changes of a configuration, one line for each field. */
  static String formatChanges(JsonNode changes) {
    StringBuilder text = new StringBuilder();
    for (JsonNode change : changes) {
      text.append(
          String.format(
              Locale.ROOT,
              "  %s: '%s' -> '%s'%n",
              change.get("field").asText(),
              change.get("before").asText(),
              change.get("after").asText()));
    }
    return text.toString();
  }

  /** Formats the answer of {@code /v1/status}. */
  static String formatStatus(JsonNode status) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "daemon %s: version in force %d, newest known version %d, store %s%n",
            status.get("daemon").asText(),
            status.get("versionInForce").asLong(),
            status.get("versionKnown").asLong(),
            status.get("storeReachable").asBoolean() ? "reachable" : "unreachable"));
    for (JsonNode member : status.get("members")) {
      text.append(
          String.format(
              Locale.ROOT,
              "  member %s: zone %s, standing %s, newest known version %d%n",
              member.get("id").asText(),
              member.get("zone").asText(),
              member.get("standing").asText(),
              member.get("versionKnown").asLong()));
    }
    for (JsonNode pool : status.get("pools")) {
      text.append(
          String.format(
              Locale.ROOT,
              "pool %s: %d of %d VMs%s%n",
              pool.get("name").asText(),
              pool.get("vms").size(),
              pool.get("size").asInt(),
              pool.get("spare").asBoolean() ? " (spare)" : ""));
      for (JsonNode vm : pool.get("vms")) {
        text.append(
            String.format(
                Locale.ROOT,
                "  vm %s: zone %s, phase %s, listed by the platform as %s%n",
                vm.get("id").asText(),
                vm.get("zone").asText(),
                vm.get("phase").asText(),
                vm.get("listed").asText()));
      }
    }
    for (JsonNode team : status.get("teams")) {
      text.append(
          String.format(
              Locale.ROOT,
              "team %s: share %d, limit %d, %d permits allocated (%d of them to jobs)%n",
              team.get("name").asText(),
              team.get("share").asInt(),
              team.get("limit").asInt(),
              team.get("allotted").asInt(),
              team.get("jobs").asInt()));
    }
    for (JsonNode wave : status.get("waves")) {
      text.append(
          String.format(
              Locale.ROOT,
              "wave %s generation %d: %d of %d VMs done%n",
              wave.get("plan").asText(),
              wave.get("generation").asInt(),
              wave.get("done").asInt(),
              wave.get("total").asInt()));
    }
    return text.toString();
  }

  /** Formats a job as one line: id, team, state, worker if it has one, and reason of its state. */
  static String formatJob(JsonNode job) {
    return String.format(
        Locale.ROOT,
        "%s %s %s%s %s",
        job.get("id").asText(),
        job.get("team").asText(),
        job.get("state").asText(),
        job.get("worker").isNull() ? "" : " on " + job.get("worker").asText(),
        job.get("reason").asText());
  }

  /** Formats the answer of {@code /v1/audit}: one paragraph for each accepted version. */
  static String formatAuditLog(JsonNode entries) {
    StringBuilder text = new StringBuilder();
    for (JsonNode entry : entries) {
      text.append(
          String.format(
              Locale.ROOT,
              "version %d by %s at %s%n%s",
              entry.get("version").asLong(),
              entry.get("author").asText(),
              Instant.ofEpochMilli(entry.get("atMillis").asLong()),
              formatChanges(entry.get("changes"))));
    }
    return text.toString();
  }
}
