package org.sassafraslink.rules.process;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which change one process writes next to a team's quota row.
 *
 * <p>Each process is entitled to an equal quota, which is the limit divided by the number of
 * processes. Unless jobs wait for permits, it acquires this quota before it needs it, so that it
 * can continue to serve requests during an outage of the store. Above that, the quotas depend on
 * demand: a process takes free permits for its waiting requests, and transfers idle permits to the
 * peer with the largest unmet demand. A peer that has less than its equal quota gets permits
 * immediately from processes that have more. Other transfers require that permits have been idle
 * for some time, so that permits do not move back and forth.
 */
public final class QuotaPolicy {
  /**
   * Time for which permits must be idle before they are transferred to a peer or released for
   * waiting jobs, in ms.
   */
  public static final long TRANSFER_AFTER_IDLE_MILLIS = 1_000;

  /**
   * Time for which permits must be idle before those above the equal quota are released although no
   * peer or job needs them, in ms.
   */
  public static final long RELEASE_AFTER_IDLE_MILLIS = 10_000;

  /**
   * The values from which the next row is decided.
   *
   * @param limit the team's upper limit in the configuration that this process knows
   * @param configVersion the version of that configuration
   * @param aliveMemberCount the number of processes that may be alive, including this one
   * @param waitingRequests the number of the team's requests that wait in this process for a permit
   * @param idleMillis for how long some permits of this process have been idle, in ms
   * @param unmetDemandByPeer the number of permits that each peer lacks, by the id of the peer
   * @param unmetDemandOfJobs the number of permits that waiting jobs of the team need
   */
  public record Inputs(
      int limit,
      long configVersion,
      int aliveMemberCount,
      int waitingRequests,
      long idleMillis,
      Map<String, Integer> unmetDemandByPeer,
      int unmetDemandOfJobs) {}

  private QuotaPolicy() {}

  /**
   * Returns the row to write next, or empty if the row should stay as it is. While a write is
   * pending, returns its row again, so that the write is repeated until its outcome is known.
   */
  public static Optional<QuotaRow> nextRow(ProcessQuota quota, Inputs inputs) {
    if (quota.pending().isPresent()) {
      return Optional.of(quota.pending().get().proposed());
    }
    QuotaRow row = quota.row();
    if (inputs.configVersion() < row.limitVersion()) {
      // The configuration of this process is outdated; a newer one may have lowered the limit.
      return Optional.empty();
    }
    QuotaRow withCurrentLimit = row.withLimit(inputs.limit(), inputs.configVersion());
    QuotaRow next = adjustPermits(withCurrentLimit, quota, inputs);
    boolean isChanged = !next.units().equals(row.units()) || next.limit() != row.limit();
    return isChanged ? Optional.of(next) : Optional.empty();
  }

  /**
   * Returns {@code row} with at most one change of the permits of this process. It is the first of
   * these that applies: release permits above the limit, take free permits, release idle permits
   * for waiting jobs, transfer permits to a peer, release idle permits above the equal quota.
   */
  private static QuotaRow adjustPermits(QuotaRow row, ProcessQuota quota, Inputs inputs) {
    int held = row.permitsOf(quota.self());
    int idlePermits = Math.max(0, held - quota.running() - inputs.waitingRequests());
    if (row.freePermits() < 0) {
      return row.release(quota.self(), Math.min(held - quota.running(), -row.freePermits()));
    }
    int neededPermits = quota.running() + inputs.waitingRequests();
    int equalQuota = row.limit() / Math.max(1, inputs.aliveMemberCount());
    // While jobs wait for permits, no process takes more than its requests need.
    int targetPermits =
        inputs.unmetDemandOfJobs() > 0 ? neededPermits : Math.max(equalQuota, neededPermits);
    if (held < targetPermits && row.freePermits() > 0) {
      return row.grant(quota.self(), targetPermits - held);
    }
    boolean isIdleLongEnough = idlePermits > 0 && inputs.idleMillis() >= TRANSFER_AFTER_IDLE_MILLIS;
    if (isIdleLongEnough && inputs.unmetDemandOfJobs() > row.freePermits()) {
      return row.release(quota.self(), Math.min((idlePermits + 1) / 2, inputs.unmetDemandOfJobs()));
    }
    QuotaRow afterTransfer =
        transferToPeer(
            row,
            quota.self(),
            idlePermits,
            isIdleLongEnough,
            equalQuota,
            inputs.unmetDemandByPeer());
    if (!afterTransfer.equals(row)) {
      return afterTransfer;
    }
    int excess = Math.min(idlePermits, held - equalQuota);
    if (excess > 0 && inputs.idleMillis() >= RELEASE_AFTER_IDLE_MILLIS) {
      return row.release(quota.self(), excess);
    }
    return row;
  }

  /**
   * Returns {@code row} with permits transferred to the peer with the largest unmet demand, or
   * unchanged if no peer needs permits or none may be transferred now.
   */
  private static QuotaRow transferToPeer(
      QuotaRow row,
      String self,
      int idlePermits,
      boolean isIdleLongEnough,
      int equalQuota,
      Map<String, Integer> unmetDemandByPeer) {
    Optional<String> receivingPeer = peerWithLargestDemand(unmetDemandByPeer);
    if (receivingPeer.isEmpty() || idlePermits == 0) {
      return row;
    }
    int unmetDemand = unmetDemandByPeer.get(receivingPeer.get());
    int peerShortfall = equalQuota - row.permitsOf(receivingPeer.get());
    int ownExcess = row.permitsOf(self) - equalQuota;
    if (peerShortfall > 0 && ownExcess > 0) {
      int transferred =
          Math.min(Math.min(unmetDemand, peerShortfall), Math.min(idlePermits, ownExcess));
      return row.transfer(self, receivingPeer.get(), transferred);
    }
    // Otherwise permits are transferred only after they have been idle, at most half of the idle
    // ones at a time. The last permit is kept, unless the equal quota is 0.
    int minimumKept = equalQuota > 0 ? 1 : 0;
    int transferable = Math.min((idlePermits + 1) / 2, row.permitsOf(self) - minimumKept);
    boolean hasNoShortfallToCover = peerShortfall <= 0 || ownExcess <= 0;
    return isIdleLongEnough && hasNoShortfallToCover && transferable > 0
        ? row.transfer(self, receivingPeer.get(), Math.min(transferable, unmetDemand))
        : row;
  }

  private static Optional<String> peerWithLargestDemand(Map<String, Integer> unmetDemandByPeer) {
    return unmetDemandByPeer.entrySet().stream()
        .filter(entry -> entry.getValue() > 0)
        .max(
            Comparator.comparing(Map.Entry<String, Integer>::getValue)
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey);
  }
}
