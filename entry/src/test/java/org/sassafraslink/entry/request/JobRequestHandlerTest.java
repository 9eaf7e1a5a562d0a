package org.sassafraslink.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TransferObserver;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.ConfigWatcher;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;
import org.sassafraslink.scheduler.ResponseTrackingRowStore;

/**
 * Guards against a wrong state, or a cancellation that the scheduler does not see, for a job whose
 * decision rows are in the main partition because a previous version accepted it, and against wrong
 * answers while a newer configuration arrives.
 */
class JobRequestHandlerTest {
  private static final String JOB_ID = "00000000000000a7";
  private static final String CONFIG =
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
          + "\"service\":\"s\",\"auth\":\"open\"}],\"services\":[{\"name\":\"s\"}],"
          + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"weight\":1}]}";
  private static final String ROW = "{\"partitioned\":true,\"queue\":\"r\"}";
  private static final String ROW_OF_PREVIOUS_VERSION = "{\"queue\":\"r\",\"service\":\"s\"}";

  /** The bound on the time from a change of the configuration to its application. */
  private static final long MAX_CONFIG_DELAY_MILLIS = 3_000;

  private static final String DECISION_PARTITION = JobRows.decisionPartition(JOB_ID);

  private final Map<RowStore.RowKey, RowStore.StoredRow> rows = new LinkedHashMap<>();
  private final List<RowStore.Range> reads = new ArrayList<>();
  private final List<CallerResponse> responses = new ArrayList<>();
  private long nowMillis = 10_000;

  /** Receives the progress of the read of changes of the configuration. */
  private TransferObserver changesObserver = TransferObserver.NONE;

  private JobRequestHandler handler;

  /** A store that executes each call at once, except for reads of changes. */
  private final class InMemoryStore implements RowStore {
    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      boolean isConflict =
          transaction.expectations().stream()
              .anyMatch(
                  expectation ->
                      rows.containsKey(expectation.key())
                          != (expectation.version() != RowStore.ABSENT));
      if (isConflict) {
        callback.accept(new Outcome.Conflict(ImmutableList.of()));
      } else {
        transaction.puts().forEach(put -> store(put.key(), put.value()));
        callback.accept(new Outcome.Committed(1));
      }
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      reads.add(range);
      callback.accept(
          Either.right(
              new Rows(
                  rows.values().stream()
                      .filter(row -> isInside(row.key(), range))
                      .collect(ImmutableList.toImmutableList()),
                  false,
                  1)));
    }

