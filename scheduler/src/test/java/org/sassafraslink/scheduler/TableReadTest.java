package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TransferObserver;

/**
 * Guards against a read of a whole table that begins again after each failure, and thus never ends
 * over a link that carries the table more slowly than the failures come.
 */
class TableReadTest {
  private static final String TABLE = "t";

  /** Delay before a failed page is read again, in ms. */
  private static final long RETRY_MILLIS = 100;

  /** Starts a read that sends failed pages again, and records its outcome. */
  private static final class Reader implements TableRead.Listener {
    private final QueuedLinkStore store;
    private final TableRead read;
    private Optional<Long> completeMillis = Optional.empty();
    private ImmutableList<RowStore.StoredRow> rows = ImmutableList.of();
    private long version;
    private int failures;

    Reader(QueuedLinkStore store, int partitions) {
      this.store = store;
      ImmutableList<String> names =
          IntStream.range(0, partitions)
              .mapToObj(String::valueOf)
              .collect(ImmutableList.toImmutableList());
      read = TableRead.create(store, TABLE, names, TransferObserver.NONE, this);
    }

    @Override
    public void onPageFailed(CallFailure failure) {
      failures++;
      store.runAt(store.nowMillis() + RETRY_MILLIS, read::sendDuePages);
    }

    @Override
    public void onComplete(ImmutableList<RowStore.StoredRow> allRows, long lowestVersion) {
      assertEquals(Optional.empty(), completeMillis, "completed once");
      completeMillis = Optional.of(store.nowMillis());
      rows = allRows;
      version = lowestVersion;
    }

    void run() {
      read.sendDuePages();
      store.runUntilIdle();
    }
  }

  /** Each page is transferred once, and the failures of the first second add to the time. */
  @Property(tries = 200)
  void tableOfAnySizeIsReadOverALinkOfAnyRate(
      @ForAll @IntRange(min = 1, max = 41) int partitions,
      @ForAll @IntRange(min = 1, max = 4) int pagesPerPartition,
      @ForAll @IntRange(min = 1, max = 5_000) int pageMillis) {
    QueuedLinkStore store = QueuedLinkStore.create(pagesPerPartition, pageMillis);
    Reader reader = new Reader(store, partitions);
    reader.run();
    long transferMillis = (long) partitions * pagesPerPartition * pageMillis;
    long boundMillis = 2 * transferMillis + 6 * (QueuedLinkStore.SILENCE_MILLIS + RETRY_MILLIS);
    assertTrue(reader.completeMillis.isPresent(), "complete");
    assertTrue(
        reader.completeMillis.get() <= boundMillis,
        reader.completeMillis.get() + " ms of " + boundMillis);
    assertEquals(
        (long) partitions * pagesPerPartition,
        reader.rows.stream().distinct().count(),
        "rows read");
    assertEquals(partitions * pagesPerPartition, reader.rows.size(), "rows read once");
    assertEquals(101, reader.version, "version of the first page");
  }

  /** A failure costs one further read of one page. */
  @ParameterizedTest(name = "{0} failures")
  @ValueSource(ints = {1, 2, 7})
  void pagesThatWereReadAreKept(int failures) {
    QueuedLinkStore store = QueuedLinkStore.create(/* pagesPerPartition= */ 3, 10);
    Reader reader = new Reader(store, /* partitions= */ 4);
    store.runAt(15, () -> store.failNextReads(failures));
    reader.run();
    assertEquals(failures, reader.failures);
    assertEquals(12 + failures, store.requests(), "reads");
    assertEquals(12, reader.rows.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 25})
  void abandonedReadReportsNothing(long abandonedMillis) {
    QueuedLinkStore store = QueuedLinkStore.create(/* pagesPerPartition= */ 3, 10);
    Reader reader = new Reader(store, /* partitions= */ 4);
    store.runAt(abandonedMillis, reader.read::abandon);
    reader.run();
    assertEquals(Optional.empty(), reader.completeMillis);
    assertEquals(0, reader.failures);
  }
}
