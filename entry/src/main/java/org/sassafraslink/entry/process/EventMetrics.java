package org.sassafraslink.entry.process;

import com.google.common.collect.ImmutableMap;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.sassafraslink.api.log.EventLog;

/**
 * Counts events of the log by name and records the durations that they contain, for the metrics
 * server.
 *
 * <p>Label values are event names and values from small sets, never ids, so that the number of time
 * series stays bounded.
 */
final class EventMetrics implements EventLog.Observer {
  /** By event name, the field whose value becomes the label {@code kind}. */
  private static final ImmutableMap<String, String> KIND_FIELDS =
      ImmutableMap.<String, String>builder()
          .put("job.submitted", "outcome")
          .put("job.cancel_answered", "result")
          .put("job.cancellation_found", "source")
          .put("job.finished", "state")
          .put("task.ended", "how")
          .put("task.stop", "reason")
          .put("call.refused", "type")
          .put("lease.lost", "reason")
          .put("store.lost", "failure")
          .put("worker.later_incarnation", "command")
          .put("worker.lease_expired", "lastBound")
          .buildOrThrow();

  /**
   * By event name, the field that holds the duration of a step of a job or of a cancelling, the
   * time since the job was accepted or finished, how long the tasks of a silent worker have waited,
   * or how long a long-running task was away, in ms.
   */
  private static final ImmutableMap<String, String> DURATION_FIELDS =
      ImmutableMap.of(
          "job.submitted", "millis",
          "job.cancel_answered", "millis",
          "job.seen", "sinceAccepted",
          "task.started", "sinceAccepted",
          "task.ended", "ran",
          "worker.lease_expired", "silentMillis",
          "long_running.back", "awayMillis",
          "job.finished", "sinceAccepted",
          "job.shown", "sinceFinished");

  /** Upper bounds of the histogram buckets, from one call to the store up to a lost job. */
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20
  };

  private static final double MILLIS_PER_SECOND = 1_000;

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final Counter eventCounts =
      Counter.builder()
          .name("sassafraslink_events_total")
          .help("Events of the log by name and kind")
          .labelNames("event", "kind")
          .register(registry);

  private final Histogram jobStepDurations =
      Histogram.builder()
          .name("sassafraslink_hop_seconds")
          .help("Time that a hop of a job took, or from its acceptance to the event")
          .labelNames("event")
          .classicOnly()
          .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
          .register(registry);

  /** Registers a gauge whose value is computed at each scrape. */
  void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Registers a gauge whose values by the value of one label are computed at each scrape. */
  void registerGauge(
      String name, String help, String labelName, Supplier<ImmutableMap<String, Double>> values) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(labelName)
        .callback(callback -> values.get().forEach((label, value) -> callback.call(value, label)))
        .register(registry);
  }

  /** Registers a counter whose values by the value of one label are read at each scrape. */
  void registerCounter(
      String name, String help, String labelName, Supplier<ImmutableMap<String, Long>> values) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(labelName)
        .callback(callback -> values.get().forEach((label, value) -> callback.call(value, label)))
        .register(registry);
  }

  @Override
  public void onEvent(String event, Object... fields) {
    String kindField = KIND_FIELDS.get(event);
    String durationField = DURATION_FIELDS.get(event);
    String kind = "";
    for (int i = 0; i + 1 < fields.length; i += 2) {
      if (fields[i].equals(kindField)) {
        kind = String.valueOf(fields[i + 1]);
      }
      if (fields[i].equals(durationField) && fields[i + 1] instanceof Number millis) {
        jobStepDurations.labelValues(event).observe(millis.doubleValue() / MILLIS_PER_SECOND);
      }
    }
    eventCounts.labelValues(event, kind).inc();
  }

  /** Returns all metrics in the Prometheus text format. */
  String prometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
