package org.sassafraslink.scheduler;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.TransferObserver;

/**
 * A {@link RowStore} that records when the store last responded to a call without a failure, when
 * bytes of such a response last arrived, and the time that the store's clock showed.
 */
public final class ResponseTrackingRowStore implements RowStore {
  private final RowStore store;
  private final FleetClock clock;

  /** Volatile, since threads other than the one that makes the calls read it. */
  private volatile long lastResponseMillis;

  /** When bytes of a successful response to a read last arrived; volatile for the same reason. */
  private volatile long lastBytesMillis;

  private Optional<StoreTime> storeTime = Optional.empty();

  /** Creates a wrapper of {@code store}; its construction counts as the first response. */
  public ResponseTrackingRowStore(RowStore store, FleetClock clock) {
    this.store = store;
    this.clock = clock;
    this.lastResponseMillis = clock.monotonicMillis();
    this.lastBytesMillis = lastResponseMillis;
  }

  /** Returns when the store last responded to any call without a failure, monotonic ms. */
  public long lastResponseMillis() {
    return lastResponseMillis;
  }

  /**
   * Returns when the store last responded to any call without a failure, or a part of such a
   * response arrived, monotonic ms.
   */
  public long lastContactMillis() {
    return Math.max(lastResponseMillis, lastBytesMillis);
  }

  /**
   * Returns the latest reading of the store's clock; empty if the store has not told its time. Must
   * be called on the thread that runs the callbacks.
   */
  Optional<StoreTime> storeTime() {
    return storeTime;
  }

  @Override
  public void commit(Transaction transaction, Consumer<Outcome> done) {
    long sentMillis = clock.monotonicMillis();
    long sentWallMillis = clock.wallMillis();
    store.commit(
        transaction,
        outcome -> {
          if (!(outcome instanceof Outcome.Failed)) {
            lastResponseMillis = clock.monotonicMillis();
          }
          if (outcome instanceof Outcome.Committed committed) {
            recordStoreTime(committed.storeMillis(), sentMillis, sentWallMillis);
          }
          done.accept(outcome);
        });
  }

  @Override
  public void read(Range range, Consumer<Either<CallFailure, Rows>> done) {
    read(range, TransferObserver.NONE, done);
  }

  @Override
  public void read(
      Range range, TransferObserver observer, Consumer<Either<CallFailure, Rows>> done) {
    long sentMillis = clock.monotonicMillis();
    long sentWallMillis = clock.wallMillis();
    store.read(
        range,
        trackBytes(observer),
        result -> {
          result.forEach(rows -> recordStoreTime(rows.storeMillis(), sentMillis, sentWallMillis));
          done.accept(recordIfSuccessful(result));
        });
  }

  @Override
  public void readChanges(
      String table, long version, int waitMillis, Consumer<Either<CallFailure, Rows>> done) {
    readChanges(table, version, waitMillis, TransferObserver.NONE, done);
  }

  @Override
  public void readChanges(
      String table,
      long version,
      int waitMillis,
      TransferObserver observer,
      Consumer<Either<CallFailure, Rows>> done) {
    store.readChanges(
        table,
        version,
        waitMillis,
        trackBytes(observer),
        result -> done.accept(recordIfSuccessful(result)));
  }

  private TransferObserver trackBytes(TransferObserver observer) {
    return (receivedBytes, expectedBytes) -> {
      lastBytesMillis = clock.monotonicMillis();
      observer.onReceived(receivedBytes, expectedBytes);
    };
  }

  private void recordStoreTime(long storeMillis, long sentMillis, long sentWallMillis) {
    boolean isLater = storeTime.map(time -> time.sentMillis() <= sentMillis).orElse(true);
    if (storeMillis != UNKNOWN_TIME && isLater) {
      storeTime =
          Optional.of(
              new StoreTime(storeMillis, sentMillis, sentWallMillis, clock.monotonicMillis()));
    }
  }

  private Either<CallFailure, Rows> recordIfSuccessful(Either<CallFailure, Rows> result) {
    if (result.isRight()) {
      lastResponseMillis = clock.monotonicMillis();
    }
    return result;
  }
}
