package org.sassafraslink.entry.process;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.RowStore.StoredRow;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.platform.fleet.JobBodies;
import org.sassafraslink.platform.fleet.OperatorRows;

/**
 * Loads the classes that a start needs, for the class-data archive that the build makes.
 *
 * <p>It starts a node whose platform does not answer, and stops it again. Nothing leaves the host.
 */
public final class ClassLoading {
  /** How long the node tries to reach its platform, in ms; a few calls of each kind are made. */
  private static final long RUN_MILLIS = 1_500;

  /** A port at which nothing listens. */
  private static final int CLOSED_PORT = 9;

  private static final String SAMPLE_CONFIG =
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
          + "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],"
          + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"weight\":1}]}";

  private static final String SAMPLE_JOB = "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":1}]}";

  private ClassLoading() {}

  /** Runs a node for a moment. */
  public static void run(EventLog log) throws InterruptedException {
    decodeSamples();
    EntryNode node = EntryNode.start(settings(), log, "class-loading");
    Thread.sleep(RUN_MILLIS);
    node.stop();
  }

  private static void decodeSamples() {
    RowKey key = new RowKey(OperatorRows.TABLE, "", "config");
    Optional<QueueConfig> queue =
        OperatorRows.config(new StoredRow(key, SAMPLE_CONFIG, 1, false))
            .flatMap(settings -> settings.queueFor("h", "/p/x"));
    queue.ifPresent(
        found ->
            JobBodies.submission(SAMPLE_JOB, "id", found, "t", 0)
                .map(job -> JobBodies.encode(job, SAMPLE_JOB))
                .flatMap(row -> JobBodies.decode("id", row)));
  }

  private static NodeSettings settings() {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    InetSocketAddress any = new InetSocketAddress(loopback, 0);
    InetSocketAddress nobody = new InetSocketAddress(loopback, CLOSED_PORT);
    return new NodeSettings(
        "class-loading",
        "zone",
        any,
        any,
        any,
        any,
        nobody,
        nobody,
        Optional.of(nobody),
        6_000,
        400,
        3_000,
        1_000,
        120_000,
        3_000,
        2_000,
        1_500,
        4_500,
        4_000);
  }
}
