package org.sassafraslink.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.JobSpec.QueueTerms;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;

/**
 * Holds the newest published configuration, and the last known configuration of each queue.
 *
 * <p>A job may still run when its queue has been removed from the configuration. The queue's last
 * configuration then applies to it, or, after a restart, the terms that are stored with the job.
 */
final class PublishedConfig {
  /** For jobs that an earlier version accepted without storing the terms of their queue. */
  private static final QueueTerms DEFAULT_TERMS =
      new QueueTerms(
          /* maxFailures= */ 3,
          /* slackFactor= */ 2,
          /* targetLatencyMillis= */ 1_000,
          /* advice= */ Optional.empty());

  /** The priority of jobs whose queue has been removed from the configuration. */
  private static final int UNKNOWN_PRIORITY = 1;

  private final Map<String, QueueConfig> lastKnownQueues = new HashMap<>();
  private Optional<FleetSettings> settings = Optional.empty();

  /** Replaces the configuration with a newer version. */
  void applySettings(FleetSettings newestSettings) {
    settings = Optional.of(newestSettings);
    lastKnownQueues.putAll(newestSettings.queues());
  }

  /** Returns whether a configuration has been applied. */
  boolean hasSettings() {
    return settings.isPresent();
  }

  Optional<FleetSettings> settings() {
    return settings;
  }

  /**
   * Returns the last known configuration of a job's queue. If no version that this process has read
   * contains the queue, the terms apply under which the job was accepted.
   */
  QueueConfig queueOf(JobSpec job) {
    QueueConfig knownQueue = lastKnownQueues.get(job.queue());
    if (knownQueue != null) {
      return knownQueue;
    }
    QueueTerms terms = job.queueTerms().orElse(DEFAULT_TERMS);
    return new QueueConfig(
        job.queue(),
        /* host= */ "",
        /* pathPrefix= */ "",
        job.pool(),
        /* open= */ false,
        UNKNOWN_PRIORITY,
        terms.maxFailures(),
        terms.slackFactor(),
        terms.targetLatencyMillis(),
        terms.advice());
  }

  /** Returns a team's weight, which is also its rate in jobs per second; 0 if it is unknown. */
  double weightOf(String team) {
    return settings
        .map(current -> current.teams().get(team))
        .map(FleetSettings.TeamConfig::weight)
        .orElse(0.0);
  }

  /**
   * Returns a team's upper limit. For an unknown team, such as the empty one of jobs of open
   * queues, it is {@link Resources#NONE}, which means no limit.
   */
  Resources upperLimitOf(String team) {
    return settings
        .map(current -> current.teams().get(team))
        .map(FleetSettings.TeamConfig::upperLimit)
        .orElse(Resources.NONE);
  }

  /** Returns the name of the pool whose VMs are powered off, or empty if there is none. */
  Optional<String> standbyPool() {
    return settings.flatMap(
        current ->
            current.pools().values().stream()
                .filter(FleetSettings.PoolConfig::standby)
                .map(FleetSettings.PoolConfig::name)
                .findFirst());
  }
}
