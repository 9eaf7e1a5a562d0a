package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.connection.CallerLimits;
import org.sassafraslink.platform.fleet.JobCodec;
import org.sassafraslink.platform.fleet.OperatorRows;

/**
 * Runs an {@link EntryNode} briefly, so that the JVM loads the classes that the daemon needs when
 * it starts. The build runs it with {@code -XX:ArchiveClassesAtExit}, which writes these classes to
 * the class data sharing (CDS) archive that shortens later starts.
 *
 * <p>The node's platform addresses are loopback addresses on which nothing listens, so no data
 * leaves the host.
 */
public final class CdsTrainingRun {
  /** How long the node runs, in ms. This is enough for a few calls of each kind to the platform. */
  private static final long RUN_MILLIS = 1_500;

  /** A port on which nothing listens. */
  private static final int UNUSED_PORT = 9;

  private static final String SAMPLE_CONFIG =
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
          + "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],"
          + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"weight\":1}]}";

  private static final String SAMPLE_JOB = "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":1}]}";

  private CdsTrainingRun() {}

  /**
   * Decodes sample data, then starts a node and stops it after a short time.
   *
   * @param log the event log of the node
   */
  public static void run(EventLog log) throws InterruptedException {
    decodeSamples();
    NodeSettings settings = settingsWithoutPlatform();
    CallerLimits limits =
        CallerLimitSettings.parse(
                ImmutableMap.of(), Runtime.getRuntime().maxMemory(), settings.maxDescriptors())
            .get();
    EntryNode node = EntryNode.start(settings, limits, log, "class-loading");
    Thread.sleep(RUN_MILLIS);
    node.stop();
  }

  private static void decodeSamples() {
    RowKey key = new RowKey(OperatorRows.TABLE, "", "config");
    Optional<QueueConfig> queue =
        OperatorRows.decodeConfig(new StoredRow(key, SAMPLE_CONFIG, 1, false))
            .flatMap(config -> config.queueForPath("h", "/p/x"));
    queue.ifPresent(
        queueConfig ->
            JobCodec.decodeSubmission(SAMPLE_JOB, "id", queueConfig, "t", 0)
                .map(job -> JobCodec.encodeRow(job, SAMPLE_JOB))
                .flatMap(row -> JobCodec.decodeRow("id", row)));
  }

  private static NodeSettings settingsWithoutPlatform() {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    InetSocketAddress anyPort = new InetSocketAddress(loopback, 0);
    InetSocketAddress unreachable = new InetSocketAddress(loopback, UNUSED_PORT);
    return new NodeSettings(
        "class-loading",
        "zone",
        /* processors= */ 1,
        /* maxDescriptors= */ 4_100,
        /* callerAddress= */ anyPort,
        /* readinessAddress= */ anyPort,
        /* peerAddress= */ anyPort,
        /* metricsAddress= */ anyPort,
        /* storeAddress= */ unreachable,
        /* vmApiAddress= */ unreachable,
        /* vmCommandsPerSecond= */ 12,
        /* adviceAddress= */ Optional.of(unreachable),
        /* maxLeaseMillis= */ 6_000,
        /* maxStopMillis= */ 400,
        /* maxCancellationMillis= */ 3_000,
        /* handoverPauseMillis= */ 3_000,
        /* stopGraceMillis= */ 1_000,
        /* finalStateRetentionMillis= */ 120_000,
        /* gangStartTimeoutMillis= */ 3_000,
        /* maintenanceMillis= */ 2_000,
        /* moveMillis= */ 1_500,
        /* unavailabilityThresholdMillis= */ 4_500,
        /* maxBackfillImpactMillis= */ 4_000,
        /* maxEvacuationDelayMillis= */ Optional.empty(),
        /* maxConfigDelayMillis= */ Optional.empty());
  }
}
