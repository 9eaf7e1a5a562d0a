package org.sassafraslink.api.fleet;

import java.util.Optional;

/**
 * A queue in a version of the configuration.
 *
 * @param host the host to which callers address requests for the queue
 * @param pathPrefix the prefix of the paths of its jobs; ends with a slash
 * @param pool the service whose workers run its tasks
 * @param open whether jobs are accepted without a key
 * @param priority its priority against other queues of the pool when there is too little room for
 *     the jobs of all; 0 is the highest
 * @param maxFailures a job fails when one of its tasks has failed this many times
 * @param slackFactor multiplied by the duration of a job's longest chain of dependent steps to get
 *     the variable part of the objective for the completion time of the job
 * @param targetLatencyMillis the constant part of that objective, in ms
 * @param advice the times of the placement advice service; empty if jobs of the queue need no
 *     advice
 */
public record QueueConfig(
    String name,
    String host,
    String pathPrefix,
    String pool,
    boolean open,
    int priority,
    int maxFailures,
    double slackFactor,
    long targetLatencyMillis,
    Optional<AdviceTimes> advice) {

  /**
   * How long the placement advice service takes for an answer, and how long its tickets are valid.
   *
   * @param decisionMillis the time for one answer
   * @param perWorkerMillis the additional time for each worker in the request
   * @param validityMillis how long the tickets are valid
   */
  public record AdviceTimes(long decisionMillis, long perWorkerMillis, long validityMillis) {}
}
