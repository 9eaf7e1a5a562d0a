package org.sassafraslink.entry.cancelling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.entry.cancelling.CancelledJobsPlay.Options;
import org.sassafraslink.entry.cancelling.CancelledJobsPlay.Result;
import org.sassafraslink.entry.cancelling.FaultSchedule.Fault;

/** Guards against tasks that start or run on after the cancelling of their job was acknowledged. */
class CancelledJobsSoakTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(longs = 20261207)
  void noTaskOfCancelledJobGoesOn(long seed) throws Exception {
    Result result =
        CancelledJobsPlay.play(
            new Options(
                seed,
                /* jar= */ "",
                /* daemons= */ 4,
                /* vmsPerPool= */ 4,
                /* jobsPerSecond= */ 8,
                /* trafficMillis= */ 20_000,
                /* processorTenths= */ 10,
                /* maxFaultIntervalMillis= */ 3_000,
                List.of(Fault.KILL, Fault.PAUSE, Fault.WORKER_DRAIN, Fault.RESPONSES_LOST)),
            folder);
    assertEquals(List.of(), result.violations(), result.summary());
  }
}
