package org.sassafraslink.scheduler;

import java.util.OptionalLong;

/**
 * What a process knows about the holder of the scheduling lease. It decides when the holder may be
 * replaced, and until when a replaced holder may still send commands.
 *
 * <p>A holder whose VM has lost power or its link neither refuses connections nor renews the lease.
 * It is replaced before the lease has expired if two signs agree: it has not renewed the lease, and
 * its heartbeats have stopped. If it has only been suspended, it may believe for the rest of the
 * lease that it holds it. Transactions check the holder row and the fences, workers check the
 * fencing token, and commands to VMs end at a recorded time, so it can change nothing that its
 * successor relies on.
 *
 * @param exists whether the lease has a holder
 * @param released whether the holder has released the lease in its row
 * @param isOwnNode whether the holder was an earlier process of this node, which has ended
 * @param reportedGone whether the holder has announced that it gives the lease up, or nothing
 *     listens at its address any more
 * @param renewalChangedMillis when this process first read the current renewal, monotonic ms
 * @param lastReadMillis when this process last read the rows of the lease, monotonic ms
 * @param lastHeartbeatMillis when the last heartbeat of the holder arrived, monotonic ms; empty if
 *     none has
 */
record HolderObservation(
    boolean exists,
    boolean released,
    boolean isOwnNode,
    boolean reportedGone,
    long renewalChangedMillis,
    long lastReadMillis,
    OptionalLong lastHeartbeatMillis) {
  /** Added to the lease time before a takeover, in ms, because clocks differ in rate. */
  private static final long EXPIRY_MARGIN_MILLIS = 300;

  /** The age of the rows read last up to which a takeover is attempted, in ms. */
  private static final long MAX_READ_AGE_MILLIS = SchedulerLease.LEASE_MILLIS / 2;

  /**
   * How long a working holder takes at most to renew the lease with a store that responds, in ms.
   */
  private static final long MAX_RENEWAL_GAP_MILLIS = SchedulerLease.RENEWAL_INTERVAL_MILLIS + 400;

  /** How long no heartbeat of a working holder arrives at most, in ms; four intervals. */
  private static final long MAX_HEARTBEAT_GAP_MILLIS = 800;

  /** The shortest wait of a long poll, in ms. */
  private static final long MIN_LONG_POLL_MILLIS = 50;

  /** Returns whether the holder may be replaced. */
  boolean isReplaceable(long nowMillis) {
    boolean isRecent = nowMillis - lastReadMillis < MAX_READ_AGE_MILLIS;
    return isReplaceableWithoutRead(nowMillis) || (isRecent && hasNoAuthority(nowMillis));
  }

  /**
   * Returns whether the holder may be replaced although the rows may not have been read recently.
   * The transaction of the takeover fails if the holder has renewed the lease meanwhile.
   */
  boolean isReplaceableWithoutRead(long nowMillis) {
    return reportedGone || isSilent(nowMillis);
  }

  /**
   * Returns when a holder that is replaced now sends no more commands, monotonic ms; a time in the
   * past if it sends none any more.
   */
  long authorityEndMillis(long nowMillis) {
    return hasNoAuthority(nowMillis) ? nowMillis : expiryMillis();
  }

  /** Returns how long a long poll for the next renewal may wait, in ms, so that it ends in time. */
  int longPollMillis(int maxMillis, long nowMillis) {
    long untilExpiryMillis = expiryMillis() - nowMillis + 1;
    return (int) Math.min(maxMillis, Math.max(MIN_LONG_POLL_MILLIS, untilExpiryMillis));
  }

  private boolean isSilent(long nowMillis) {
    return exists
        && nowMillis - renewalChangedMillis >= MAX_RENEWAL_GAP_MILLIS
        && lastHeartbeatMillis.isPresent()
        && nowMillis - lastHeartbeatMillis.getAsLong() >= MAX_HEARTBEAT_GAP_MILLIS;
  }

  private boolean hasNoAuthority(long nowMillis) {
    return !exists || released || isOwnNode || reportedGone || nowMillis > expiryMillis();
  }

  private long expiryMillis() {
    return renewalChangedMillis + SchedulerLease.LEASE_MILLIS + EXPIRY_MARGIN_MILLIS;
  }
}