    private static boolean isInside(RowKey key, Range range) {
      return key.table().equals(range.table())
          && key.partition().equals(range.partition())
          && key.key().compareTo(range.from()) >= 0
          && (range.to().isEmpty() || key.key().compareTo(range.to()) < 0);
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {}

    @Override
    public void readChanges(
        String table,
        long version,
        int waitMillis,
        TransferObserver observer,
        Consumer<Either<CallFailure, Rows>> callback) {
      changesObserver = observer;
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

  private static final class HealthyStore implements StoreHealth {
    @Override
    public boolean isOutageLikely() {
      return false;
    }

    @Override
    public long outageMillis() {
      return 0;
    }
  }

  private void store(RowStore.RowKey key, String value) {
    rows.put(key, new RowStore.StoredRow(key, value, 1, false));
  }

  @BeforeEach
  void createHandler() {
    store(new RowStore.RowKey("op", "", "config"), CONFIG);
    InMemoryStore store = new InMemoryStore();
    ConfigWatcher watcher =
        ConfigWatcher.create(
            new ResponseTrackingRowStore(store, new TestClock()),
            new TestClock(),
            EventLog.silent(),
            (task, millis) -> {},
            Optional.of(MAX_CONFIG_DELAY_MILLIS),
            settings -> {},
            waves -> {},
            evacuations -> {});
    watcher.start();
    SubmissionWriter writer =
        SubmissionWriter.create(
            store,
            new TestClock(),
            EventLog.silent(),
            (task, millis) -> task.run(),
            new HealthyStore(),
            id -> {});
    handler =
        JobRequestHandler.create(
            watcher, store, writer, new HealthyStore(), new TestClock(), EventLog.silent());
    reads.clear();
  }

  private CallerResponse request(String method) {
    return request(method, "k");
  }

  private CallerResponse request(String method, String key) {
    handler.handleRequest(
        new CallerRequest(method, "h", "/p/" + JOB_ID, key, "", /* deadlineMillis= */ 20_000),
        responses::add);
    return responses.get(responses.size() - 1);
  }

  private void storeSubmission(String row) {
    store(JobRows.key(JOB_ID, Kind.SUBMISSION), row);
  }

  private static RowStore.RowKey mainKey(Kind kind) {
    return JobRows.decisionKey(JobRows.MAIN_PARTITION, JOB_ID, kind);
  }

  @Test
  void stateOfQueuedJobNeedsNoReadOfTheMainPartition() {
    storeSubmission(ROW);
    assertTrue(request("GET").body().contains("queued"));
    assertEquals(
        List.of(JobRows.decisionRange(DECISION_PARTITION, JOB_ID), JobRows.submissionRange(JOB_ID)),
        reads);
  }

  @Test
  void stateOfJobOfPreviousVersionIsReadFromTheMainPartition() {
    storeSubmission(ROW_OF_PREVIOUS_VERSION);
    assertTrue(request("GET").body().contains("queued"));
    store(mainKey(Kind.PROGRESS), "{\"state\":\"RUNNING\"}");
    assertTrue(request("GET").body().contains("running"));
    store(mainKey(Kind.FINAL), "{\"state\":\"FAILED\"}");
    assertTrue(request("GET").body().contains("failed"));
  }

  @ParameterizedTest
  @ValueSource(strings = {ROW, ROW_OF_PREVIOUS_VERSION})
  void cancellationIsStoredBesideTheFinalState(String row) {
    storeSubmission(row);
    assertTrue(request("DELETE").isSuccess());
    boolean isOfPreviousVersion = row.equals(ROW_OF_PREVIOUS_VERSION);
    assertEquals(isOfPreviousVersion, rows.containsKey(mainKey(Kind.CANCELLATION)));
    assertEquals(!isOfPreviousVersion, rows.containsKey(JobRows.key(JOB_ID, Kind.CANCELLATION)));
  }

  @Test
  void endedJobOfPreviousVersionIsNotCancelled() {
    storeSubmission(ROW_OF_PREVIOUS_VERSION);
    store(mainKey(Kind.FINAL), "{\"state\":\"COMPLETED\"}");
    assertFalse(request("DELETE").isSuccess());
    assertFalse(rows.containsKey(mainKey(Kind.CANCELLATION)));
    assertFalse(rows.containsKey(JobRows.key(JOB_ID, Kind.CANCELLATION)));
  }

  static Stream<Arguments> arrivals() {
    return Stream.of(
        Arguments.of("current", 0, 0, "401", "200"),
        Arguments.of("a newer version arrives", 1_000, 1_000, "401", "200"),
        Arguments.of("it arrives for longer than the bound", 3_001, 1_000, "503", "200"),
        Arguments.of("nothing arrives any more", 3_001, 0, "503", "200"));
  }

  /** Guards against refusals because of a read that is under way. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("arrivals")
  void callersAreAnsweredWhileANewerVersionArrives(
      String name, int passedMillis, int lastBytes, String unknownKey, String knownKey) {
    storeSubmission(ROW);
    nowMillis += passedMillis;
    if (lastBytes > 0) {
      changesObserver.onReceived(lastBytes, 1_000_000);
    }
    assertEquals(unknownKey, String.valueOf(request("GET", "other").status()), name);
    assertEquals(knownKey, String.valueOf(request("GET", "k").status()), name);
  }
}
