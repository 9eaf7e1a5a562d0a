package org.sassafraslink.entry.link;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.entry.link.LinkedStoreStandIn.Fault;

/**
 * Checks when a configuration that a link takes long to carry is in force.
 *
 * <p>Guards against a reader that gives up a response that is still arriving and begins again, so
 * that it follows no version any more (CONFIG).
 */
class ConfigOverSlowLinkTest {
  private static final int LINK_BYTES_PER_SECOND = 200_000;
  private static final int SMALL_BYTES = 2_000;

  /**
   * A version waits for the transfer of the one before it, if that has just begun, and for its own.
   */
  private static final int TRANSFERS_PER_VERSION = 2;

  /** Longest time without a byte after which a response is given up. */
  private static final long SILENCE_MILLIS = 900;

  /** How long a long poll waits for a change. */
  private static final long LONG_POLL_MILLIS = 1_000;

  /** Time for the processor, on a machine that does other work too. */
  private static final long PROCESSING_MILLIS = 600;

  private LinkedStoreStandIn store;
  private WatchingNode node;

  private void start() throws Exception {
    store = LinkedStoreStandIn.start(LINK_BYTES_PER_SECOND);
    store.publish(1, SMALL_BYTES);
    node = WatchingNode.start(store.address());
    assertTrue(node.awaitInForce(1, WatchingNode.CONFIG_BOUND_MILLIS), "first version");
  }

  @AfterEach
  void stop() {
    node.stop();
    store.stop();
  }

  private static int bytes(long transferMillis) {
    return (int) (LINK_BYTES_PER_SECOND * transferMillis / 1_000);
  }

  private static long boundMillis(long transferMillis, int lostTransfers) {
    return Math.max(
        WatchingNode.CONFIG_BOUND_MILLIS,
        (TRANSFERS_PER_VERSION + lostTransfers) * transferMillis
            + (1 + lostTransfers) * (SILENCE_MILLIS + PROCESSING_MILLIS));
  }

  private void assertInForceInTime(long version, long boundMillis) throws Exception {
    long passedMillis =
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - store.acknowledgedNanos(version));
    assertTrue(
        node.awaitInForce(version, boundMillis - passedMillis),
        () -> "version " + version + " in force within " + boundMillis + " ms: " + node.logLines());
  }

  @ParameterizedTest(name = "transfer of {0} ms")
  @ValueSource(longs = {300, 850, 1_200, 2_500})
  void changesAreInForceWhateverTheSize(long transferMillis) throws Exception {
    start();
    for (int version = 2; version <= 4; version++) {
      store.publish(version, bytes(transferMillis));
      assertInForceInTime(version, boundMillis(transferMillis, 0));
      // The next change comes late in a long poll.
      Thread.sleep(LONG_POLL_MILLIS * 3 / 4);
    }
  }

  @ParameterizedTest(name = "transfer of {0} ms, a change each {1} ms")
  @CsvSource({"1200, 400", "2000, 1500"})
  void changesDuringTransfersAreInForce(long transferMillis, long gapMillis) throws Exception {
    start();
    for (int version = 2; version <= 6; version++) {
      store.publish(version, bytes(transferMillis));
      Thread.sleep(gapMillis);
    }
    for (int version = 2; version <= 6; version++) {
      assertInForceInTime(version, boundMillis(transferMillis, 0));
    }
  }

  @ParameterizedTest(name = "transfer of {0} ms")
  @ValueSource(longs = {1_500})
  void wholeTableIsReadWhateverItsSize(long transferMillis) throws Exception {
    start();
    store.publish(2, bytes(transferMillis));
    store.discardHistory();
    assertInForceInTime(2, boundMillis(transferMillis, 0));
  }

  @ParameterizedTest(name = "transfer of {0} ms, cut at {1} and {2}")
  @CsvSource({"1200, 0.5, 0.9", "500, 0.1, 0.99"})
  void connectionCutsDelayAChangeOnly(long transferMillis, double first, double second)
      throws Exception {
    start();
    store.addFault(new Fault(Fault.Kind.CUT, first));
    store.addFault(new Fault(Fault.Kind.CUT, second));
    store.publish(2, bytes(transferMillis));
    assertInForceInTime(2, boundMillis(transferMillis, 2));
  }

  @ParameterizedTest(name = "transfer of {0} ms, silent from {1} on")
  @CsvSource({"300, 0", "300, 0.5", "2000, 0.1", "2000, 0.9"})
  void silentConnectionIsNoticed(long transferMillis, double fraction) throws Exception {
    start();
    Fault fault = new Fault(Fault.Kind.SILENT, fraction);
    store.addFault(fault);
    store.publish(2, bytes(transferMillis));
    assertInForceInTime(2, boundMillis(transferMillis, 1));
    long silentNanos = store.appliedNanos(fault);
    long noticedNanos = node.firstLine("config.read_failed", silentNanos).orElseThrow().nanos();
    // A connection that is silent from the start looks like a long poll without a change.
    long boundMillis = SILENCE_MILLIS + (fraction == 0 ? LONG_POLL_MILLIS : 0) + PROCESSING_MILLIS;
    long noticedMillis = TimeUnit.NANOSECONDS.toMillis(noticedNanos - silentNanos);
    assertTrue(noticedMillis <= boundMillis, "noticed after ms: " + noticedMillis);
  }

  @ParameterizedTest(name = "transfer of {0} ms")
  @ValueSource(longs = {2_500})
  void callersAreNotRejectedDuringATransfer(long transferMillis) throws Exception {
    start();
    store.publish(2, bytes(transferMillis));
    while (node.inForceNanos(2).isEmpty()) {
      long passedMillis =
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - store.acknowledgedNanos(2));
      assertTrue(passedMillis <= boundMillis(transferMillis, 0), "in force in time");
      long nowMillis = node.nowMillis();
      assertFalse(
          node.test(watcher -> watcher.isStoreUnreachable(nowMillis)),
          () -> "unreachable after ms: " + passedMillis);
      assertFalse(
          node.test(watcher -> watcher.isStoreOutageLikely(nowMillis)),
          () -> "outage after ms: " + passedMillis);
      Thread.sleep(20);
    }
  }
}
