package org.sassafraslink.scheduler.sim;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.sassafraslink.api.fleet.NodeSettings;

/** Creates settings of entry VMs on which only the scheduler is tested. */
public final class TestNodeSettings {
  private TestNodeSettings() {}

  /** Returns settings with workers that shorten leases to {@code maxLeaseMillis}. */
  public static NodeSettings withMaxLease(long maxLeaseMillis) {
    return of(
        "node",
        "host",
        maxLeaseMillis,
        /* vmCommandsPerSecond= */ 1,
        /* maxEvacuationDelayMillis= */ Optional.empty());
  }

  static NodeSettings of(
      String node,
      String peerHost,
      long maxLeaseMillis,
      double vmCommandsPerSecond,
      Optional<Long> maxEvacuationDelayMillis) {
    InetSocketAddress unused = InetSocketAddress.createUnresolved("unused", 1);
    return new NodeSettings(
        node,
        /* zone= */ "zone",
        /* processors= */ 1,
        /* maxDescriptors= */ 4_100,
        /* callerAddress= */ unused,
        /* readinessAddress= */ unused,
        /* peerAddress= */ InetSocketAddress.createUnresolved(peerHost, 1),
        /* metricsAddress= */ unused,
        /* storeAddress= */ unused,
        /* vmApiAddress= */ unused,
        vmCommandsPerSecond,
        /* adviceAddress= */ Optional.empty(),
        maxLeaseMillis,
        /* maxStopMillis= */ FakeWorker.STOP_DURATION_MILLIS,
        /* maxCancellationMillis= */ 3_000,
        /* handoverPauseMillis= */ FakeVmPlatform.HANDOVER_PAUSE_MILLIS,
        /* stopGraceMillis= */ 1_000,
        /* finalStateRetentionMillis= */ 120_000,
        /* gangStartTimeoutMillis= */ 3_000,
        /* maintenanceMillis= */ FakeVmPlatform.MAINTENANCE_MILLIS,
        /* moveMillis= */ FakeVmPlatform.MOVE_MILLIS,
        /* unavailabilityThresholdMillis= */ 4_500,
        /* maxBackfillImpactMillis= */ 4_000,
        maxEvacuationDelayMillis,
        /* maxConfigDelayMillis= */ Optional.empty());
  }
}
