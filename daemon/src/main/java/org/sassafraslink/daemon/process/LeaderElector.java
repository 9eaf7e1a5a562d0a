package org.sassafraslink.daemon.process;

import io.vavr.control.Either;
import java.util.Optional;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.platform.PlatformFailure;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.rules.process.LeadershipLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires and renews the lease of one leadership task, and fences the transactions of the task.
 *
 * <p>Each transaction of the task checks the version of the lease row. If the holder was paused
 * until after its lease expired, its successor has changed that version, and the transaction of the
 * former holder has no effect.
 */
final class LeaderElector {
  private static final Logger LOG = LoggerFactory.getLogger("duty");

  private final String task;
  private final String self;
  private final TableService table;
  private final Clock clock;
  private final long leaseMillis;
  private long otherLeaseEndMillis;
  private boolean wasLeader;

  private LeaderElector(
      String task, String self, TableService table, Clock clock, long leaseMillis) {
    this.task = task;
    this.self = self;
    this.table = table;
    this.clock = clock;
    this.leaseMillis = leaseMillis;
  }

  /**
   * Creates the elector of one leadership task.
   *
   * @param task the name of the leadership task
   * @param self the id of this process
   * @param leaseMillis how long the lease lasts after it is acquired or renewed, in ms
   */
  static LeaderElector create(
      String task, String self, TableService table, Clock clock, long leaseMillis) {
    return new LeaderElector(task, self, table, clock, leaseMillis);
  }

  /**
   * Fences the transactions of a task whose lease this process held when the lease row was read.
   *
   * @param leaseKey the key of the lease row
   * @param leaseVersion the version of the lease row, which changes when a process acquires or
   *     renews the lease
   * @param table the table service to which transactions are committed
   */
  record Fence(String leaseKey, long leaseVersion, TableService table) {
    /**
     * Commits {@code transaction} if the lease row still has {@code leaseVersion}. Returns whether
     * the commit is confirmed; without a confirmation, it may still have taken effect.
     */
    boolean commit(Transaction transaction) {
      return table.commit(transaction.check(leaseKey, leaseVersion)).isRight();
    }
  }

  /**
   * Acquires the lease, or renews it if that is due. Returns empty if another process holds the
   * lease or the store did not confirm that this process holds it.
   */
  Optional<Fence> acquireOrRenew() {
    if (clock.wallMillis() < otherLeaseEndMillis) {
      return Optional.empty();
    }
    String key = LeadershipLease.key(task);
    Either<PlatformFailure, Optional<Row>> read = table.read(key);
    if (read.isLeft()) {
      return Optional.empty();
    }
    LeadershipLease lease =
        read.get()
            .map(row -> Json.readTrusted(row.value(), LeadershipLease.class))
            .orElse(LeadershipLease.neverHeld());
    long version = read.get().map(Row::version).orElse(Row.ABSENT);
    long nowMillis = clock.wallMillis();
    if (!lease.shouldAcquire(self, nowMillis, leaseMillis)) {
      return Optional.of(new Fence(key, version, table));
    }
    boolean isHeldByOther = !lease.holder().equals(self) && nowMillis < lease.untilMillis();
    // The row is not read again until the other holder's lease expires: the lease cannot be
    // acquired earlier, and each read puts load on the store.
    otherLeaseEndMillis = isHeldByOther ? lease.untilMillis() : 0;
    Optional<Fence> fence =
        lease
            .acquire(self, nowMillis, leaseMillis)
            .flatMap(
                next ->
                    table
                        .commit(Transaction.compareAndSet(key, version, Json.write(next)))
                        .toJavaOptional())
            .map(committedVersion -> new Fence(key, committedVersion, table));
    updateAndLogLeadership(fence.isPresent());
    return fence;
  }

  private void updateAndLogLeadership(boolean isLeader) {
    if (isLeader && !wasLeader) {
      LOG.info("Acquired the leadership lease of {}.", task);
    }
    wasLeader = isLeader;
  }
}
