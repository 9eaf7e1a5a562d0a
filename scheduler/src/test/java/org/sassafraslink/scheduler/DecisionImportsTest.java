package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against decisions that cannot be tested without a network: the packages of the deciding
 * code import no store, client, clock or log, and none of the scheduler's mutable classes.
 */
class DecisionImportsTest {
  private static final Path SOURCES = Path.of("src/main/java/org/sassafraslink/scheduler");

  /** Classes of the scheduler's own package, and everything that does input, output or time. */
  private static final Pattern FORBIDDEN =
      Pattern.compile(
          "org\\.sassafraslink\\.scheduler\\.[A-Z].*"
              + "|org\\.sassafraslink\\.api\\.log\\..*"
              + "|org\\.sassafraslink\\.api\\.fleet\\.(FleetClock|RowStore|.*Client).*"
              + "|java\\.(net|nio|io|time)\\..*"
              + "|io\\.netty\\..*");

  @ParameterizedTest
  @ValueSource(strings = {"queue", "placement", "capacity", "incarnation", "workerlease"})
  void importsOnlyValues(String decisionPackage) throws IOException {
    Path folder = SOURCES.resolve(decisionPackage);
    ImmutableList.Builder<String> violations = ImmutableList.builder();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : (Iterable<Path>) files.filter(Files::isRegularFile)::iterator) {
        Files.readAllLines(file).stream()
            .filter(line -> line.startsWith("import "))
            .map(line -> line.replaceFirst("^import (static )?", ""))
            .filter(name -> FORBIDDEN.matcher(name).lookingAt())
            .forEach(name -> violations.add(file.getFileName() + " imports " + name));
      }
    }
    assertEquals(ImmutableList.of(), violations.build());
  }
}
