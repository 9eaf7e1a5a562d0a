package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableMap;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;
import org.sassafraslink.api.log.EventLog;

/**
 * Counts the events of the log and the times they tell, for the metrics address.
 *
 * <p>Labels come from fixed sets, so that their number is bounded.
 */
final class EventMetrics implements EventLog.Observer {
  /** The field of an event whose value tells one kind of it from another. */
  private static final ImmutableMap<String, String> DETAILS =
      ImmutableMap.<String, String>builder()
          .put("job.submitted", "outcome")
          .put("job.finished", "state")
          .put("task.ended", "how")
          .put("task.stop", "reason")
          .put("call.refused", "type")
          .put("lease.lost", "reason")
          .put("store.lost", "failure")
          .buildOrThrow();

  /** The field of an event that tells how long a hop of a job took, in ms. */
  private static final ImmutableMap<String, String> HOPS =
      ImmutableMap.of(
          "job.submitted", "millis",
          "job.seen", "sinceAccepted",
          "task.started", "sinceAccepted",
          "task.ended", "ran",
          "job.finished", "sinceAccepted",
          "job.shown", "sinceFinished");

  /** Upper bounds of the buckets, in seconds: from one call to the store to a lost job. */
  private static final double[] BUCKETS = {.01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20};

  private static final double MILLIS_IN_SECOND = 1_000;

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final Counter events =
      Counter.builder()
          .name("sassafraslink_events_total")
          .help("Events of the log by name and kind")
          .labelNames("event", "kind")
          .register(registry);

  private final Histogram hops =
      Histogram.builder()
          .name("sassafraslink_hop_seconds")
          .help("Time that a hop of a job took, or from its acceptance to the event")
          .labelNames("event")
          .classicOnly()
          .classicUpperBounds(BUCKETS)
          .register(registry);

  /** Serves a value that is read when the metrics are. */
  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  @Override
  public void onEvent(String event, Object... fields) {
    String detail = DETAILS.get(event);
    String hop = HOPS.get(event);
    String kind = "";
    for (int i = 0; i + 1 < fields.length; i += 2) {
      if (fields[i].equals(detail)) {
        kind = String.valueOf(fields[i + 1]);
      }
      if (fields[i].equals(hop) && fields[i + 1] instanceof Number millis) {
        hops.labelValues(event).observe(millis.doubleValue() / MILLIS_IN_SECOND);
      }
    }
    events.labelValues(event, kind).inc();
  }

  /** All metrics in the text format. */
  String text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
