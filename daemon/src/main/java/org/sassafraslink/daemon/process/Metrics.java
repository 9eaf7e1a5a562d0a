package org.sassafraslink.daemon.process;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.sassafraslink.daemon.request.CallResult;
import org.sassafraslink.daemon.request.DispatchStatus;

/** The metrics of a daemon in the Prometheus text format. */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter results =
      Counter.builder()
          .name("sassafraslink_requests")
          .help("Requests by outcome: answered, or the type of failure.")
          .labelNames("outcome")
          .register(registry);

  private Metrics() {}

  static Metrics create() {
    return new Metrics();
  }

  /** Adds gauges that read the dispatcher's snapshot when they are scraped. */
  void addDispatch(Supplier<DispatchStatus> status) {
    gauge("sassafraslink_queue_depth", "Requests that wait, by service.", "service")
        .callback(c -> status.get().waitingByService().forEach((name, n) -> c.call(n, name)))
        .register(registry);
    gauge("sassafraslink_slots_used", "Requests in flight, by VM.", "vm")
        .callback(c -> status.get().inFlightByVm().forEach((name, n) -> c.call(n, name)))
        .register(registry);
    gauge("sassafraslink_allotment_units", "Units of the limit held here, by team.", "team")
        .callback(c -> status.get().teams().forEach((name, t) -> c.call(t.held(), name)))
        .register(registry);
    gauge("sassafraslink_running", "Requests running from here, by team.", "team")
        .callback(c -> status.get().teams().forEach((name, t) -> c.call(t.running(), name)))
        .register(registry);
  }

  /** Adds a gauge without labels. */
  void addGauge(String name, String help, Supplier<Double> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(c -> c.call(value.get()))
        .register(registry);
  }

  /** Counts the outcome of a request. */
  public void count(CallResult result) {
    String outcome =
        result instanceof CallResult.Failed failed ? failed.failure().type().slug() : "answered";
    results.labelValues(outcome).inc();
  }

  /** All metrics as text. */
  public String scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  private static GaugeWithCallback.Builder gauge(String name, String help, String label) {
    return GaugeWithCallback.builder().name(name).help(help).labelNames(label);
  }
}
