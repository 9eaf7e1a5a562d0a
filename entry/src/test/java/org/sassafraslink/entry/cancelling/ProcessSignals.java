package org.sassafraslink.entry.cancelling;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** Sends signals to processes that the rig started, through a single shell. */
final class ProcessSignals implements AutoCloseable {
  private final Process shell;
  private final Writer commands;

  private ProcessSignals(Process shell) {
    this.shell = shell;
    this.commands = shell.outputWriter(StandardCharsets.US_ASCII);
  }

  static ProcessSignals open() throws IOException {
    return new ProcessSignals(
        new ProcessBuilder("sh")
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start());
  }

  /** Sends a signal, such as STOP, if the process has not ended. */
  synchronized void send(String signal, Process process) {
    if (!process.isAlive()) {
      return;
    }
    try {
      commands.write("kill -" + signal + " " + process.pid() + "\n");
      commands.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    commands.close();
    shell.destroy();
  }
}
