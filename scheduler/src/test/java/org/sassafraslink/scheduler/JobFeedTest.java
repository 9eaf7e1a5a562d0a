package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;

/** Tests with a store that answers every call, but slowly. */
class JobFeedTest {
  private static final int PASS_MILLIS = 15;

  /** Counts long polls, which do not use the link. */
  private static final class PollCountingStore implements RowStore {
    private final QueuedLinkStore link;
    private final long latencyMillis;
    private int polls;

    PollCountingStore(QueuedLinkStore link, long latencyMillis) {
      this.link = link;
      this.latencyMillis = latencyMillis;
    }

    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      link.read(range, callback);
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      polls++;
      Rows unchanged = new Rows(ImmutableList.of(), false, version, link.nowMillis());
      long responseMillis = link.nowMillis() + waitMillis + latencyMillis;
      link.runAt(responseMillis, () -> callback.accept(Either.right(unchanged)));
    }
  }

  private static FleetClock clockOf(QueuedLinkStore link) {
    return new FleetClock() {
      @Override
      public long monotonicMillis() {
        return link.nowMillis();
      }

      @Override
      public long wallMillis() {
        return link.nowMillis();
      }
    };
  }

  /** Guards against a link that is filled with full reads although long polls are answered. */
  @ParameterizedTest(name = "{0} ms for each partition")
  @ValueSource(longs = {10, 40, 70, 100, 400})
  void changesArePolledAfterSlowFullRead(long partitionMillis) {
    assertOnlyPollsAfterLoading(partitionMillis, /* pollLatencyMillis= */ 10);
  }

  /** Guards against full reads by which a slow store becomes slower. */
  @ParameterizedTest(name = "long polls are answered {0} ms late")
  @ValueSource(longs = {10, 200, 300, 500, 800})
  void slowLongPollsAreNotReplacedByFullReads(long pollLatencyMillis) {
    assertOnlyPollsAfterLoading(/* partitionMillis= */ 1, pollLatencyMillis);
  }

  private static void assertOnlyPollsAfterLoading(long partitionMillis, long pollLatencyMillis) {
    QueuedLinkStore link = QueuedLinkStore.create(/* pagesPerPartition= */ 1, partitionMillis);
    PollCountingStore store = new PollCountingStore(link, pollLatencyMillis);
    JobFeed feed =
        new JobFeed(
            store,
            clockOf(link),
            EventLog.silent(),
            new JobFeed.Listener() {
              @Override
              public void onLoaded(ImmutableList<StoredRow> rows) {}

              @Override
              public void onChanged(ImmutableList<StoredRow> rows) {}
            });
    long loadedMillis = 0;
    int readsUntilLoaded = 0;
    for (long millis = 0; millis <= loadedMillis + 60_000; millis += PASS_MILLIS) {
      link.runUntil(millis);
      feed.readIfDue(millis);
      if (!feed.isLoaded()) {
        loadedMillis = millis;
        readsUntilLoaded = link.requests();
      }
    }
    assertTrue(store.polls > 0, "no long poll in 60 s after loading");
    assertEquals(readsUntilLoaded, link.requests(), store.polls + " long polls");
  }
}
