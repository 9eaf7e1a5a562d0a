package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TransferObserver;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.sim.SimClock;

/** Guards against long polls that are waited for in vain, or abandoned although they deliver. */
class SilentFeedTest {
  private static final int PASS_INTERVAL_MILLIS = 10;

  /** What a store does with long polls. */
  @FunctionalInterface
  private interface PollBehavior {
    void poll(TransferObserver observer, Consumer<Either<CallFailure, RowStore.Rows>> done);
  }

  private final SimClock clock = new SimClock();
  private int pageReads;
  private int polls;
  private int pageMillis = 4;
  private PollBehavior pollBehavior = (observer, done) -> answerAfter(1_000, done);

  private final JobFeed feed =
      new JobFeed(
          new Store(),
          new FleetClock() {
            @Override
            public long monotonicMillis() {
              return clock.nowMillis();
            }

            @Override
            public long wallMillis() {
              return clock.nowMillis();
            }
          },
          EventLog.silent(),
          new JobFeed.Listener() {
            @Override
            public void onLoaded(ImmutableList<RowStore.StoredRow> rows) {}

            @Override
            public void onChanged(ImmutableList<RowStore.StoredRow> rows) {}
          });

  private final class Store implements RowStore {
    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      pageReads++;
      answerAfter(pageMillis, callback);
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      readChanges(table, version, waitMillis, TransferObserver.NONE, callback);
    }

    @Override
    public void readChanges(
        String table,
        long version,
        int waitMillis,
        TransferObserver observer,
        Consumer<Either<CallFailure, Rows>> callback) {
      polls++;
      pollBehavior.poll(observer, callback);
    }
  }

  private void answerAfter(long millis, Consumer<Either<CallFailure, RowStore.Rows>> done) {
    clock.runAfter(
        millis, () -> done.accept(Either.right(new RowStore.Rows(ImmutableList.of(), false, 1))));
  }

  private void runFor(int millis) {
    for (int elapsed = 0; elapsed < millis; elapsed += PASS_INTERVAL_MILLIS) {
      feed.readIfDue(clock.nowMillis());
      clock.advance(PASS_INTERVAL_MILLIS);
    }
  }

  private int fullReads() {
    return pageReads / JobRows.partitions().size();
  }

  @Test
  void answeredPollsAreKept() {
    runFor(20_000);
    assertEquals(1, fullReads());
    assertTrue(clock.nowMillis() - feed.readAt().monotonicMillis() <= 2_100);
  }

  @Test
  void silentPollIsReplaced() {
    pollBehavior = (observer, done) -> {};
    runFor(10_000);
    assertTrue(fullReads() >= 5, fullReads() + " full reads");
    assertTrue(clock.nowMillis() - feed.readAt().monotonicMillis() <= 2_100);
  }

  @Test
  void failingPollsAreReplaced() {
    pollBehavior =
        (observer, done) ->
            clock.runAfter(2, () -> done.accept(Either.left(CallFailure.NOT_PERFORMED)));
    runFor(10_000);
    assertTrue(fullReads() >= 5, fullReads() + " full reads");
  }

  @Test
  void fullReadThatTakesLongIsNotRepeated() {
    pageMillis = 4_000;
    runFor(30_000);
    assertEquals(1, fullReads());
    assertTrue(polls > 20, polls + " polls");
  }

  @Test
  void responseThatArrivesSlowlyIsAwaited() {
    pollBehavior =
        (observer, done) -> {
          for (int part = 1; part <= 6; part++) {
            int received = part;
            clock.runAfter(700L * part, () -> observer.onReceived(received, 6));
          }
          answerAfter(4_200, done);
        };
    runFor(30_000);
    assertEquals(1, fullReads());
  }
}
