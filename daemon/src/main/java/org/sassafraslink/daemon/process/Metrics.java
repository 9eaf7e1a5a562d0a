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

/** Counts request outcomes and writes the metrics of a daemon in the Prometheus text format. */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requestCounter =
      Counter.builder()
          .name("sassafraslink_requests")
          .help("Requests by outcome: answered, or the type of failure.")
          .labelNames("outcome")
          .register(registry);

  private Metrics() {}

  static Metrics create() {
    return new Metrics();
  }

  /**
   * Adds the gauges for waiting and running requests and for the teams' permits.
   *
   * @param status supplies the dispatcher's state; called for each gauge at each scrape
   */
  void addDispatchGauges(Supplier<DispatchStatus> status) {
    labeledGauge("sassafraslink_queue_depth", "Requests that wait, by service.", "service")
        .callback(c -> status.get().waitingByService().forEach((name, n) -> c.call(n, name)))
        .register(registry);
    labeledGauge("sassafraslink_slots_used", "Requests in flight, by VM.", "vm")
        .callback(c -> status.get().inFlightByVm().forEach((name, n) -> c.call(n, name)))
        .register(registry);
    labeledGauge("sassafraslink_allotment_units", "Units of the limit held here, by team.", "team")
        .callback(c -> status.get().teams().forEach((name, t) -> c.call(t.held(), name)))
        .register(registry);
    labeledGauge("sassafraslink_running", "Requests running from here, by team.", "team")
        .callback(c -> status.get().teams().forEach((name, t) -> c.call(t.running(), name)))
        .register(registry);
  }

  /** Adds a gauge without labels whose value is read at each scrape. */
  void addGauge(String name, String help, Supplier<Double> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(c -> c.call(value.get()))
        .register(registry);
  }

  /** Counts the outcome of a request: answered, or the type of its failure. */
  public void countOutcome(CallResult result) {
    String outcome =
        result instanceof CallResult.Failed failed ? failed.failure().type().slug() : "answered";
    requestCounter.labelValues(outcome).inc();
  }

  /** Returns the current values of all metrics in the Prometheus text format. */
  public String scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  private static GaugeWithCallback.Builder labeledGauge(String name, String help, String label) {
    return GaugeWithCallback.builder().name(name).help(help).labelNames(label);
  }
}
