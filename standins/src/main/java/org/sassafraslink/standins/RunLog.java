package org.sassafraslink.standins;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Appends the token of each request that a backend stand-in starts to a file, one token per line.
 *
 * <p>Each token is written before its request runs, so that the file has it even if the process is
 * killed during the request.
 */
final class RunLog {
  private final Optional<Path> file;

  private RunLog(Optional<Path> file) {
    this.file = file;
  }

  /** Creates a log that appends to {@code file}, or discards all tokens if there is no file. */
  static RunLog appendingTo(Optional<Path> file) {
    return new RunLog(file);
  }

  synchronized void append(String token) {
    file.ifPresent(
        path -> {
          try {
            Files.writeString(
                path, token + "\n", UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Returns the number of runs of each token in {@code file}. */
  static Map<String, Long> countRuns(Path file) throws IOException {
    Map<String, Long> runsByToken = new HashMap<>();
    for (String token : Files.readAllLines(file)) {
      runsByToken.merge(token, 1L, Long::sum);
    }
    return runsByToken;
  }
}
