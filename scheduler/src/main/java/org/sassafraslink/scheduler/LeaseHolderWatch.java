package org.sassafraslink.scheduler;

import java.util.OptionalLong;

/**
 * Detects at once that the process that holds the scheduling lease has ended or has released the
 * lease, and receives its heartbeats.
 *
 * <p>It only shortens the wait before a lease that is no longer renewed can be taken over. The
 * version of the holder row and the fencing token ensure that two processes never schedule at the
 * same time.
 */
public interface LeaseHolderWatch {
  /**
   * Watches the process at {@code address}, and no longer the one watched before.
   *
   * @param onGone runs on the scheduler's thread when nothing listens at the address any more, or
   *     when the process there has announced that it no longer holds the lease
   */
  void watch(String address, Runnable onGone);

  /**
   * Returns when the last heartbeat of the watched process arrived, monotonic ms; empty if none has
   * arrived, so that its silence means nothing. Thread-safe.
   */
  OptionalLong lastHeartbeatMillis();

  /** Sets whether this process holds the lease and sends heartbeats to processes that watch it. */
  void setHolding(boolean isHolding);

  /** Announces to all processes that watch this one that it no longer holds the lease. */
  void announceRelease();
}
