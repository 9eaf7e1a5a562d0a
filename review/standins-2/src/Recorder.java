import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with the time since the start in seconds. */
final class Recorder {
  private final Path file;
  private final long startNanos = System.nanoTime();
  private final StringBuilder text = new StringBuilder();

  Recorder(Path file) {
    this.file = file;
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void write(String line) {
    text.append(String.format("%8.3f s  %s%n", seconds(), line));
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
