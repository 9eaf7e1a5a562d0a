package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;

/**
 * One step of a job, which consists of a number of identical tasks.
 *
 * @param count the number of tasks
 * @param need the resources that each task needs
 * @param estimatedMillis the submitter's rough estimate of the duration of a task, in ms
 * @param after the numbers of the earlier steps that must be done before this one starts
 * @param gang whether the tasks can only run all at the same time
 * @param rackLocal whether the tasks run slower when they are spread over several racks
 * @param requiredLabel a label that the worker must have; empty if none
 * @param dataRack the rack that stores the data of the tasks; empty if none
 * @param maxPerWorker the maximum number of tasks of the step on one worker; 0 for no maximum
 * @param speculative whether several copies of a task may run at the same time
 * @param checkpointing whether the tasks save their progress
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image the image that the tasks run; tasks with the same image behave alike
 * @param latencyTargetMillis bound on the tail latency of a serving task, in ms; 0 if the tasks do
 *     not serve requests
 * @param backfill whether the tasks use only processors that other tasks leave unused
 * @param maxUnavailable how many tasks may be unavailable at once because of planned work; 0 if not
 *     stated
 */
public record StepSpec(
    int count,
    Resources need,
    long estimatedMillis,
    ImmutableList<Integer> after,
    boolean gang,
    boolean rackLocal,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean speculative,
    boolean checkpointing,
    boolean longRunning,
    String image,
    long latencyTargetMillis,
    boolean backfill,
    int maxUnavailable) {

  /**
   * Returns the resources that are reserved for each task on its worker. No processors are reserved
   * for backfill tasks.
   */
  public Resources reservedResources() {
    return backfill ? need.withoutCpu() : need;
  }

  /** Returns whether the tasks serve requests of users. */
  public boolean serving() {
    return latencyTargetMillis > 0;
  }
}
