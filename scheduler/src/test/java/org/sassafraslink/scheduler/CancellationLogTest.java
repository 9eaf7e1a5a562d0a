package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sassafraslink.scheduler.sim.SimFleet;

/** Guards against a scheduler that finds a cancellation and does not log when and where. */
class CancellationLogTest {
  private static final long SEED = 20261207;
  private static final String JOB_ID = "a";

  private final SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 1, /* workerCount= */ 2);
  private final List<String> sources = new ArrayList<>();

  private enum Source {
    FEED,
    CONFLICT,
    RESTORE
  }

  @ParameterizedTest
  @EnumSource(Source.class)
  void firstFindingIsLogged(Source source) {
    fleet.runFor(3_000);
    fleet.eventObserver =
        (event, fields) -> {
          if (event.equals("job.cancellation_found")) {
            assertEquals("job", fields[0]);
            assertEquals(JOB_ID, fields[1]);
            assertEquals("source", fields[2]);
            sources.add((String) fields[3]);
          }
        };
    fleet.submit(JOB_ID, SimFleet.step(2, 1_000));
    fleet.runFor(300);
    switch (source) {
      case FEED -> fleet.cancel(JOB_ID);
      case CONFLICT -> {
        fleet.rowStore.silenceLongPolls(10_000);
        fleet.cancel(JOB_ID);
      }
      case RESTORE -> {
        fleet.cancel(JOB_ID);
        fleet.startNode("n0");
      }
    }
    fleet.runFor(12_000);
    assertEquals(List.of(source.name().toLowerCase(Locale.ROOT)), sources);
  }
}
