package org.sassafraslink.rules.transfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.rules.transfer.TransferTimeout.Limits;
import org.sassafraslink.rules.transfer.TransferTimeout.Reason;

/**
 * Guards against a transfer that is given up although it makes progress, and against one that waits
 * for a silent connection.
 */
class TransferTimeoutTest {
  private static final long RESPONSE_MILLIS = 1_900;
  private static final long STALL_MILLIS = 900;
  private static final Limits LIMITS =
      new Limits(RESPONSE_MILLIS, STALL_MILLIS, MinimumRate.initial());

  /** Interval at which the links of the properties deliver bytes, in ms. */
  private static final long PIECE_MILLIS = 50;

  private static TransferTimeout begun() {
    return TransferTimeout.begin(LIMITS, 0);
  }

  static Stream<Arguments> calls() {
    long second = (long) MinimumRate.INITIAL_BYTES_PER_SECOND;
    return Stream.of(
        Arguments.of("nothing arrives", begun(), RESPONSE_MILLIS, Reason.NO_RESPONSE),
        Arguments.of(
            "a large request is sent late",
            begun().recordSent(1_000),
            1_000 + RESPONSE_MILLIS,
            Reason.NO_RESPONSE),
        Arguments.of(
            "headers only, early in a long poll",
            begun().recordReceived(0, 100),
            100 + STALL_MILLIS,
            Reason.STALLED),
        Arguments.of(
            "silent in the middle",
            begun().recordReceived(0, 100).recordReceived(100 * second, 5_000),
            5_000 + STALL_MILLIS,
            Reason.STALLED),
        Arguments.of(
            "half of the minimum rate",
            begun().recordReceived(0, 0).recordReceived(second / 2, 1_000),
            500 + STALL_MILLIS,
            Reason.TOO_SLOW),
        Arguments.of(
            "twice the minimum rate, for long",
            begun().recordReceived(0, 0).recordReceived(40 * second, 20_000),
            20_000 + STALL_MILLIS,
            Reason.STALLED));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("calls")
  void callIsGivenUp(
      String name, TransferTimeout call, long deadlineMillis, Reason expectedReason) {
    assertEquals(deadlineMillis, call.deadlineMillis(), name);
    assertEquals(Optional.empty(), call.expired(deadlineMillis - 1), name);
    assertEquals(Optional.of(expectedReason), call.expired(deadlineMillis), name);
  }

  /** The end of a transfer, which was complete or given up. */
  private record Attempt(long endMillis, boolean complete) {}

  /** Transfers a response over a link whose rate is constant. */
  private static Attempt transfer(double bytesPerSecond, long size, MinimumRate minimumRate) {
    Limits limits = new Limits(RESPONSE_MILLIS, STALL_MILLIS, minimumRate);
    TransferTimeout call = TransferTimeout.begin(limits, 0).recordReceived(0, 0);
    long carried = 0;
    for (long now = PIECE_MILLIS; ; now += PIECE_MILLIS) {
      if (call.deadlineMillis() < now) {
        return new Attempt(call.deadlineMillis(), false);
      }
      long arrived = Math.min(size, (long) (bytesPerSecond * now / 1_000));
      if (arrived > carried) {
        call = call.recordReceived(arrived - carried, now);
        carried = arrived;
      }
      if (arrived == size) {
        return new Attempt(now, true);
      }
    }
  }

  @Property(tries = 300)
  void transferAboveTheMinimumRateIsNeverGivenUp(
      @ForAll @DoubleRange(min = 1.05, max = 1_000) double multiple,
      @ForAll @IntRange(min = 1, max = 20_000_000) int size) {
    double rate = multiple * MinimumRate.INITIAL_BYTES_PER_SECOND;
    assertTrue(transfer(rate, size, MinimumRate.initial()).complete());
  }

  /** Twice the transfer time, and twice the stall timeout for each halving of the rate. */
  @Property(tries = 300)
  void everyResponseIsReceivedInTheEnd(
      @ForAll @DoubleRange(min = 2, max = 20) double rateExponent,
      @ForAll @IntRange(min = 1, max = 4_000_000) int size) {
    double rate = Math.pow(2, rateExponent);
    long sizeOfMinutes = Math.min(size, (long) (rate * 600));
    MinimumRate minimumRate = MinimumRate.initial();
    long totalMillis = 0;
    int halvings = 0;
    while (true) {
      Attempt attempt = transfer(rate, Math.max(1, sizeOfMinutes), minimumRate);
      totalMillis += attempt.endMillis();
      if (attempt.complete()) {
        break;
      }
      minimumRate = minimumRate.recordTooSlow();
      halvings++;
    }
    double transferMillis = sizeOfMinutes * 1_000 / rate;
    int maxHalvings =
        (int)
                Math.max(
                    0,
                    Math.ceil(Math.log(MinimumRate.INITIAL_BYTES_PER_SECOND / rate) / Math.log(2)))
            + 1;
    assertTrue(halvings <= maxHalvings, "halvings " + halvings);
    double boundMillis =
        2 * (transferMillis + PIECE_MILLIS) + maxHalvings * (2 * STALL_MILLIS + PIECE_MILLIS);
    assertTrue(totalMillis <= boundMillis, totalMillis + " of " + boundMillis);
  }

  @ParameterizedTest(name = "{0} bytes in {1} ms")
  @MethodSource("completedTransfers")
  void minimumRateRisesOnlyAfterALargeFastResponse(long bytes, long millis, double expected) {
    MinimumRate lowered = MinimumRate.initial().recordTooSlow().recordTooSlow();
    assertEquals(
        expected * MinimumRate.INITIAL_BYTES_PER_SECOND,
        lowered.recordComplete(bytes, millis).bytesPerSecond());
  }

  static Stream<Arguments> completedTransfers() {
    return Stream.of(
        Arguments.of(60, 1, 0.25),
        Arguments.of(1_000_000, 1_000, 1),
        Arguments.of(16_384, 1_000, 0.5),
        Arguments.of(16_384, 8_000, 0.25));
  }
}
