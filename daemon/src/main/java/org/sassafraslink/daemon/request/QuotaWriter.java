package org.sassafraslink.daemon.request;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.daemon.request.TeamQuota.WriteResult;
import org.sassafraslink.rules.process.ProcessQuota.PendingWrite;
import org.sassafraslink.rules.process.QuotaRow;

/**
 * Writes and reads quota rows for the dispatcher, one row at a time. Rows are written by
 * compare-and-set.
 *
 * <p>The dispatcher submits a write of a team's row only after the previous one has ended, so the
 * queue holds at most one write for each team.
 */
public final class QuotaWriter {
  private static final int TASK_QUEUE_CAPACITY = 4_096;

  /**
   * A write or a read of a team's quota row.
   *
   * @param write the write; if empty, the row is read
   */
  public record Task(String team, Optional<PendingWrite> write) {}

  /** Receives the results of the tasks. */
  interface ResultListener {
    /** Receives a quota row that was read at {@code version}. */
    void onRowRead(QuotaRow row, long version);

    /** Receives the result of a write of a team's quota row. */
    void onWriteEnded(String team, WriteResult result);
  }

  private final TableService table;
  private final BlockingQueue<Task> tasks = new ArrayBlockingQueue<>(TASK_QUEUE_CAPACITY);
  private volatile ResultListener listener;

  private QuotaWriter(TableService table) {
    this.table = table;
  }

  /** Creates a writer of the quota rows in {@code table}. */
  public static QuotaWriter create(TableService table) {
    return new QuotaWriter(table);
  }

  /** Sends the results of all tasks to {@code dispatcher}. Call this before the first task. */
  public void sendResultsTo(Dispatcher dispatcher) {
    sendResultsTo(
        new ResultListener() {
          @Override
          public void onRowRead(QuotaRow row, long version) {
            dispatcher.onQuotaRowRead(row, version);
          }

          @Override
          public void onWriteEnded(String team, WriteResult result) {
            dispatcher.onQuotaWriteEnded(team, result);
          }
        });
  }

  void sendResultsTo(ResultListener newListener) {
    listener = newListener;
  }

  /**
   * Enqueues a task. If the queue is full, a write ends as not performed and a read is dropped; the
   * dispatcher submits either again later.
   */
  public void submit(Task task) {
    if (!tasks.offer(task) && task.write().isPresent()) {
      listener.onWriteEnded(task.team(), new WriteResult.NotPerformed());
    }
  }

  /** Waits for a task and processes it. */
  public void processNextTask() throws InterruptedException {
    process(tasks.take());
  }

  /**
   * Processes the next queued task.
   *
   * @return false if there was none
   */
  boolean processNextTaskIfPresent() {
    Task task = tasks.poll();
    if (task != null) {
      process(task);
    }
    return task != null;
  }

  private void process(Task task) {
    String key = QuotaRow.key(task.team());
    if (task.write().isEmpty()) {
      readRow(key);
      return;
    }
    PendingWrite write = task.write().get();
    Either<PlatformFailure, Long> committed =
        table.commit(
            Transaction.compareAndSet(key, write.baseVersion(), Json.write(write.proposed())));
    listener.onWriteEnded(
        task.team(), committed.fold(this::toWriteResult, WriteResult.Committed::new));
    // After a conflict or a lost answer, the dispatcher needs the current row.
    if (committed.isLeft() && !(committed.getLeft() instanceof PlatformFailure.Unavailable)) {
      readRow(key);
    }
  }

  private WriteResult toWriteResult(PlatformFailure failure) {
    if (failure instanceof PlatformFailure.Conflict) {
      return new WriteResult.Conflict();
    }
    return failure instanceof PlatformFailure.Unavailable
        ? new WriteResult.NotPerformed()
        : new WriteResult.AnswerLost();
  }

  private void readRow(String key) {
    Either<PlatformFailure, Optional<Row>> read = table.read(key);
    read.forEach(
        row ->
            row.ifPresent(
                found ->
                    listener.onRowRead(
                        Json.readTrusted(found.value(), QuotaRow.class), found.version())));
  }
}
