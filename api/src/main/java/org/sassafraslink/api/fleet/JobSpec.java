package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;

/**
 * A job as it was accepted.
 *
 * @param id the submitter's identifier, unique among all jobs
 * @param queue the name of the queue that accepted it
 * @param service the service that the queue led to when the job was accepted
 * @param team the team whose key came with it; empty on a queue open to all
 * @param payload text handed to every task
 * @param steps its steps, in order
 * @param repetitions how many times the steps run on a schedule; 0 for once, at once
 * @param firstDueMillis when the first repetition is due, Unix milliseconds
 * @param intervalMillis the time between two repetitions
 * @param acceptedMillis when an entry VM took it, Unix milliseconds
 */
public record JobSpec(
    String id,
    String queue,
    String service,
    String team,
    String payload,
    ImmutableList<StepSpec> steps,
    int repetitions,
    long firstDueMillis,
    long intervalMillis,
    long acceptedMillis) {

  /** How many times the steps run. */
  public int occurrences() {
    return Math.max(1, repetitions);
  }

  /** Whether the steps run on a schedule. */
  public boolean scheduled() {
    return repetitions > 0;
  }

  /** When an occurrence may start, Unix milliseconds; 0 for at once. */
  public long dueMillis(int occurrence) {
    return scheduled() ? firstDueMillis + occurrence * intervalMillis : 0;
  }
}
