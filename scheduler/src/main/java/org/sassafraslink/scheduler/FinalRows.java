package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.api.fleet.RowStore.Change;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.scheduler.JobRows.Kind;

/** Deletes the final states of jobs when they need not be shown any more. */
final class FinalRows {
  /** Rows deleted in one transaction. */
  private static final int BATCH = 50;

  /** Kept longer than promised by this factor, since clocks differ and submitters repeat. */
  private static final double KEPT_FACTOR = 1.5;

  private record Kept(String job, long sinceMillis) {}

  private final RowStore store;
  private final FleetClock clock;
  private final SchedulerLease lease;
  private final long keptMillis;
  private final Deque<Kept> rows = new ArrayDeque<>();
  private boolean pending;
  private long term;

  FinalRows(RowStore store, FleetClock clock, SchedulerLease lease, long stateKeptMillis) {
    this.store = store;
    this.clock = clock;
    this.lease = lease;
    this.keptMillis = (long) (stateKeptMillis * KEPT_FACTOR);
  }

  void reset() {
    term++;
    rows.clear();
    pending = false;
  }

  void add(String job) {
    rows.add(new Kept(job, clock.monotonicMillis()));
  }

  void tick(long nowMillis) {
    if (pending || rows.isEmpty() || !lease.isValid()) {
      return;
    }
    List<Kept> due = new ArrayList<>();
    for (Kept row : rows) {
      if (due.size() >= BATCH || nowMillis - row.sinceMillis() < keptMillis) {
        break;
      }
      due.add(row);
    }
    if (due.isEmpty()) {
      return;
    }
    pending = true;
    long sentTerm = term;
    ImmutableList<RowKey> keys =
        due.stream()
            .map(row -> JobRows.key(row.job(), Kind.FINAL))
            .collect(ImmutableList.toImmutableList());
    store.change(
        new Change(ImmutableList.of(lease.guard()), ImmutableList.of(), keys),
        outcome -> {
          if (term == sentTerm) {
            pending = false;
            if (outcome instanceof RowStore.Outcome.Committed) {
              rows.removeAll(due);
            }
          }
        });
  }
}
