package org.sassafraslink.api.platform;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;

/** The platform's workers, which run tasks under leases and report usage with a lag. */
public interface WorkerControl {
  /** The state of a task on a worker. */
  enum TaskState {
    RUNNING,
    DONE,
    FAILED,
    STOPPED
  }

  /** The resources of a worker or the declared need of a task. */
  record Resources(int cores, int memoryMb, int accelerators) {
    /** Whether {@code need} fits into these resources. */
    public boolean fits(Resources need) {
      return need.cores <= cores && need.memoryMb <= memoryMb && need.accelerators <= accelerators;
    }

    /** These resources less {@code used}. */
    public Resources minus(Resources used) {
      return new Resources(
          cores - used.cores, memoryMb - used.memoryMb, accelerators - used.accelerators);
    }
  }

  /** A worker with its failure domains. */
  record Worker(String id, String zone, String rack, Resources resources) {}

  /** A task as the worker reports it. */
  record Task(String job, long epoch, String worker, TaskState state, int usedMemoryMb) {}

  /** A request to run a task until {@code leaseMillis} after its start or last renewal. */
  record Start(
      String job, long epoch, String worker, Resources need, long runMillis, long leaseMillis) {}

  /** All workers. */
  Either<PlatformFailure, ImmutableList<Worker>> workers();

  /** All tasks that are running or ended lately. */
  Either<PlatformFailure, ImmutableList<Task>> tasks();

  /** Starts a task, or renews its lease. Idempotent for the same job and epoch. */
  Either<PlatformFailure, Task> start(Start start);

  /** Stops a task; the answer says in which state it ended. */
  Either<PlatformFailure, Task> stop(String job, long epoch);
}
