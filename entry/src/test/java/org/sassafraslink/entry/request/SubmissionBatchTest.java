package org.sassafraslink.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.JobRows;

/** Guards against large rows that make the store reject the jobs of other callers. */
class SubmissionBatchTest {
  private static final int TRANSACTIONS_IN_FLIGHT = 12;

  private final List<RowStore.Transaction> transactions = new ArrayList<>();
  private final List<Consumer<RowStore.Outcome>> callbacks = new ArrayList<>();

  private final SubmissionWriter writer =
      SubmissionWriter.create(
          new SilentStore(),
          new StoppedClock(),
          EventLog.silent(),
          (task, millis) -> {},
          new Healthy(),
          jobId -> {});

  private static final class StoppedClock implements FleetClock {
    @Override
    public long monotonicMillis() {
      return 0;
    }

    @Override
    public long wallMillis() {
      return 0;
    }
  }

  private static final class Healthy implements StoreHealth {
    @Override
    public boolean isOutageLikely() {
      return false;
    }

    @Override
    public long outageMillis() {
      return 0;
    }
  }

  /** A store that does not answer by itself. */
  private final class SilentStore implements RowStore {
    @Override
    public void commit(Transaction transaction, Consumer<Outcome> callback) {
      transactions.add(transaction);
      callbacks.add(callback);
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

  private void submit(String jobId, int rowLength) {
    writer.submit(jobId, "r".repeat(rowLength), 60_000, response -> {});
  }

  @ParameterizedTest
  @CsvSource({"10, 10, 2", "10, 100000, 1", "100000, 10, 1", "100000, 100000, 1"})
  void largeRowDoesNotShareTransaction(int firstLength, int secondLength, int rows) {
    List<String> ids =
        IntStream.range(0, 10_000)
            .mapToObj(i -> String.format(Locale.ROOT, "%016x", i))
            .filter(
                id ->
                    JobRows.submissionPartition(id)
                        .equals(JobRows.submissionPartition("0000000000000000")))
            .toList();
    for (int i = 0; i < TRANSACTIONS_IN_FLIGHT; i++) {
      submit(ids.get(i), 10);
    }
    submit(ids.get(TRANSACTIONS_IN_FLIGHT), firstLength);
    submit(ids.get(TRANSACTIONS_IN_FLIGHT + 1), secondLength);
    callbacks.get(0).accept(new RowStore.Outcome.Committed(1));
    assertEquals(rows, transactions.get(TRANSACTIONS_IN_FLIGHT).puts().size());
  }
}
