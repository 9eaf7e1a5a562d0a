package org.sassafraslink.scheduler.relocation;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Finds out why a long-running task that should run does not. */
public final class AwayDiagnosis {
  private AwayDiagnosis() {}

  /** What the scheduler has done about the next run of a task. */
  public enum Progress {
    WAITING,
    ASSIGNED,
    START_SENT,
    STOPPING,
    /** It was running when its worker was last heard. */
    UNHEARD
  }

  /**
   * A task that should run and does not.
   *
   * @param hasReportingWorker whether the worker to which it is assigned has reported
   * @param isOrphanStopping whether an attempt that is not the current one is being stopped
   * @param isAtTeamLimit whether its team's upper limit does not admit it
   */
  public record AwayTask(
      Progress progress,
      boolean hasReportingWorker,
      boolean isOrphanStopping,
      boolean isAtTeamLimit) {}

  /**
   * A worker of the task's pool with the label that the task requires.
   *
   * @param closures why it gets no new tasks; empty if it is open
   * @param hasRoom whether the task fits into what is free there
   * @param hasPlaceInStep whether it may get a further task of the step
   * @param hasTicket whether the task may start there, as far as a ticket is required
   */
  public record PoolWorker(
      ImmutableSet<AwayReason> closures,
      boolean hasRoom,
      boolean hasPlaceInStep,
      boolean hasTicket) {
    boolean isOpen() {
      return closures.isEmpty();
    }

    boolean suits() {
      return hasRoom && hasPlaceInStep;
    }

    /** Returns the reason that keeps it closed for longest; empty if it is open. */
    Optional<AwayReason> lastingClosure() {
      return closures.isEmpty() ? Optional.empty() : Optional.of(Collections.max(closures));
    }
  }

  /**
   * Returns why a task is away.
   *
   * @param workers called only for a task that waits for a worker
   */
  public static AwayReason reasonOf(AwayTask task, Supplier<Collection<PoolWorker>> workers) {
    return switch (task.progress()) {
      case STOPPING -> AwayReason.STOPPING;
      case ASSIGNED -> AwayReason.UNCOMMITTED;
      case UNHEARD -> AwayReason.UNREPORTED;
      case START_SENT ->
          task.hasReportingWorker() ? AwayReason.UNANSWERED_START : AwayReason.UNREPORTED;
      case WAITING -> {
        if (task.isOrphanStopping()) {
          yield AwayReason.STOPPING;
        }
        yield task.isAtTeamLimit() ? AwayReason.TEAM_LIMIT : reasonOfWait(workers.get());
      }
    };
  }

  private static AwayReason reasonOfWait(Collection<PoolWorker> workers) {
    if (isAny(workers, worker -> worker.isOpen() && worker.suits())) {
      return isAny(workers, worker -> worker.isOpen() && worker.suits() && worker.hasTicket())
          ? AwayReason.PLACEABLE
          : AwayReason.NO_TICKET;
    }
    Optional<AwayReason> firstToOpen =
        workers.stream()
            .filter(PoolWorker::suits)
            .flatMap(worker -> worker.lastingClosure().stream())
            .min(Comparator.naturalOrder());
    return firstToOpen.orElseGet(() -> reasonWithoutPlace(workers));
  }

  private static AwayReason reasonWithoutPlace(Collection<PoolWorker> workers) {
    if (isAny(workers, PoolWorker::hasRoom)) {
      return AwayReason.SPREAD;
    }
    return isAny(workers, PoolWorker::isOpen) ? AwayReason.NO_ROOM : AwayReason.NO_WORKER;
  }

  private static boolean isAny(Collection<PoolWorker> workers, Predicate<PoolWorker> condition) {
    return workers.stream().anyMatch(condition);
  }
}
