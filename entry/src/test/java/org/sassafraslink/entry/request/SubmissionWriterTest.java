package org.sassafraslink.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Checks that {@link SubmissionWriter} accepts a job only after it is stored, and rejects it only
 * if it is not stored and cannot be stored later. An insert without an answer may still be applied:
 * if the job were rejected, it could run although its caller was told that it was not accepted.
 */
class SubmissionWriterTest {
  private static final int DEADLINE_MILLIS = 3_000;

  private long nowMillis = 10_000;
  private boolean storeUnreachable;

  /** Whether the store becomes unreachable at the next commit. */
  private boolean unreachableAfterNextCommit;

  private final Deque<RowStore.Outcome> scriptedOutcomes = new ArrayDeque<>();
  private final List<RowStore.Transaction> transactions = new ArrayList<>();
  private final List<Integer> responseStatuses = new ArrayList<>();
  private final List<Integer> retryAfterSeconds = new ArrayList<>();
  private final List<String> storedJobs = new ArrayList<>();

  private final SubmissionWriter writer =
      SubmissionWriter.create(
          new ScriptedStore(),
          new TestClock(),
          EventLog.silent(),
          this::runAfter,
          new ScriptedHealth(),
          storedJobs::add);

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

  /** A store that returns the scripted outcomes in order and repeats the last of them. */
  private final class ScriptedStore implements RowStore {
    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      transactions.add(transaction);
      storeUnreachable |= unreachableAfterNextCommit;
      callback.accept(
          scriptedOutcomes.size() > 1 ? scriptedOutcomes.poll() : scriptedOutcomes.peek());
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void readChanges(
        String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> callback) {
      throw new UnsupportedOperationException();
    }
  }

  private final class ScriptedHealth implements StoreHealth {
    @Override
    public boolean isOutageLikely() {
      return storeUnreachable;
    }

    @Override
    public long outageMillis() {
      return 2_500;
    }
  }

  private void runAfter(Runnable task, int millis) {
    nowMillis += millis;
    task.run();
  }

  private void submit(String jobId) {
    writer.submit(
        jobId,
        "row",
        nowMillis + DEADLINE_MILLIS,
        response -> {
          responseStatuses.add(response.status());
          retryAfterSeconds.add(response.retryAfterSeconds());
        });
  }

  private static RowStore.Outcome failed(CallFailure failure) {
    return new RowStore.Outcome.Failed(failure);
  }

  private static RowStore.Outcome conflictWith(String jobId, Kind kind) {
    return new RowStore.Outcome.Conflict(
        ImmutableList.of(new RowStore.StoredRow(JobRows.key(jobId, kind), "", 5, false)));
  }

  @Test
  void acceptsStoredJob() {
    scriptedOutcomes.add(new RowStore.Outcome.Committed(7));
    submit("a");
    assertEquals(List.of(200), responseStatuses);
    assertEquals(List.of("a"), storedJobs);
  }

  @Test
  void eachTransactionSpansOnePartitionAndJobsAreSpreadOverMany() {
    scriptedOutcomes.add(new RowStore.Outcome.Committed(7));
    for (int number = 0; number < 100; number++) {
      submit("job-" + number);
    }
    assertEquals(Collections.nCopies(100, 200), responseStatuses);
    for (RowStore.Transaction transaction : transactions) {
      long partitions =
          transaction.expectations().stream()
              .map(expectation -> expectation.key().partition())
              .distinct()
              .count();
      assertEquals(1, partitions, "partitions of " + transaction);
    }
    long usedPartitions =
        transactions.stream()
            .map(transaction -> transaction.puts().get(0).key().partition())
            .distinct()
            .count();
    assertEquals(
        true, usedPartitions > 20, usedPartitions + " partitions hold the submissions of 100 jobs");
  }

  @Test
  void acceptsIdThatIsAlreadyStored() {
    scriptedOutcomes.add(conflictWith("a", Kind.SUBMISSION));
    submit("a");
    scriptedOutcomes.clear();
    scriptedOutcomes.add(conflictWith("b", Kind.ENDED));
    submit("b");
    assertEquals(List.of(200, 200), responseStatuses);
    assertEquals(2, transactions.size());
  }

  @Test
  void rejectsSoonWhenInsertsAreNotPerformed() {
    scriptedOutcomes.add(failed(CallFailure.NOT_PERFORMED));
    long startMillis = nowMillis;
    submit("a");
    assertEquals(List.of(503), responseStatuses);
    assertEquals(List.of(3), retryAfterSeconds, "for an outage of 2.5 s");
    assertEquals(
        true, nowMillis - startMillis < 300, "rejected after " + (nowMillis - startMillis) + " ms");
  }

  @Test
  void reportsUnknownOutcomeOnceAnInsertMayHaveBeenApplied() {
    scriptedOutcomes.add(failed(CallFailure.OUTCOME_UNKNOWN));
    scriptedOutcomes.add(failed(CallFailure.NOT_PERFORMED));
    submit("a");
    assertEquals(List.of(504), responseStatuses);
  }

  @Test
  void reportsUnknownOutcomeAtOnceWhenStoreIsUnreachable() {
    scriptedOutcomes.add(failed(CallFailure.OUTCOME_UNKNOWN));
    long startMillis = nowMillis;
    unreachableAfterNextCommit = true;
    submit("a");
    assertEquals(List.of(504), responseStatuses);
    assertEquals(startMillis, nowMillis);
  }

  @Test
  void sendsNothingWhileStoreIsUnreachable() {
    storeUnreachable = true;
    submit("a");
    assertEquals(List.of(503), responseStatuses);
    assertEquals(List.of(), transactions);
  }

  @Test
  void doesNotRejectJobThatWasAcceptedBefore() {
    scriptedOutcomes.add(new RowStore.Outcome.Committed(7));
    submit("a");
    storeUnreachable = true;
    submit("a");
    assertEquals(List.of(200, 200), responseStatuses);
  }

  @Test
  void doesNotRejectJobWhoseOutcomeIsUnknown() {
    scriptedOutcomes.add(failed(CallFailure.OUTCOME_UNKNOWN));
    unreachableAfterNextCommit = true;
    submit("a");
    submit("a");
    assertEquals(List.of(504, 504), responseStatuses);
  }

  @Test
  void acceptsJobWhoseInsertWasAppliedWithoutAnswer() {
    scriptedOutcomes.add(failed(CallFailure.OUTCOME_UNKNOWN));
    scriptedOutcomes.add(conflictWith("a", Kind.SUBMISSION));
    submit("a");
    assertEquals(List.of(200), responseStatuses);
  }

  @Test
  void insertRequiresThatJobIsNotStored() {
    scriptedOutcomes.add(new RowStore.Outcome.Committed(7));
    submit("a");
    assertEquals(
        ImmutableList.of(
            new RowStore.Expectation(JobRows.key("a", Kind.SUBMISSION), RowStore.ABSENT),
            new RowStore.Expectation(JobRows.key("a", Kind.ENDED), RowStore.ABSENT)),
        transactions.get(0).expectations());
  }
}
