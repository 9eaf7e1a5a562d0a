package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;

/**
 * Guards against a scheduler that never learns the jobs or the workers, because its link carries
 * all rows more slowly than its reads are given up.
 */
class TakeoverOverSlowLinkTest {
  /** How often the scheduler's thread checks what is due, in ms. */
  private static final long PASS_MILLIS = 15;

  private static final long MAX_FAILED_READS_MILLIS = 6 * (QueuedLinkStore.SILENCE_MILLIS + 115);

  private static final class StoreClock implements FleetClock {
    private final QueuedLinkStore store;

    StoreClock(QueuedLinkStore store) {
      this.store = store;
    }

    @Override
    public long monotonicMillis() {
      return store.nowMillis();
    }

    @Override
    public long wallMillis() {
      return store.nowMillis();
    }
  }

  private Optional<Integer> loadedRows = Optional.empty();

  private void runPasses(QueuedLinkStore store, long endMillis, Runnable pass) {
    for (long millis = 0; millis <= endMillis && loadedRows.isEmpty(); millis += PASS_MILLIS) {
      store.runAt(millis, pass);
      store.runUntil(millis);
    }
  }

  @ParameterizedTest(name = "{0} ms for each partition")
  @ValueSource(longs = {10, 60, 400, 2_000})
  void jobsAreLoaded(long partitionMillis) {
    QueuedLinkStore store = QueuedLinkStore.create(/* pagesPerPartition= */ 1, partitionMillis);
    JobFeed feed =
        new JobFeed(
            store,
            new StoreClock(store),
            EventLog.silent(),
            new JobFeed.Listener() {
              @Override
              public void onLoaded(ImmutableList<StoredRow> rows) {
                loadedRows = Optional.of(rows.size());
              }

              @Override
              public void onChanged(ImmutableList<StoredRow> rows) {}
            });
    long partitions = JobRows.partitions().size();
    runPasses(
        store,
        2 * partitions * partitionMillis + MAX_FAILED_READS_MILLIS,
        () -> feed.readIfDue(store.nowMillis()));
    assertEquals(Optional.of((int) partitions), loadedRows);
    assertTrue(feed.isLoaded());
  }

  /** A list that should have changed is read again while its previous read is under way. */
  @ParameterizedTest(name = "{0} ms for each of 4 pages")
  @ValueSource(longs = {10, 100, 400, 2_000})
  void workersAreLoadedWhileAChangeIsOverdue(long pageMillis) {
    QueuedLinkStore store = QueuedLinkStore.create(/* pagesPerPartition= */ 4, pageMillis);
    WorkerListFeed feed =
        new WorkerListFeed(
            store,
            new StoreClock(store),
            EventLog.silent(),
            "servers",
            new WorkerListFeed.Listener() {
              private int wholeLists;

              @Override
              public void onWholeList(ImmutableList<StoredRow> rows) {
                wholeLists++;
                if (wholeLists == 2) {
                  loadedRows = Optional.of(rows.size());
                }
              }

              @Override
              public void onChanges(ImmutableList<StoredRow> rows) {}
            });
    runPasses(
        store,
        16 * pageMillis + MAX_FAILED_READS_MILLIS,
        () -> feed.pollIfDue(store.nowMillis(), /* isChangeOverdue= */ true));
    assertEquals(Optional.of(4), loadedRows);
  }
}
