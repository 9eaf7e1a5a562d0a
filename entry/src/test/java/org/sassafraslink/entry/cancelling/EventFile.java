package org.sassafraslink.entry.cancelling;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Appends what the stand-ins see to a file, with the time since the start of the play. */
public final class EventFile implements AutoCloseable {
  private final PrintWriter writer;
  private final long startNanos = System.nanoTime();
  private final long startUnixMillis = System.currentTimeMillis();

  private EventFile(PrintWriter writer) {
    this.writer = writer;
  }

  public static EventFile create(Path file) throws IOException {
    return new EventFile(new PrintWriter(Files.newBufferedWriter(file)));
  }

  /** Returns the time since the start of the play, in ms. */
  public long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Returns the start of the play, which relates the times here to those in the daemons' logs. */
  public long startUnixMillis() {
    return startUnixMillis;
  }

  public synchronized void write(String line) {
    writer.println(String.format(Locale.ROOT, "%9.3f %s", millis() / 1e3, line));
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
