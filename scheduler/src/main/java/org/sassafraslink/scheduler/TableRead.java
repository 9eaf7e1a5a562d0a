package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Range;
import org.sassafraslink.api.fleet.RowStore.Rows;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.fleet.TransferObserver;

/**
 * Reads all rows of some partitions of a table, page by page and several partitions at once.
 *
 * <p>A page that fails is read again, and pages that have been read are kept, so that the time that
 * the link needs for the whole table need not pass without a failure. Each failure halves the
 * number of pages that are read at once: over a slow link, the responses of many reads wait for
 * each other until some count as lost.
 *
 * <p>Confined to one thread.
 */
public final class TableRead {
  /** Receives the outcome of a read. */
  public interface Listener {
    /**
     * Called when a page could not be read. Nothing more is sent until {@link
     * TableRead#sendDuePages} is called again.
     */
    void onPageFailed(CallFailure failure);

    /**
     * Called once, when all pages have been read.
     *
     * @param rows the rows; those of different pages may be of different versions of the store
     * @param version the lowest version of the pages, from which on changes are to be read: a row
     *     of an earlier page may have changed before a later page was read
     */
    void onComplete(ImmutableList<StoredRow> rows, long version);
  }

  private final RowStore store;
  private final TransferObserver observer;
  private final Listener listener;

  /** The pages that are to be read, from the smallest key that is still missing. */
  private final Deque<Range> duePages = new ArrayDeque<>();

  private final List<StoredRow> rows = new ArrayList<>();
  private long lowestVersion = Long.MAX_VALUE;
  private int pendingPages;
  private int maxPendingPages;
  private boolean paused;
  private boolean abandoned;

  private TableRead(
      RowStore store,
      String table,
      ImmutableList<String> partitions,
      TransferObserver observer,
      Listener listener) {
    this.store = store;
    this.observer = observer;
    this.listener = listener;
    this.maxPendingPages = partitions.size();
    partitions.forEach(partition -> duePages.add(new Range(table, partition, "", "")));
  }

  /** Returns a read that sends nothing until {@link #sendDuePages} is called. */
  public static TableRead create(
      RowStore store,
      String table,
      ImmutableList<String> partitions,
      TransferObserver observer,
      Listener listener) {
    return new TableRead(store, table, partitions, observer, listener);
  }

  /** Sends the reads of pages that are due, also after a failure. */
  public void sendDuePages() {
    paused = false;
    sendUnlessPaused();
  }

  /** Ends the read; its listener is not called any more. */
  public void abandon() {
    abandoned = true;
  }

  private void sendUnlessPaused() {
    while (!paused && !abandoned && pendingPages < maxPendingPages && !duePages.isEmpty()) {
      Range page = duePages.poll();
      pendingPages++;
      store.read(page, observer, result -> applyPage(page, result));
    }
  }

  private void applyPage(Range page, Either<CallFailure, Rows> result) {
    pendingPages--;
    if (abandoned) {
      return;
    }
    if (result.isLeft()) {
      duePages.addFirst(page);
      maxPendingPages = Math.max(1, maxPendingPages / 2);
      paused = true;
      listener.onPageFailed(result.getLeft());
      return;
    }
    Rows found = result.get();
    rows.addAll(found.rows());
    lowestVersion = Math.min(lowestVersion, found.version());
    if (found.hasMore() && !found.rows().isEmpty()) {
      StoredRow last = found.rows().get(found.rows().size() - 1);
      // Appending '\0' gives the smallest key after the last one.
      duePages.addFirst(
          new Range(page.table(), page.partition(), last.key().key() + '\0', page.to()));
    }
    if (duePages.isEmpty() && pendingPages == 0) {
      listener.onComplete(ImmutableList.copyOf(rows), lowestVersion);
    } else {
      sendUnlessPaused();
    }
  }
}
