package org.sassafraslink.entry.longrunning;

import java.io.IOException;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.sassafraslink.entry.cancelling.CallerConnection;
import org.sassafraslink.entry.cancelling.EntryFleet;

/** Callers that submit short jobs on open connections, each of which they use until it fails. */
final class OpenConnections {
  private static final int MIN_PAUSE_MILLIS = 20;
  private static final int MAX_PAUSE_MILLIS = 120;
  private static final int OK = 200;

  private final EntryFleet entries;
  private final String pool;
  private final AtomicInteger submitted = new AtomicInteger();
  private final AtomicInteger accepted = new AtomicInteger();

  OpenConnections(EntryFleet entries, String pool) {
    this.entries = entries;
    this.pool = pool;
  }

  int submitted() {
    return submitted.get();
  }

  int accepted() {
    return accepted.get();
  }

  /** Submits jobs until the thread is interrupted. */
  void run(Random random) throws InterruptedException {
    while (!Thread.currentThread().isInterrupted()) {
      try (CallerConnection connection =
          CallerConnection.open(entries.choose(random).callerAddress())) {
        while (connection.isReusable()) {
          submit(connection, random);
          pause(random);
        }
      } catch (IOException e) {
        // The daemon is down; the next connection may be to another one.
        pause(random);
      }
    }
  }

  private void submit(CallerConnection connection, Random random) {
    String path = PeakCallers.prefix(pool) + String.format(Locale.ROOT, "%016x", random.nextLong());
    String body =
        "{\"spec\":\"500:200\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimatedMs\":200}]}";
    submitted.incrementAndGet();
    if (connection.send("POST", path, body, CallerConnection.DEFAULT_DEADLINE_MILLIS) == OK) {
      accepted.incrementAndGet();
    }
  }

  private static void pause(Random random) throws InterruptedException {
    Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
  }
}
