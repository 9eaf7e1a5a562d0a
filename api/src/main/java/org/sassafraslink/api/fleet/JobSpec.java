package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A job as it was accepted from its submitter.
 *
 * @param id the identifier chosen by the submitter, unique among all jobs
 * @param queue the name of the queue to which the job was submitted
 * @param pool the service whose workers run the tasks, as configured for the queue when the job was
 *     accepted
 * @param team the team whose key the submitter sent; empty on an open queue
 * @param payload text that is passed to every task
 * @param steps the steps of the job, in order
 * @param repetitions how many times the steps run on a schedule; 0 to run them once, immediately
 * @param firstDueMillis when the first repetition is due, in Unix milliseconds
 * @param intervalMillis the time between two repetitions, in ms
 * @param acceptedMillis when an entry VM accepted the job, in Unix milliseconds
 * @param queueTerms what the queue's configuration promised when the job was accepted; empty if an
 *     earlier version accepted it, which did not store this
 */
public record JobSpec(
    String id,
    String queue,
    String pool,
    String team,
    String payload,
    ImmutableList<StepSpec> steps,
    int repetitions,
    long firstDueMillis,
    long intervalMillis,
    long acceptedMillis,
    Optional<QueueTerms> queueTerms) {

  /**
   * The part of a queue's configuration that applies to its jobs. It is stored with each job, since
   * the queue may be removed from the configuration before the job ends. See {@link QueueConfig}
   * for the components.
   */
  public record QueueTerms(
      int maxFailures,
      double slackFactor,
      long targetLatencyMillis,
      Optional<QueueConfig.AdviceTimes> advice) {

    /** Returns the terms of a queue. */
    public static QueueTerms of(QueueConfig queue) {
      return new QueueTerms(
          queue.maxFailures(), queue.slackFactor(), queue.targetLatencyMillis(), queue.advice());
    }
  }

  /** Returns how many times the steps run, which is at least once. */
  public int occurrences() {
    return Math.max(1, repetitions);
  }

  /** Returns whether the steps run on a schedule. */
  public boolean scheduled() {
    return repetitions > 0;
  }

  /**
   * Returns when an occurrence may start, in Unix milliseconds; 0 if it may start immediately.
   *
   * @param occurrence the number of the occurrence, from 0
   */
  public long dueMillis(int occurrence) {
    return scheduled() ? firstDueMillis + occurrence * intervalMillis : 0;
  }
}
