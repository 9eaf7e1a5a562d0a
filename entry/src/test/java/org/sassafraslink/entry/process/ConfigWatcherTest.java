package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.Evacuations;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TransferObserver;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.rules.version.ConfigReading.State;
import org.sassafraslink.scheduler.ResponseTrackingRowStore;

/**
 * Checks that {@link ConfigWatcher} ignores a configuration that is older than the current one or
 * unreadable, and that it reports the store as unreachable at the first failed read. Otherwise an
 * outdated configuration could be applied, or callers could be rejected because of it.
 */
class ConfigWatcherTest {
  /** The listener fails when it receives this version. */
  private static final long FAILING_VERSION = 6;

  /** The bound on the time from a change to its application. */
  private static final long MAX_DELAY_MILLIS = 3_000;

  private long nowMillis = 10_000;

  /** Callbacks of the reads that the store has not answered yet. */
  private final Deque<Consumer<Either<CallFailure, RowStore.Rows>>> pendingReads =
      new ArrayDeque<>();

  /** The wait time of each read of changes, in ms, and -1 for each read of the whole table. */
  private final List<Integer> waitMillisByRead = new ArrayList<>();

  private final List<Long> reportedVersions = new ArrayList<>();

  /** The last task that the watcher has passed to its timer. */
  private Runnable scheduledRetry = () -> {};

  private int retryDelayMillis;

  /** Which listeners were called, in order. */
  private final List<String> reports = new ArrayList<>();

  private final List<String> logLines = new ArrayList<>();

  private Evacuations lastEvacuations;

  /** Receives the progress of the last read of changes. */
  private TransferObserver lastObserver = TransferObserver.NONE;

  private ConfigWatcher watcher;

  /** A store that answers reads only when the test calls for it. */
  private final class ManualStore implements RowStore {
    @Override
    public void readChanges(
        String table,
        long version,
        int waitMillis,
        TransferObserver observer,
        Consumer<Either<CallFailure, Rows>> callback) {
      lastObserver = observer;
      readChanges(table, version, waitMillis, callback);
    }

    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      waitMillisByRead.add(-1);
      pendingReads.add(callback);
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      waitMillisByRead.add(waitMillis);
      pendingReads.add(callback);
    }
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

  @BeforeEach
  void startWatcher() {
    watcher =
        ConfigWatcher.create(
            new ResponseTrackingRowStore(new ManualStore(), new TestClock()),
            new TestClock(),
            EventLog.create("n", () -> nowMillis, logLines::add),
            (task, millis) -> {
              scheduledRetry = task;
              retryDelayMillis = millis;
            },
            Optional.of(MAX_DELAY_MILLIS),
            this::receive,
            waves -> reports.add("waves"),
            evacuations -> {
              reports.add("evacuations");
              lastEvacuations = evacuations;
            });
    watcher.start();
  }

  private void receive(FleetSettings settings) {
    if (settings.version() == FAILING_VERSION) {
      throw new IllegalStateException("thrown by the test");
    }
    reportedVersions.add(settings.version());
    reports.add("config");
  }

  private void answerNextRead(String... configs) {
    ImmutableList.Builder<RowStore.StoredRow> rows = ImmutableList.builder();
    for (String config : configs) {
      rows.add(new RowStore.StoredRow(new RowStore.RowKey("op", "", "config"), config, 3, false));
    }
    pendingReads.poll().accept(Either.right(new RowStore.Rows(rows.build(), false, 9)));
  }

  private static RowStore.StoredRow row(String key, String value, boolean deleted) {
    return new RowStore.StoredRow(new RowStore.RowKey("op", "", key), value, 3, deleted);
  }

  private static RowStore.StoredRow evacuation(String zone) {
    return row("evacuate/" + zone, "{}", false);
  }

  private void answerNextReadWith(boolean hasMore, RowStore.StoredRow... rows) {
    pendingReads
        .poll()
        .accept(Either.right(new RowStore.Rows(ImmutableList.copyOf(rows), hasMore, 9)));
  }

