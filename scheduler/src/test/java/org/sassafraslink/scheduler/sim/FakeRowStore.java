package org.sassafraslink.scheduler.sim;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.RowStore;
import org.sassafraslink.scheduler.JobRows;

/** An in-memory row store that can simulate failures for the calls of each node separately. */
public final class FakeRowStore {
  /** How the store responds to the calls of one node. */
  public enum Behavior {
    /** Executes calls and responds to them. */
    NORMAL,
    /** Lets calls fail at once without executing them. */
    FAILS_CALLS,
    /** Lets reads and long polls of the table of jobs fail at once; responds to all other calls. */
    FAILS_READS_OF_JOBS,
    /** Neither executes calls nor responds to them. */
    UNRESPONSIVE,
    /** Applies transactions, but their responses are lost; responds to reads. */
    LOSES_RESPONSES,
    /**
     * Loses the responses to transactions, and applies them 3 s later if their expectations still
     * hold; responds to reads, except for long polls that have to wait.
     */
    APPLIES_TRANSACTIONS_LATE
  }

  private static final long COMMIT_LATENCY_MILLIS = 6;
  private static final long CALL_TIMEOUT_MILLIS = 900;
  private static final long LATE_APPLY_MILLIS = 3_000;

  /** The key of a fence row, within its partition of the control table. */
  private static final String FENCE_ROW_KEY = "fence";

  private record Entry(RowStore.StoredRow row) {}

  private final SimClock clock;
  private final long startMillis;
  private final Random random;
  private final GuaranteeChecker guaranteeChecker;

  /** The rows by {@link #storageKey}. */
  private final TreeMap<String, Entry> rows = new TreeMap<>();

  /** The changes after {@link #lastDiscardedVersion}, in their order. */
  private final List<RowStore.StoredRow> history = new ArrayList<>();

  private final Map<String, Behavior> behaviorByNode = new HashMap<>();

  /** How long a transaction occupies its partition, in ms; 0 if they do not wait for each other. */
  private int transactionMillis;

  /** How much later transactions that write to a table are applied, in ms. */
  private final Map<String, Integer> delayMillisByTable = new HashMap<>();

  /** When all transactions sent so far to a partition will have been applied, by partition. */
  private final Map<String, Long> busyUntilMillisByPartition = new HashMap<>();

  /** How many transactions have written to each table. */
  private final Map<String, Integer> writesByTable = new HashMap<>();

  private long longPollsSilentUntilMillis;

  /** How far the store's clock advances in one ms. */
  private double clockRate = 1;

  private long lastVersion = 10;
  private long lastDiscardedVersion;

  /** Creates a store for a test that checks no guarantees to callers. */
  public FakeRowStore(SimClock clock, Random random) {
    this(clock, random, new GuaranteeChecker(clock));
  }

  FakeRowStore(SimClock clock, Random random, GuaranteeChecker guaranteeChecker) {
    this.clock = clock;
    this.startMillis = clock.nowMillis();
    this.random = random;
    this.guaranteeChecker = guaranteeChecker;
  }

  /** Sets how the store responds to the calls of a node from now on. */
  public void setBehavior(String node, Behavior behavior) {
    behaviorByNode.put(node, behavior);
  }

  /** Returns whether the store is slow, or does not respond as usual to some node. */
  boolean hasFault() {
    return transactionMillis > 0
        || clock.nowMillis() < longPollsSilentUntilMillis
        || delayMillisByTable.values().stream().anyMatch(millis -> millis > 0)
        || behaviorByNode.values().stream().anyMatch(behavior -> behavior != Behavior.NORMAL);
  }

  /** Returns whether the store answers the reads of a node. */
  boolean answersReadsOf(String node) {
    Behavior behavior = behaviorByNode.getOrDefault(node, Behavior.NORMAL);
    return behavior != Behavior.FAILS_CALLS && behavior != Behavior.UNRESPONSIVE;
  }

  /**
   * From now on applies the transactions of one partition one after the other, each of which takes
   * {@code millis} ms. A response that takes longer than the time limit of calls is lost.
   */
  public void setTransactionMillis(int millis) {
    transactionMillis = millis;
  }

  /** From now on applies transactions that write to {@code table} {@code millis} ms later. */
  public void delayWrites(String table, int millis) {
    delayMillisByTable.put(table, millis);
  }

  /** Returns how many transactions have written to a table. */
  public int countWrites(String table) {
    return writesByTable.getOrDefault(table, 0);
  }

