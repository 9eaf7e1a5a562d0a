package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.WorkerEntry;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.incarnation.LateCommandBounds;

/** Guards against one entry of another writer that hides the workers listed after it. */
class WorkerRegistryTest {
  private static final String ODD_ENTRY = "odd";

  private long nowMillis = 10_000;
  private long changesReadAfter;
  private final Deque<Consumer<Either<CallFailure, RowStore.Rows>>> pendingReads =
      new ArrayDeque<>();
  private final WorkerRegistry registry =
      new WorkerRegistry(
          new ManualStore(),
          new TestClock(),
          EventLog.silent(),
          new Formats(),
          /* longestOwnLeaseMillis= */ 6_000,
          new LateCommandBounds(10_000, 12_000, 8_000),
          id -> false,
          new IgnoringListener());

  private static final class IgnoringListener implements WorkerRegistry.Listener {
    @Override
    public void onEnded(Worker worker) {}

    @Override
    public void onRestarted(Worker earlier) {}
  }

  private final class TestClock implements FleetClock {
    @Override
    public long monotonicMillis() {
      return nowMillis;
    }

    @Override
    public long wallMillis() {
      return nowMillis;
    }
  }

  /** A store that answers reads only when the test calls for it. */
  private final class ManualStore implements RowStore {
    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      pendingReads.add(callback);
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      changesReadAfter = version;
      pendingReads.add(callback);
    }
  }

  /**
   * Decodes a worker from a value of pool and, if given, VM and incarnation, and fails for {@link
   * #ODD_ENTRY}.
   */
  private static final class Formats implements RowFormats {
    @Override
    public String workerTable() {
      return "workers";
    }

    @Override
    public Optional<WorkerEntry> decodeWorker(RowStore.StoredRow row) {
      if (row.value().equals(ODD_ENTRY)) {
        throw new IllegalArgumentException("thrown by the test");
      }
      String id = row.key().key();
      List<String> values = Splitter.on(' ').splitToList(row.value());
      return Optional.of(
          new WorkerEntry(
              id,
              values.size() > 2 ? Long.parseLong(values.get(2)) : 1,
              values.get(0),
              InetSocketAddress.createUnresolved(id, 1),
              "zone",
              values.size() > 1 ? values.get(1) : "m-" + id,
              "rack",
              ImmutableList.of(),
              TestWorkers.CAPACITY,
              /* draining= */ false));
    }

    @Override
    public Either<Failure, JobSpec> decodeJob(String id, String rowValue) {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean hasDecisionPartition(String rowValue) {
      throw new UnsupportedOperationException();
    }

    @Override
    public RowStore.Put encodeWaveStatus(long wave, boolean completed) {
      throw new UnsupportedOperationException();
    }
  }

  private void answerRead(String... idsAndValues) {
    answerPage(/* hasMore= */ false, /* version= */ 3, idsAndValues);
  }

  private void answerPage(boolean hasMore, long version, String... idsAndValues) {
    registry.pollIfDue(nowMillis, /* isChangeOverdue= */ false);
    ImmutableList.Builder<RowStore.StoredRow> rows = ImmutableList.builder();
    for (int i = 0; i < idsAndValues.length; i += 2) {
      RowStore.RowKey key = new RowStore.RowKey("workers", "", idsAndValues[i]);
      rows.add(new RowStore.StoredRow(key, idsAndValues[i + 1], version, false));
    }
    pendingReads.poll().accept(Either.right(new RowStore.Rows(rows.build(), hasMore, version)));
    nowMillis += 1_000;
  }

  private List<String> listed() {
    return Stream.concat(registry.listedInPool("a").stream(), registry.listedInPool("b").stream())
        .map(worker -> worker.entry.id())
        .sorted()
        .toList();
  }

  @Test
  void entryThatFailsToDecodeHidesNoOther() {
    answerRead("w0", "a", "w1", ODD_ENTRY, "w2", "a");
    assertEquals(List.of("w0", "w2"), listed());
    answerRead("w3", ODD_ENTRY, "w4", "b");
    assertEquals(List.of("w0", "w2", "w4"), listed());
  }

  /** Guards against losing a change of the first page that happens before the second is read. */
  @Test
  void changesAreReadFromTheVersionOfTheFirstPage() {
    answerPage(/* hasMore= */ true, /* version= */ 5, "w0", "a");
    answerPage(/* hasMore= */ false, /* version= */ 9, "w1", "a");
    assertEquals(List.of("w0", "w1"), listed());
    registry.pollIfDue(nowMillis, /* isChangeOverdue= */ false);
    assertEquals(5, changesReadAfter);
  }

  @Test
  void entryThatFailsToDecodeNamesNoWorkerAnyMore() {
    answerRead("w0", "a", "w1", "a");
    answerRead("w1", ODD_ENTRY);
    assertEquals(List.of("w0"), listed());
    answerRead("w1", "a");
    assertEquals(List.of("w0", "w1"), listed());
  }

  /** Guards against capacity that a pool seems to have on a VM that has another worker now. */
  @ParameterizedTest
  @CsvSource({"w0, w1", "w1, w0"})
  void workerThatWasReplacedOnItsVmCountsToItsPool(String earlier, String later) {
    answerRead(earlier, "a vm 1", later, "b vm 2");
    assertEquals(List.of(later), listed());
    Worker alive = registry.findById(earlier).orElseThrow();
    registry.confirmIncarnation(alive, /* incarnation= */ 1, /* sentMillis= */ nowMillis);
    assertEquals(List.of("w0", "w1"), listed());
  }

  /**
   * Guards against tasks that do not fit a restarted worker, since it may be of another kind than
   * its entry, which is that of its earlier incarnation.
   */
  @Test
  void restartedWorkerGetsTasksBeforeItsEntryIsRead() {
    answerRead("w0", "a vm 1");
    Worker earlier = registry.findById("w0").orElseThrow();
    registry.confirmIncarnation(earlier, /* incarnation= */ 2, /* sentMillis= */ nowMillis);
    Worker restarted = registry.findById("w0").orElseThrow();
    restarted.hasReported = true;
    assertFalse(WorkerChoice.isUsable(restarted, nowMillis));
    answerRead("w0", "a vm 2");
    assertTrue(WorkerChoice.isUsable(restarted, nowMillis));
  }
}