  private long countLogged(String event) {
    return logLines.stream().filter(line -> line.contains('"' + event + '"')).count();
  }

  private void failNextRead(CallFailure failure) {
    pendingReads.poll().accept(Either.left(failure));
  }

  private static String configJson(int version) {
    return "{\"version\":" + version + ",\"routes\":[]}";
  }

  @Test
  void reportsNewerVersionsAndIgnoresOlderOnes() {
    answerNextRead(configJson(5));
    answerNextRead(configJson(3), configJson(7));
    assertEquals(List.of(5L, 7L), reportedVersions);
  }

  @Test
  void ignoresUnreadableConfiguration() {
    answerNextRead(configJson(5));
    answerNextRead("nonsense");
    assertEquals(List.of(5L), reportedVersions);
  }

  /** Guards against a process that follows no version any more after an unexpected failure. */
  @Test
  void readsOnAfterUnexpectedFailure() {
    answerNextRead(configJson((int) FAILING_VERSION));
    answerNextRead("[".repeat(60_000), configJson(7));
    assertEquals(List.of(7L), reportedVersions);
    assertEquals(1, pendingReads.size(), "pending reads");
  }

  @Test
  void storeIsUnreachableAfterOneFailedRead() {
    answerNextRead(configJson(5));
    assertFalse(watcher.isStoreUnreachable(nowMillis));
    failNextRead(CallFailure.OUTCOME_UNKNOWN);
    assertTrue(watcher.isStoreUnreachable(nowMillis));
  }

  /** Guards against rejecting jobs because one connection of many was cut. */
  @Test
  void outageIsLikelyAfterTwoFailedReads() {
    answerNextRead(configJson(5));
    failNextRead(CallFailure.OUTCOME_UNKNOWN);
    assertFalse(watcher.isStoreOutageLikely(nowMillis));
    assertEquals(0, retryDelayMillis);
    scheduledRetry.run();
    failNextRead(CallFailure.OUTCOME_UNKNOWN);
    assertTrue(watcher.isStoreOutageLikely(nowMillis));
    assertTrue(retryDelayMillis > 0, "pause before the third read");
    scheduledRetry.run();
    answerNextRead();
    assertFalse(watcher.isStoreOutageLikely(nowMillis));
  }

  @Test
  void readAfterFailureDoesNotWaitForChange() {
    answerNextRead(configJson(5));
    failNextRead(CallFailure.NOT_PERFORMED);
    scheduledRetry.run();
    assertEquals(0, waitMillisByRead.get(waitMillisByRead.size() - 1));
    answerNextRead();
    assertFalse(watcher.isStoreUnreachable(nowMillis));
    assertTrue(waitMillisByRead.get(waitMillisByRead.size() - 1) > 0);
  }

  @Test
  void storeIsUnreachableAfterLongTimeWithoutAnswer() {
    answerNextRead(configJson(5));
    nowMillis += 5_000;
    assertTrue(watcher.isStoreUnreachable(nowMillis));
    assertTrue(watcher.isStoreOutageLikely(nowMillis));
  }

  /** Guards against a scheduler that starts jobs before it knows the evacuations. */
  @Test
  void firstReadReportsEvacuationsAfterTheOtherRows() {
    answerNextReadWith(
        false,
        row("config", configJson(5), false),
        evacuation("a"),
        row("wave/1", "{\"wave\":1,\"machines\":[]}", false));
    assertEquals(List.of("config", "waves", "evacuations"), reports);
    assertEquals(ImmutableSet.of("a"), lastEvacuations.zones());
  }

  /** Guards against evacuations behind the first page of a table with many rows. */
  @Test
  void firstReadReportsNothingBeforeLastPage() {
    answerNextReadWith(true, evacuation("a"));
    assertEquals(List.of(), reports);
    answerNextReadWith(false, evacuation("b"));
    assertEquals(ImmutableSet.of("a", "b"), lastEvacuations.zones());
  }

