package org.sassafraslink.entry.cancelling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sassafraslink.entry.cancelling.CancelledJobsPlay.Options;
import org.sassafraslink.entry.cancelling.CancelledJobsPlay.Result;
import org.sassafraslink.entry.cancelling.FaultSchedule.Fault;

/** Guards against tasks that start or run on after the cancelling of their job was acknowledged. */
class CancelledJobsSoakTest {
  private static final long SEED = 20261207;

  @TempDir private Path folder;

  private void assertNoTaskOfCancelledJobGoesOn(int maxFaultIntervalMillis, List<Fault> faults)
      throws Exception {
    Result result =
        CancelledJobsPlay.play(
            new Options(
                SEED,
                /* jar= */ "",
                /* daemons= */ 4,
                /* vmsPerPool= */ 4,
                /* jobsPerSecond= */ 8,
                /* trafficMillis= */ 12_000,
                /* processorTenths= */ 10,
                maxFaultIntervalMillis,
                faults),
            folder);
    assertEquals(List.of(), result.violations(), result.summary());
  }

  /** Guards against a job that is stored after its cancelling was answered 410. */
  @Test
  void daemonsAndWorkersLeave() throws Exception {
    assertNoTaskOfCancelledJobGoesOn(
        2_000, List.of(Fault.KILL, Fault.PAUSE, Fault.WORKER_DRAIN, Fault.RESPONSES_LOST));
  }

  /** Guards against a scheduler that keeps its lease and does not know of cancellations. */
  @Test
  void feedOfJobsIsSilent() throws Exception {
    assertNoTaskOfCancelledJobGoesOn(1_000, List.of(Fault.FEED_SILENT, Fault.WORKER_DRAIN));
  }
}
