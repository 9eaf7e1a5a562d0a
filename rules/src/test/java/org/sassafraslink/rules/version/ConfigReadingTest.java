package org.sassafraslink.rules.version;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.rules.version.ConfigReading.State;

/**
 * Guards against a store that counts as lost while it answers, and against a process that does not
 * notice that its configuration is outdated.
 */
class ConfigReadingTest {
  private static final long START_MILLIS = 10_000;
  private static final Optional<Long> BOUND = Optional.of(3_000L);
  private static final Optional<Long> NO_BOUND = Optional.empty();

  private static ConfigReading begun() {
    return ConfigReading.begin(START_MILLIS);
  }

  private static ConfigReading failedAt(long... failureMillis) {
    ConfigReading reading = begun();
    for (long millis : failureMillis) {
      reading = reading.recordFailure(START_MILLIS + millis);
    }
    return reading;
  }

  private static ConfigReading withContact(ConfigReading reading, long contactMillis) {
    return reading.withContact(START_MILLIS + contactMillis);
  }

  static Stream<Arguments> readings() {
    ConfigReading arriving = begun().recordChangeArriving();
    return Stream.of(
        Arguments.of("just read", begun(), 0, BOUND, State.CURRENT, false),
        Arguments.of("long poll without a change", begun(), 1_000, BOUND, State.CURRENT, false),
        Arguments.of("silent", begun(), 1_251, BOUND, State.STORE_LOST, true),
        Arguments.of("arriving", withContact(arriving, 2_000), 2_100, BOUND, State.READING, false),
        Arguments.of(
            "arriving for longer than the bound",
            withContact(arriving, 3_000),
            3_001,
            BOUND,
            State.OUTDATED,
            false),
        Arguments.of(
            "arriving for long, no bound",
            withContact(arriving, 60_000),
            60_001,
            NO_BOUND,
            State.READING,
            false),
        Arguments.of(
            "arrival has stopped",
            withContact(arriving, 500),
            1_751,
            BOUND,
            State.STORE_LOST,
            true),
        Arguments.of("one failure", failedAt(900), 901, BOUND, State.STORE_LOST, false),
        Arguments.of("two failures", failedAt(900, 904), 905, BOUND, State.STORE_LOST, true),
        Arguments.of(
            "failures while other calls are answered",
            withContact(failedAt(900, 1_800), 1_750),
            1_900,
            BOUND,
            State.CURRENT,
            false),
        Arguments.of(
            "failures while other calls are answered, beyond the bound",
            withContact(failedAt(900, 1_800, 2_700), 2_800),
            3_001,
            BOUND,
            State.OUTDATED,
            false),
        Arguments.of(
            "answered after failures",
            withContact(failedAt(900, 1_800), 2_000).recordSuccess(START_MILLIS + 1_990),
            2_100,
            BOUND,
            State.CURRENT,
            false));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("readings")
  void stateFollowsFromReads(
      String name,
      ConfigReading reading,
      long passedMillis,
      Optional<Long> maxDelayMillis,
      State expectedState,
      boolean expectedOutage) {
    long nowMillis = START_MILLIS + passedMillis;
    assertEquals(expectedState, reading.state(nowMillis, maxDelayMillis), name);
    assertEquals(expectedOutage, reading.isOutageLikely(nowMillis), name);
  }
}