  /** Guards against an evacuation that goes on after its row was removed. */
  @Test
  void deletedRowWithdrawsEvacuation() {
    answerNextReadWith(false, evacuation("a"), evacuation("b"));
    answerNextReadWith(false, row("evacuate/a", "", true));
    assertEquals(ImmutableSet.of("b"), lastEvacuations.zones());
  }

  /** Guards against missing a removal that the discarded history contained. */
  @Test
  void wholeReadWithdrawsEvacuationWithoutRow() {
    answerNextReadWith(false, evacuation("a"), evacuation("b"));
    failNextRead(CallFailure.HISTORY_DISCARDED);
    scheduledRetry.run();
    answerNextReadWith(false, evacuation("b"));
    assertEquals(ImmutableSet.of("b"), lastEvacuations.zones());
    assertEquals(1, countLogged("evacuation.withdrawn"));
  }

  /** Guards against starts in a zone because the value of its row says nothing. */
  @ParameterizedTest
  @ValueSource(strings = {"{}", "", "nonsense", "[1", "null"})
  void rowIsRequestWhateverItsValue(String value) {
    answerNextReadWith(false, row("evacuate/a", value, false));
    answerNextReadWith(false, row("evacuate/a", value, false));
    assertEquals(ImmutableSet.of("a"), lastEvacuations.zones());
    assertEquals(1, countLogged("evacuation.requested"));
  }

  /** Guards against a row without a zone that evacuates all zones, or fills the log. */
  @Test
  void rowWithoutZoneIsIgnoredAndLoggedOnce() {
    answerNextReadWith(false, evacuation(""), evacuation("b"));
    answerNextReadWith(false, evacuation(""));
    assertEquals(ImmutableSet.of("b"), lastEvacuations.zones());
    assertEquals(1, countLogged("evacuation.unreadable"));
  }

  /** Guards against trusting a read for as long as its answer was on its way. */
  @Test
  void evacuationsAreAsOldAsTheRequest() {
    answerNextReadWith(false);
    long sentMillis = nowMillis;
    nowMillis += 1_000;
    answerNextReadWith(false);
    assertEquals(sentMillis, lastEvacuations.verifiedAtMillis());
  }

  @Test
  void readsWholeTableAfterHistoryWasDiscarded() {
    answerNextRead(configJson(5));
    failNextRead(CallFailure.HISTORY_DISCARDED);
    scheduledRetry.run();
    assertEquals(-1, waitMillisByRead.get(waitMillisByRead.size() - 1));
  }

  /** Guards against a VM that is not ready while a large configuration arrives. */
  @Test
  void storeIsReachableWhileResponseArrives() {
    answerNextRead(configJson(5));
    for (int received = 10_000; received <= 50_000; received += 10_000) {
      nowMillis += 500;
      lastObserver.onReceived(received, 100_000);
      assertEquals(State.READING, watcher.state(nowMillis));
      assertFalse(watcher.isStoreOutageLikely(nowMillis));
    }
    nowMillis += 501;
    lastObserver.onReceived(60_000, 100_000);
    assertEquals(State.OUTDATED, watcher.state(nowMillis));
    assertFalse(watcher.isStoreOutageLikely(nowMillis), "jobs are accepted");
  }

  /** A version that is acknowledged during a transfer is in a later response. */
  @Test
  void ageCountsFromTheBeginningOfTheResponse() {
    answerNextRead(configJson(5));
    nowMillis += 100;
    lastObserver.onReceived(0, 100_000);
    nowMillis += 2_000;
    lastObserver.onReceived(100_000, 100_000);
    answerNextRead(configJson(7));
    assertEquals(2_000, watcher.millisSinceVerified(nowMillis));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 70})
  void shortResponseIsNoChange(int bytes) {
    answerNextRead(configJson(5));
    nowMillis += 1_000;
    lastObserver.onReceived(0, bytes);
    assertEquals(State.CURRENT, watcher.state(nowMillis));
  }
}
