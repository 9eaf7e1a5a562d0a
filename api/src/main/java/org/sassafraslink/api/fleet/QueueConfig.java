package org.sassafraslink.api.fleet;

import java.util.Optional;

/**
 * A queue in a version of the configuration.
 *
 * @param host the host that callers name
 * @param pathPrefix the beginning of the paths of its jobs; ends with a slash
 * @param service the service whose workers run its tasks
 * @param open whether jobs need no key
 * @param urgent whether it may preempt other queues
 * @param maxFailures a job has failed when one of its tasks has failed this many times
 * @param slackFactor the objective of a job, as a multiple of its longest chain of work
 * @param targetLatencyMillis added to the objective of a job
 * @param advice what the placement advice of this queue costs; empty if it needs none
 */
public record QueueConfig(
    String name,
    String host,
    String pathPrefix,
    String service,
    boolean open,
    boolean urgent,
    int maxFailures,
    double slackFactor,
    long targetLatencyMillis,
    Optional<AdviceTerms> advice) {

  /** How long the advice service takes, and how long its tickets are valid. */
  public record AdviceTerms(long decisionMillis, long perWorkerMillis, long validityMillis) {}
}
