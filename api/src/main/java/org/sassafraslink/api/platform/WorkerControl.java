package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;

/**
 * Client that starts and stops tasks on the platform's workers. A task runs only while its lease
 * lasts. Workers report with a delay how much memory a task uses.
 */
public interface WorkerControl {
  /** The state of a task on a worker. */
  enum TaskState {
    RUNNING,
    DONE,
    FAILED,
    STOPPED
  }

  /** The resources of a worker, or the resources that a task was declared to need. */
  record Resources(int cores, int memoryMb, int accelerators) {
    /** Returns whether there is at least as much of each resource as in {@code need}. */
    public boolean covers(Resources need) {
      return need.cores <= cores && need.memoryMb <= memoryMb && need.accelerators <= accelerators;
    }

    /** Returns these resources minus {@code used}. */
    public Resources minus(Resources used) {
      return new Resources(
          cores - used.cores, memoryMb - used.memoryMb, accelerators - used.accelerators);
    }
  }

  /** A worker with its failure domains, the zone and the rack. */
  record Worker(String id, String zone, String rack, Resources resources) {}

  /**
   * A task as its worker reports it.
   *
   * @param job the id of the job that the task runs
   * @param epoch the epoch of the job, which identifies the placement for which the task was
   *     started
   */
  record Task(String job, long epoch, String worker, TaskState state, int usedMemoryMb) {}

  /**
   * A request to start a task or to renew its lease.
   *
   * @param need the resources that the task needs
   * @param runMillis the declared run time of the task
   * @param leaseMillis how long after its start or last renewal the task may run
   */
  record Start(
      String job, long epoch, String worker, Resources need, long runMillis, long leaseMillis) {}

  /** Lists all workers. */
  Either<PlatformFailure, ImmutableList<Worker>> listWorkers();

  /** Lists all tasks that are running or have ended recently. */
  Either<PlatformFailure, ImmutableList<Task>> listTasks();

  /**
   * Starts a task, or renews its lease if a task with the same job and epoch is already running.
   */
  Either<PlatformFailure, Task> start(Start start);

  /** Stops a task and returns it with the state in which it ended. */
  Either<PlatformFailure, Task> stop(String job, long epoch);
}