  private int delayMillis(RowStore.Transaction transaction) {
    return transaction.puts().stream()
        .mapToInt(put -> delayMillisByTable.getOrDefault(put.key().table(), 0))
        .max()
        .orElse(0);
  }

  /**
   * Lets long polls for changes hear nothing for {@code millis} ms, and then fail. All other calls
   * are answered.
   */
  public void silenceLongPolls(long millis) {
    longPollsSilentUntilMillis = clock.nowMillis() + millis;
  }

  /** Sets how far the store's clock, which starts at 0, advances in one ms of simulated time. */
  public void setClockRate(double rate) {
    clockRate = rate;
  }

  /** Returns the time of the store's clock, in ms. */
  public long storeMillis() {
    return (long) ((clock.nowMillis() - startMillis) * clockRate);
  }

  /** Discards the history of changes, so that readers of changes must read all rows again. */
  public void discardHistory() {
    lastDiscardedVersion = lastVersion;
    history.clear();
  }

  /**
   * Writes a row without expectations, on behalf of a process that is not simulated, such as the
   * platform or an entry VM.
   */
  public void putRow(String table, String partition, String key, String value) {
    lastVersion++;
    storeAndAddToHistory(
        new RowStore.StoredRow(
            new RowStore.RowKey(table, partition, key), value, lastVersion, false));
  }

  /** Deletes a row without expectations; does nothing if it is absent. */
  public void deleteRow(String table, String partition, String key) {
    RowStore.RowKey rowKey = new RowStore.RowKey(table, partition, key);
    if (rows.remove(storageKey(rowKey)) != null) {
      lastVersion++;
      history.add(new RowStore.StoredRow(rowKey, "", lastVersion, true));
    }
  }

  public boolean hasRow(RowStore.RowKey key) {
    return rows.containsKey(storageKey(key));
  }

  /** Returns a row, or null if it is absent. */
  public RowStore.StoredRow findRow(RowStore.RowKey key) {
    Entry entry = rows.get(storageKey(key));
    return entry == null ? null : entry.row();
  }

  /**
   * Returns a client of the store for a node, subject to the behavior set for the node.
   *
   * @param disabled the disabled mechanisms, which may change during the test
   */
  public RowStore viewOf(String node, Set<DisabledMechanism> disabled) {
    return new NodeView(node, disabled);
  }

  private static String storageKey(RowStore.RowKey key) {
    return key.table() + '\1' + key.partition() + '\1' + key.key();
  }

  private void storeAndAddToHistory(RowStore.StoredRow row) {
    rows.put(storageKey(row.key()), new Entry(row));
    history.add(row);
  }

  private long versionOf(RowStore.RowKey key) {
    Entry entry = rows.get(storageKey(key));
    return entry == null ? RowStore.ABSENT : entry.row().version();
  }

  /** Throws if a transaction spans several partitions, which the platform would reject. */
  private static void requireSinglePartition(RowStore.Transaction transaction) {
    long partitions =
        Stream.of(
                transaction.expectations().stream().map(RowStore.Expectation::key),
                transaction.puts().stream().map(RowStore.Put::key),
                transaction.deletes().stream())
            .flatMap(keys -> keys)
            .map(RowStore.RowKey::partition)
            .distinct()
            .count();
    if (partitions > 1) {
      throw new IllegalArgumentException(
          "a transaction spans " + partitions + " partitions: " + transaction);
    }
  }

  private static String partitionOf(RowStore.Transaction transaction) {
    return Stream.concat(
            transaction.puts().stream().map(RowStore.Put::key), transaction.deletes().stream())
        .map(RowStore.RowKey::partition)
        .findFirst()
        .orElseThrow();
  }

  /**
   * Adds a violation if a node changes a decision partition while the partition's fence names a
   * process of another node, or replaces a fence by one with a lower epoch.
   */
  private void checkFence(String node, RowStore.Transaction transaction) {
    String partition = partitionOf(transaction);
    RowStore.StoredRow fence = findRow(new RowStore.RowKey("control", partition, FENCE_ROW_KEY));
    if (fence == null) {
      return;
    }
    if (!writesControlTable(transaction)) {
      if (!fence.value().contains(" " + node + "-")) {
        guaranteeChecker.addViolation(
            "STALE_DECISION", node + " changes " + partition + " of " + fence.value());
      }
    } else if (fenceEpoch(transaction.puts().get(0).value()) < fenceEpoch(fence.value())) {
      guaranteeChecker.addViolation(
          "FENCE_LOWERED", node + " replaces the fence " + fence.value() + " of " + partition);
    }
  }

