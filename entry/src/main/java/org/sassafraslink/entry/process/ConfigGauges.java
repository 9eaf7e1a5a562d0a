package org.sassafraslink.entry.process;

import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;

/**
 * Gauges of the configuration by which this process answers, and of the reading of the next one.
 */
final class ConfigGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private ConfigGauges() {}

  static void register(EventMetrics metrics, ConfigWatcher watcher, FleetClock clock) {
    metrics.registerGauge(
        "sassafraslink_config_version",
        "Version of the configuration in force; 0 before the first",
        () -> watcher.newestConfig().map(FleetSettings::version).orElse(0L));
    metrics.registerGauge(
        "sassafraslink_config_age_seconds",
        "Time since the configuration in force was known to be the newest",
        () -> watcher.millisSinceVerified(clock.monotonicMillis()) / MILLIS_PER_SECOND);
    metrics.registerGauge(
        "sassafraslink_config_read_received_bytes",
        "Bytes of the operator's rows that the pending or last read has received",
        () -> watcher.readProgress().receivedBytes());
    metrics.registerGauge(
        "sassafraslink_config_read_expected_bytes",
        "Size of the response to the pending or last read of the operator's rows; -1 if unknown",
        () -> watcher.readProgress().expectedBytes());
  }
}
