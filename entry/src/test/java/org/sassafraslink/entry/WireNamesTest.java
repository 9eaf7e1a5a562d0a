package org.sassafraslink.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Only the module platform may write the platform's names; all others use the project's types. */
class WireNamesTest {
  private static final Path ROOT = Path.of("..");

  /** Names of calls, headers, fields and settings that the platform defines, as text in quotes. */
  private static final Pattern WIRE_NAME =
      Pattern.compile(
          "\"[^\"]*(rows-tx|rows-get|rows-feed|run-start|run-stop|/hold|/pace|/advise"
              + "|machine-move|machine-upkeep|fencingToken|lastSeen|deadlineMs|schemaVersion"
              + "|expectedRevision|antiAffinity|longRunning|maxUnavailable|estimatedMs"
              + "|checkpointing|slackFactor|targetLatencyMs|admissionCheck|maxAttempts"
              + "|coldRemainingMs|X-Sassafraslink|op/config|op/wave|SASSAFRASLINK_NODE_FILE"
              + "|portRange|nodeName)[^\"]*\"");

  private static List<String> linesWithWireNames(String module) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
      List<Path> sources = files.filter(file -> file.toString().endsWith(".java")).toList();
      assertTrue(!sources.isEmpty(), "module " + module + " has sources");
      return sources.stream().flatMap(WireNamesTest::wireNamesIn).toList();
    }
  }

  private static Stream<String> wireNamesIn(Path source) {
    try {
      return Files.readAllLines(source).stream()
          .filter(line -> WIRE_NAME.matcher(line).find())
          .map(line -> source.getFileName() + ": " + line.strip());
    } catch (IOException e) {
      throw new IllegalStateException("cannot read " + source, e);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"api", "rules", "scheduler", "entry", "daemon", "cli"})
  void otherModulesDoNotWriteThem(String module) throws IOException {
    assertEquals(List.of(), linesWithWireNames(module));
  }

  @Test
  void platformWritesThem() throws IOException {
    assertTrue(linesWithWireNames("platform").size() > 20, "the names are looked for rightly");
  }
}