  private static long fenceEpoch(String fence) {
    return Long.parseLong(fence.substring(0, fence.indexOf(' ')));
  }

  private static boolean writesControlTable(RowStore.Transaction transaction) {
    return transaction.puts().stream().anyMatch(put -> put.key().table().equals("control"));
  }

  private RowStore.Outcome commitAtomically(String node, RowStore.Transaction transaction) {
    requireSinglePartition(transaction);
    for (RowStore.Expectation expectation : transaction.expectations()) {
      if (versionOf(expectation.key()) != expectation.version()) {
        ImmutableList.Builder<RowStore.StoredRow> current = ImmutableList.builder();
        for (RowStore.Expectation checked : transaction.expectations()) {
          Entry entry = rows.get(storageKey(checked.key()));
          if (entry != null) {
            current.add(entry.row());
          }
        }
        return new RowStore.Outcome.Conflict(current.build());
      }
    }
    checkFence(node, transaction);
    lastVersion++;
    transaction.puts().stream()
        .map(put -> put.key().table())
        .distinct()
        .forEach(table -> writesByTable.merge(table, 1, Integer::sum));
    for (RowStore.Put put : transaction.puts()) {
      storeAndAddToHistory(new RowStore.StoredRow(put.key(), put.value(), lastVersion, false));
    }
    for (RowStore.RowKey key : transaction.deletes()) {
      if (rows.remove(storageKey(key)) != null) {
        history.add(new RowStore.StoredRow(key, "", lastVersion, true));
      }
    }
    return new RowStore.Outcome.Committed(lastVersion, storeMillis());
  }

  /** The store as one node sees it. */
  private final class NodeView implements RowStore {
    private final String node;
    private final Set<DisabledMechanism> disabled;

    NodeView(String node, Set<DisabledMechanism> disabled) {
      this.node = node;
      this.disabled = disabled;
    }

    private Behavior behavior() {
      return behaviorByNode.getOrDefault(node, Behavior.NORMAL);
    }

