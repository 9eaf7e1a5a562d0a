package org.sassafraslink.entry.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.sassafraslink.entry.link.LinkedStoreStandIn.Fault;

/**
 * Lets two nodes read configurations over a slow link while changes, cuts, silent connections,
 * discarded histories and restarts of nodes come in series and overlap.
 *
 * <p>{@code -Dsoak.firstSeed=S -Dsoak.seeds=N} run other seeds, {@code N} at the same time.
 */
class ConfigReadSoakTest {
  private static final long FIRST_SEED = Long.getLong("soak.firstSeed", 20261207);
  private static final int SEEDS = Integer.getInteger("soak.seeds", 10);
  private static final int NODES = 2;
  private static final int EVENTS = 40;
  private static final int MAX_GAP_MILLIS = 700;
  private static final int MIN_TRANSFER_MILLIS = 50;
  private static final int MAX_TRANSFER_MILLIS = 1_500;

  /** Silence after which a read is given up, the long poll before it, and the next attempt. */
  private static final long LOST_READ_MILLIS = 900 + 1_000 + 600;

  /** One run, whose events depend on its seed only. */
  private static final class Run {
    private final long seed;
    private final Random random;
    private final int bytesPerSecond;
    private final LinkedStoreStandIn store;
    private final WatchingNode[] nodes = new WatchingNode[NODES];
    private long version = 1;
    private int faults;

    Run(long seed) throws Exception {
      this.seed = seed;
      this.random = new Random(seed);
      this.bytesPerSecond = 100_000 + random.nextInt(400_000);
      this.store = LinkedStoreStandIn.start(bytesPerSecond);
    }

    /** Returns the greatest time for which a node had to wait for a version, in ms. */
    long play() throws Exception {
      try {
        publish();
        for (int node = 0; node < NODES; node++) {
          nodes[node] = WatchingNode.start(store.address());
        }
        for (int event = 0; event < EVENTS; event++) {
          playEvent();
          Thread.sleep(random.nextInt(MAX_GAP_MILLIS));
        }
        awaitNewest();
        store.clearFaults();
        faults = 0;
        publish();
        return awaitNewest();
      } finally {
        store.stop();
        for (WatchingNode node : nodes) {
          node.stop();
        }
      }
    }

    private void playEvent() throws Exception {
      switch (random.nextInt(8)) {
        case 0 -> addFault(Fault.Kind.CUT);
        case 1 -> addFault(Fault.Kind.SILENT);
        case 2 -> store.discardHistory();
        case 3 -> {
          int node = random.nextInt(NODES);
          nodes[node].stop();
          nodes[node] = WatchingNode.start(store.address());
        }
        default -> publish();
      }
    }

    private void addFault(Fault.Kind kind) {
      faults++;
      store.addFault(new Fault(kind, random.nextDouble()));
    }

    private void publish() {
      int transferMillis =
          MIN_TRANSFER_MILLIS + random.nextInt(MAX_TRANSFER_MILLIS - MIN_TRANSFER_MILLIS);
      version++;
      store.publish(version, (int) (bytesPerSecond * (long) transferMillis / 1_000));
    }

    private long awaitNewest() throws Exception {
      long boundMillis =
          (2L + faults) * NODES * MAX_TRANSFER_MILLIS + (1L + faults) * LOST_READ_MILLIS;
      long acknowledgedNanos = store.acknowledgedNanos(version);
      for (WatchingNode node : nodes) {
        assertTrue(
            node.awaitInForce(version, boundMillis),
            () -> "seed " + seed + ", version " + version + ": " + node.logLines());
        assertEquals(
            node.inForceVersions().stream().sorted().toList(),
            node.inForceVersions(),
            "seed " + seed + ": versions in the order in which they were applied");
      }
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acknowledgedNanos);
    }
  }

  @Test
  void newestVersionIsInForceWhateverHappens() throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(SEEDS);
    List<Future<Long>> runs =
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
            .mapToObj(seed -> executor.submit(() -> new Run(seed).play()))
            .toList();
    List<String> failures = new ArrayList<>();
    long longestMillis = 0;
    for (Future<Long> run : runs) {
      try {
        longestMillis = Math.max(longestMillis, run.get());
      } catch (ExecutionException e) {
        failures.add(String.valueOf(e.getCause()));
      }
    }
    executor.shutdownNow();
    System.out.printf(
        "%d seeds from %d: longest wait for the last version %d ms, failures %s%n",
        SEEDS, FIRST_SEED, longestMillis, failures.size());
    assertEquals(List.of(), failures);
  }
}
