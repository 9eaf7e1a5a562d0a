package org.sassafraslink.daemon.request;

import java.util.Map;
import java.util.Optional;
import org.sassafraslink.rules.process.ProcessQuota;
import org.sassafraslink.rules.process.QuotaPolicy;
import org.sassafraslink.rules.process.QuotaPolicy.Inputs;
import org.sassafraslink.rules.process.QuotaRow;

/**
 * Holds a team's quota in this process and the number of its waiting requests, and decides when to
 * read or write its row.
 *
 * <p>Not thread-safe; used only by the dispatcher's thread.
 */
final class TeamQuota {
  private static final long WRITE_RETRY_MILLIS = 200;
  private static final long READ_INTERVAL_MILLIS = 150;

  private ProcessQuota processQuota;
  private boolean writeInFlight;
  private long nextWriteMillis;
  private long nextReadMillis;

  /** The last time at which no permit of this process was idle, or the time of the creation. */
  private long idleSinceMillis;

  private int waitingRequests;

  private TeamQuota(ProcessQuota processQuota, long nowMillis) {
    this.processQuota = processQuota;
    this.idleSinceMillis = nowMillis;
  }

  static TeamQuota create(String self, String team, long nowMillis) {
    return new TeamQuota(ProcessQuota.create(self, team), nowMillis);
  }

  ProcessQuota processQuota() {
    return processQuota;
  }

  int waitingRequests() {
    return waitingRequests;
  }

  void addWaitingRequests(int change) {
    waitingRequests += change;
  }

  /** Returns the number of permits that the waiting requests lack. */
  int unmetDemand() {
    int freePermits = Math.max(0, processQuota.usablePermits() - processQuota.running());
    return Math.max(0, waitingRequests - freePermits);
  }

  boolean mayStart(int currentLimit) {
    return processQuota.mayStartRequest(currentLimit);
  }

  void startRequest(long nowMillis) {
    processQuota = processQuota.startRequest();
    updateIdleSince(nowMillis);
  }

  void finishRequest() {
    processQuota = processQuota.finishRequest();
  }

  /** Restarts the idle time if all permits are in use or needed by waiting requests. */
  void updateIdleSince(long nowMillis) {
    if (processQuota.running() + waitingRequests >= processQuota.usablePermits()) {
      idleSinceMillis = nowMillis;
    }
  }

  void applyRead(QuotaRow row, long version) {
    processQuota = processQuota.applyRead(row, version);
  }

  /**
   * Returns whether to read the row now, because waiting requests lack permits. After it has
   * returned true, the next read is due {@value #READ_INTERVAL_MILLIS} ms later.
   */
  boolean beginReadIfDue(long nowMillis) {
    boolean isDue = unmetDemand() > 0 && nowMillis >= nextReadMillis;
    if (isDue) {
      nextReadMillis = nowMillis + READ_INTERVAL_MILLIS;
    }
    return isDue;
  }

  /**
   * Returns the write to send now and records it as in flight. Returns empty if another write is in
   * flight, a retry is not due yet or the row needs no change.
   *
   * @param limit the team's upper limit in the configuration
   * @param configVersion the version of that configuration
   * @param aliveMemberCount the number of processes that may be alive, this one included
   * @param unmetDemandByPeer permits that each peer lacks, by the id of the peer
   * @param unmetDemandOfJobs permits that waiting jobs of the team lack
   */
  Optional<ProcessQuota.PendingWrite> beginWriteIfDue(
      int limit,
      long configVersion,
      int aliveMemberCount,
      Map<String, Integer> unmetDemandByPeer,
      int unmetDemandOfJobs,
      long nowMillis) {
    updateIdleSince(nowMillis);
    if (writeInFlight || nowMillis < nextWriteMillis) {
      return Optional.empty();
    }
    Inputs inputs =
        new Inputs(
            limit,
            configVersion,
            aliveMemberCount,
            waitingRequests,
            nowMillis - idleSinceMillis,
            unmetDemandByPeer,
            unmetDemandOfJobs);
    Optional<QuotaRow> nextRow = QuotaPolicy.nextRow(processQuota, inputs);
    if (nextRow.isEmpty()) {
      return Optional.empty();
    }
    if (processQuota.pending().isEmpty()) {
      processQuota = processQuota.beginWrite(nextRow.get());
    }
    writeInFlight = true;
    return processQuota.pending();
  }

  /** Applies the result of the write in flight, after which the next write may begin. */
  void applyWriteResult(WriteResult result, long nowMillis) {
    writeInFlight = false;
    if (result instanceof WriteResult.Committed committed) {
      processQuota = processQuota.applyCommit(committed.version());
    } else if (result instanceof WriteResult.AnswerLost) {
      processQuota = processQuota.markAnswerLost();
      nextWriteMillis = nowMillis + WRITE_RETRY_MILLIS;
    } else if (result instanceof WriteResult.NotPerformed) {
      processQuota = processQuota.applyNotPerformed();
      nextWriteMillis = nowMillis + WRITE_RETRY_MILLIS;
    }
  }

  /** The outcome of a write of the quota row. */
  sealed interface WriteResult {
    /** The write was committed at {@code version}. */
    record Committed(long version) implements WriteResult {}

    /** The answer was lost; the write may have taken effect or may still do so. */
    record AnswerLost() implements WriteResult {}

    /** The write was not performed. */
    record NotPerformed() implements WriteResult {}

    /**
     * The row is no longer at the expected version. The row is read next, and the write stays
     * pending until then.
     */
    record Conflict() implements WriteResult {}
  }
}