    @Override
    public void commit(Transaction requested, Consumer<Outcome> done) {
      Transaction transaction = withoutDisabledChecks(requested);
      switch (behavior()) {
        case NORMAL, FAILS_READS_OF_JOBS -> {
          if (transactionMillis > 0) {
            commitInTurn(transaction, done);
          } else {
            clock.runAfter(
                COMMIT_LATENCY_MILLIS + random.nextInt(4) + delayMillis(transaction),
                () -> {
                  Outcome outcome = commitAtomically(node, transaction);
                  clock.runAfter(1, () -> done.accept(outcome));
                });
          }
        }
        case FAILS_CALLS ->
            clock.runAfter(2, () -> done.accept(new Outcome.Failed(CallFailure.NOT_PERFORMED)));
        case UNRESPONSIVE ->
            clock.runAfter(
                CALL_TIMEOUT_MILLIS,
                () -> done.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN)));
        case LOSES_RESPONSES -> {
          clock.runAfter(COMMIT_LATENCY_MILLIS, () -> commitAtomically(node, transaction));
          clock.runAfter(
              CALL_TIMEOUT_MILLIS,
              () -> done.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN)));
        }
        case APPLIES_TRANSACTIONS_LATE -> {
          clock.runAfter(LATE_APPLY_MILLIS, () -> commitAtomically(node, transaction));
          clock.runAfter(
              CALL_TIMEOUT_MILLIS,
              () -> done.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN)));
        }
      }
    }

    /** Applies a transaction after all that were sent to its partition before. */
    private void commitInTurn(Transaction transaction, Consumer<Outcome> done) {
      long now = clock.nowMillis();
      long appliedMillis =
          transactionMillis
              + Math.max(
                  now, busyUntilMillisByPartition.getOrDefault(partitionOf(transaction), now));
      busyUntilMillisByPartition.put(partitionOf(transaction), appliedMillis);
      boolean isAnswered = appliedMillis - now < CALL_TIMEOUT_MILLIS;
      clock.runAfter(
          appliedMillis - now,
          () -> {
            Outcome outcome = commitAtomically(node, transaction);
            if (isAnswered) {
              clock.runAfter(1, () -> done.accept(outcome));
            }
          });
      if (!isAnswered) {
        clock.runAfter(
            CALL_TIMEOUT_MILLIS,
            () -> done.accept(new Outcome.Failed(CallFailure.OUTCOME_UNKNOWN)));
      }
    }

    /**
     * Returns a transaction without the expectations that are disabled. One that writes the control
     * table keeps all, since these rows hold the scheduler lease and the fences.
     */
    private Transaction withoutDisabledChecks(Transaction transaction) {
      if (writesControlTable(transaction)) {
        return transaction;
      }
      ImmutableList<Expectation> checked =
          transaction.expectations().stream()
              .filter(expectation -> !isDisabled(expectation.key()))
              .collect(ImmutableList.toImmutableList());
      return new Transaction(checked, transaction.puts(), transaction.deletes());
    }

    private boolean isDisabled(RowKey expected) {
      return disabled.contains(DisabledMechanism.COMMIT_CHECKS)
          || (disabled.contains(DisabledMechanism.DECISION_FENCE_CHECKS)
              && expected.key().equals(FENCE_ROW_KEY));
    }

    @Override
    public void read(Range range, Consumer<Either<CallFailure, Rows>> done) {
      respondIfReachable(
          range.table(),
          done,
          () -> {
            ImmutableList.Builder<StoredRow> found = ImmutableList.builder();
            for (Entry entry : rows.values()) {
              RowKey key = entry.row().key();
              boolean isInside =
                  key.table().equals(range.table())
                      && key.partition().equals(range.partition())
                      && key.key().compareTo(range.from()) >= 0
                      && (range.to().isEmpty() || key.key().compareTo(range.to()) < 0);
              if (isInside) {
                found.add(entry.row());
              }
            }
            return Either.right(new Rows(found.build(), false, lastVersion, storeMillis()));
          });
    }

    @Override
    public void readChanges(
        String table, long sinceVersion, int waitMillis, Consumer<Either<CallFailure, Rows>> done) {
      Consumer<Either<CallFailure, Boolean>> onReachable =
          reachable -> pollChanges(table, sinceVersion, waitMillis, reachable, done);
      respondIfReachable(table, onReachable, () -> Either.right(true));
    }

    private void pollChanges(
        String table,
        long sinceVersion,
        int waitMillis,
        Either<CallFailure, Boolean> reachable,
        Consumer<Either<CallFailure, Rows>> done) {
      if (reachable.isLeft()) {
        done.accept(Either.left(reachable.getLeft()));
        return;
      }
      if (clock.nowMillis() < longPollsSilentUntilMillis) {
        clock.runAfter(
            longPollsSilentUntilMillis - clock.nowMillis(),
            () -> done.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
        return;
      }
      if (sinceVersion < lastDiscardedVersion) {
        done.accept(Either.left(CallFailure.HISTORY_DISCARDED));
        return;
      }
      ImmutableList<StoredRow> changed =
          history.stream()
              .filter(row -> row.version() > sinceVersion && row.key().table().equals(table))
              .collect(ImmutableList.toImmutableList());
      if (!changed.isEmpty() || waitMillis <= 0) {
        done.accept(Either.right(new Rows(changed, false, lastVersion, storeMillis())));
      } else if (behavior() != Behavior.NORMAL
          && behavior() != Behavior.LOSES_RESPONSES
          && behavior() != Behavior.FAILS_READS_OF_JOBS) {
        clock.runAfter(waitMillis, () -> done.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
      } else {
        clock.runAfter(
            10, () -> pollChanges(table, sinceVersion, waitMillis - 10, reachable, done));
      }
    }

    private <T> void respondIfReachable(
        String table,
        Consumer<Either<CallFailure, T>> done,
        java.util.function.Supplier<Either<CallFailure, T>> response) {
      if (behavior() == Behavior.FAILS_READS_OF_JOBS && table.equals(JobRows.TABLE)) {
        clock.runAfter(2, () -> done.accept(Either.left(CallFailure.NOT_PERFORMED)));
        return;
      }
      switch (behavior()) {
        case FAILS_CALLS ->
            clock.runAfter(2, () -> done.accept(Either.left(CallFailure.NOT_PERFORMED)));
        case UNRESPONSIVE ->
            clock.runAfter(
                CALL_TIMEOUT_MILLIS, () -> done.accept(Either.left(CallFailure.OUTCOME_UNKNOWN)));
        default -> clock.runAfter(4, () -> done.accept(response.get()));
      }
    }
  }
}
