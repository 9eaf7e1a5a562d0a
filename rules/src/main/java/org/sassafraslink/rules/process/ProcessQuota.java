package org.sassafraslink.rules.process;

import java.util.Optional;

/**
 * The quota of one process, which is its part of a team's upper limit, with the number of requests
 * that use it and the pending write of the quota row.
 *
 * <p>Before a write that gives up permits is sent, these permits are withheld here, so that two
 * processes never use the same permit. A write is a compare-and-set on the version of the row. If
 * the answer to a write is lost, the permits stay withheld until the row is read at another
 * version: then the write has either taken effect or never will, and the quota in that row is
 * valid.
 *
 * @param self the id of this process, under which its permits are stored in the row
 * @param row the last known quota row of the team
 * @param rowVersion the version of {@code row}; 0 before the first read
 * @param running the number of requests of the team that this process has started and that have not
 *     ended
 * @param pending the write whose outcome is not known yet; empty if there is none
 */
public record ProcessQuota(
    String self, QuotaRow row, long rowVersion, int running, Optional<PendingWrite> pending) {

  /**
   * A write of the quota row that was sent and whose outcome is not known yet.
   *
   * @param baseVersion the version that the row must have for the write to take effect
   * @param proposed the row to write
   * @param withheldPermits the number of permits that the write gives up, which must not be used
   *     while it is pending
   * @param mayHaveCommitted whether an attempt of this write may have taken effect, or still may
   */
  public record PendingWrite(
      long baseVersion, QuotaRow proposed, int withheldPermits, boolean mayHaveCommitted) {}

  /** Returns the quota of a process that has not read the row yet, which has no permits. */
  public static ProcessQuota create(String self, String team) {
    QuotaRow emptyRow = QuotaRow.create(team, 0, 0);
    return new ProcessQuota(self, emptyRow, 0, 0, Optional.empty());
  }

  /**
   * Returns the number of permits that this process holds, without those that it is about to give
   * up.
   */
  public int usablePermits() {
    return row.permitsOf(self) - pending.map(PendingWrite::withheldPermits).orElse(0);
  }

  /**
   * Returns whether one more request may start if the current configuration limits the team to
   * {@code currentLimit}.
   *
   * <p>After the limit has been lowered, no request starts until the row has the new limit and the
   * permits in it add up to no more than that. Until then another process may still use permits
   * that the lower limit does not cover.
   */
  public boolean mayStartRequest(int currentLimit) {
    boolean isWithinLimit = row.limit() <= currentLimit && row.allocatedPermits() <= row.limit();
    return isWithinLimit && running < usablePermits();
  }

  /** Returns this quota with one more running request. */
  public ProcessQuota startRequest() {
    return new ProcessQuota(self, row, rowVersion, running + 1, pending);
  }

  /** Returns this quota with one fewer running request; the request must be known to have ended. */
  public ProcessQuota finishRequest() {
    return new ProcessQuota(self, row, rowVersion, running - 1, pending);
  }

  /**
   * Returns this quota with a pending write of {@code proposed}, and withholds the permits that the
   * write gives up. Call this before the write is sent.
   */
  public ProcessQuota beginWrite(QuotaRow proposed) {
    int withheldPermits = Math.max(0, row.permitsOf(self) - proposed.permitsOf(self));
    return new ProcessQuota(
        self,
        row,
        rowVersion,
        running,
        Optional.of(new PendingWrite(rowVersion, proposed, withheldPermits, false)));
  }

  /** Returns this quota after the pending write was committed at {@code version}. */
  public ProcessQuota applyCommit(long version) {
    return pending
        .filter(write -> version > rowVersion)
        .map(write -> withRow(write.proposed(), version))
        .orElse(this);
  }

  /** Returns this quota after the answer to the pending write was lost. */
  public ProcessQuota markAnswerLost() {
    return withPending(
        pending.map(
            write ->
                new PendingWrite(
                    write.baseVersion(), write.proposed(), write.withheldPermits(), true)));
  }

  /**
   * Returns this quota after the last attempt of the pending write had no effect. The write stays
   * pending if an earlier attempt may still take effect.
   */
  public ProcessQuota applyNotPerformed() {
    return withPending(pending.filter(PendingWrite::mayHaveCommitted));
  }

  /**
   * Returns this quota after the row was read at {@code version}. The quota does not change if that
   * version is older than the known one. It does not change either if it is the version that the
   * pending write expects, because that write may still be committed.
   */
  public ProcessQuota applyRead(QuotaRow read, long version) {
    boolean isOlder = version < rowVersion;
    boolean mayStillCommit = pending.isPresent() && version == pending.get().baseVersion();
    return isOlder || mayStillCommit ? this : withRow(read, version);
  }

  private ProcessQuota withPending(Optional<PendingWrite> next) {
    return new ProcessQuota(self, row, rowVersion, running, next);
  }

  private ProcessQuota withRow(QuotaRow read, long version) {
    return new ProcessQuota(self, read, version, running, Optional.empty());
  }
}
