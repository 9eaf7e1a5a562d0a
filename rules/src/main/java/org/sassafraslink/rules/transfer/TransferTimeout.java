package org.sassafraslink.rules.transfer;

import java.util.Optional;

/**
 * Decides when a call whose response is not complete is given up.
 *
 * <p>Until the response begins, only time counts. From then on the call lives as long as bytes
 * arrive: it is given up when none has arrived for the stall timeout, or when the response arrives
 * below a minimum rate. The total time is thus bounded by the size of the response. A bound that
 * ignores the size could never be met by a response that takes longer over the VM's link, since
 * each further attempt begins at the first byte.
 *
 * @param limits the bounds in force for the call
 * @param requestedMillis when the call was made, or the newest piece of a large request was sent,
 *     monotonic ms
 * @param arrival how the response arrives; empty before its first byte
 */
public record TransferTimeout(Limits limits, long requestedMillis, Optional<Arrival> arrival) {
  /** Why a call is given up. */
  public enum Reason {
    /** The response has not begun. */
    NO_RESPONSE,
    /** Part of the response has arrived, and then nothing for the stall timeout. */
    STALLED,
    /** The response arrives below the minimum rate. */
    TOO_SLOW
  }

  /**
   * The bounds on one call.
   *
   * @param responseMillis longest time until the first byte of the response, in ms
   * @param stallMillis longest time without a further byte of the response, in ms
   * @param minimumRate the lowest rate at which the response may arrive
   */
  public record Limits(long responseMillis, long stallMillis, MinimumRate minimumRate) {}

  /**
   * How a response arrives.
   *
   * @param firstMillis when its first byte arrived, monotonic ms
   * @param lastMillis when its newest byte arrived, monotonic ms
   * @param bytes how many bytes of its body have arrived
   */
  public record Arrival(long firstMillis, long lastMillis, long bytes) {
    /** Returns the time from the first to the newest byte, in ms. */
    public long millis() {
      return lastMillis - firstMillis;
    }
  }

  /** Returns the state of a call that is made at {@code nowMillis}. */
  public static TransferTimeout begin(Limits limits, long nowMillis) {
    return new TransferTimeout(limits, nowMillis, Optional.empty());
  }

  /** Returns the state after a piece of a large request has left the process. */
  public TransferTimeout recordSent(long nowMillis) {
    return new TransferTimeout(limits, nowMillis, arrival);
  }

  /**
   * Returns the state after a part of the response has arrived.
   *
   * @param bytes how many bytes of its body the part contains; 0 for the headers
   */
  public TransferTimeout recordReceived(long bytes, long nowMillis) {
    Arrival newArrival =
        arrival
            .map(before -> new Arrival(before.firstMillis(), nowMillis, before.bytes() + bytes))
            .orElseGet(() -> new Arrival(nowMillis, nowMillis, bytes));
    return new TransferTimeout(limits, requestedMillis, Optional.of(newArrival));
  }

  /** Returns when the call is given up unless something happens before, monotonic ms. */
  public long deadlineMillis() {
    return arrival
        .map(current -> Math.min(stallDeadlineMillis(current), rateDeadlineMillis(current)))
        .orElse(requestedMillis + limits.responseMillis());
  }

  /** Returns why the call is given up at {@code nowMillis}; empty if it is not. */
  public Optional<Reason> expired(long nowMillis) {
    if (nowMillis < deadlineMillis()) {
      return Optional.empty();
    }
    return Optional.of(
        arrival
            .map(
                current ->
                    nowMillis >= stallDeadlineMillis(current) ? Reason.STALLED : Reason.TOO_SLOW)
            .orElse(Reason.NO_RESPONSE));
  }

  private long stallDeadlineMillis(Arrival current) {
    return current.lastMillis() + limits.stallMillis();
  }

  private long rateDeadlineMillis(Arrival current) {
    return current.firstMillis()
        + limits.stallMillis()
        + limits.minimumRate().millisFor(current.bytes());
  }
}
