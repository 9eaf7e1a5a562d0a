package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.FleetClock;

/**
 * Guards against heartbeats to every entry VM, whose number would grow with the system, and against
 * the id of a job that is taken for a request.
 */
class HeartbeatSenderTest {
  private static final FleetClock CLOCK =
      new FleetClock() {
        @Override
        public long monotonicMillis() {
          return 0;
        }

        @Override
        public long wallMillis() {
          return 0;
        }
      };

  @Test
  void onlyTheFirstToTakeOverGetHeartbeats() {
    List<EmbeddedChannel> channels =
        IntStream.range(0, 20).mapToObj(i -> new EmbeddedChannel()).toList();
    EmbeddedChannel holder = new EmbeddedChannel();
    HeartbeatSender sender = new HeartbeatSender(holder.eventLoop(), CLOCK);
    for (int i = 0; i < channels.size(); i++) {
      sender.addRequest(channels.get(i), /* takeoverDelayMillis= */ i % 10, /* nowMillis= */ 0);
    }
    sender.setHolding(true);
    holder.runScheduledPendingTasks();
    List<Integer> receivers =
        IntStream.range(0, channels.size())
            .filter(i -> channels.get(i).readOutbound() != null)
            .boxed()
            .toList();
    assertEquals(List.of(0, 1, 2, 10, 11, 12), receivers);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 270, 5_000_000})
  void requestIsDecoded(long delayMillis) {
    assertEquals(
        OptionalLong.of(Math.min(delayMillis, 999_999)),
        HeartbeatSender.decodeRequest(HeartbeatSender.encodeRequest(delayMillis)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0123456789abcdef", "heartbeatsabcdef", ""})
  void otherMessageIsNoRequest(String message) {
    assertEquals(OptionalLong.empty(), HeartbeatSender.decodeRequest(message));
  }
}
