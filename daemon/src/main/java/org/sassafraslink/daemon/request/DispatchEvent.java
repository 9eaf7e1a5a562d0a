package org.sassafraslink.daemon.request;

import org.sassafraslink.rules.process.QuotaRow;

/** An event that other threads enqueue for the dispatcher's thread. */
sealed interface DispatchEvent {
  /** A caller has submitted a call. */
  record CallSubmitted(PendingCall call) implements DispatchEvent {}

  /** An attempt to send a call to the instance on {@code vm} has ended. */
  record AttemptEnded(PendingCall call, String vm, AttemptOutcome outcome)
      implements DispatchEvent {}

  /** A quota row was read at {@code version}. */
  record QuotaRowRead(QuotaRow row, long version) implements DispatchEvent {}

  /** A write of a team's quota row has ended. */
  record QuotaWriteEnded(String team, TeamQuota.WriteResult result) implements DispatchEvent {}

  /** Wakes the dispatcher's thread so that it stops without delay; has no other effect. */
  record Wake() implements DispatchEvent {}
}
