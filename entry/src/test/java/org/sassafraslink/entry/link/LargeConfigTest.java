package org.sassafraslink.entry.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.entry.crowd.EntryProcess;

/**
 * Guards against a configuration that a process on the smallest machine cannot hold, or reads again
 * and again because it refuses its size.
 */
class LargeConfigTest {
  /** Size of a response with 3,250 queues, in bytes. */
  private static final int UNIT_BYTES = 1_000_000;

  /** A link on which only the processor limits the rate. */
  private static final double FAST_BYTES_PER_SECOND = 1e9;

  private static final int CHANGES = 4;
  private static final long HANG_SECONDS = 60;
  private static final long POLL_MILLIS = 50;

  @TempDir Path folder;

  private LinkedStoreStandIn store;
  private EntryProcess entry;

  @AfterEach
  void stop() throws Exception {
    if (entry != null) {
      entry.stop();
    }
    store.stop();
  }

  @ParameterizedTest(name = "{0} times 3,250 queues")
  @ValueSource(ints = {1, 4, 12})
  void configurationIsInForceWithinTheHeap(int multiple) throws Exception {
    store = LinkedStoreStandIn.start(FAST_BYTES_PER_SECOND);
    store.publish(1, 0);
    entry = EntryProcess.start(folder, store.address().getPort(), EntryProcess.USUAL_HEAP_MB);
    long processorMillis = entry.processorMillis();
    for (int version = 2; version <= 1 + CHANGES; version++) {
      store.publish(version, multiple * UNIT_BYTES);
      awaitInForce(version);
    }
    assertEquals("200", entry.ordinaryRequestStatus());
    System.out.printf(
        "%d times 3,250 queues: %d ms of processor time a change, %d MB at the peak, %s%n",
        multiple,
        (entry.processorMillis() - processorMillis) / CHANGES,
        entry.peakMegabytes(),
        entry.outputWith("\"config.in_force\"").get(CHANGES));
  }

  /** A larger one is not received, and the process says so and answers by the version before. */
  @Test
  void configurationAboveTheLimitIsReported() throws Exception {
    store = LinkedStoreStandIn.start(FAST_BYTES_PER_SECOND);
    store.publish(1, 0);
    entry = EntryProcess.start(folder, store.address().getPort(), EntryProcess.USUAL_HEAP_MB);
    store.publish(2, 16 * UNIT_BYTES);
    awaitOutput("\"config.read_failed\",\"failure\":\"TOO_LARGE\"");
    assertEquals("200", entry.ordinaryRequestStatus());
    store.publish(3, UNIT_BYTES);
    awaitInForce(3);
  }

  private void awaitInForce(long version) throws Exception {
    awaitOutput("\"config.in_force\",\"version\":" + version);
  }

  private void awaitOutput(String text) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS);
    while (entry.outputWith(text).isEmpty()) {
      assertTrue(entry.isAlive(), entry.outputTail());
      assertTrue(System.nanoTime() < endNanos, entry.outputTail());
      Thread.sleep(POLL_MILLIS);
    }
  }
}
