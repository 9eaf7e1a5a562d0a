package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.sassafraslink.api.fleet.AdviceClient.Advice;

/**
 * What the advice service has answered about the workers for one step.
 *
 * <p>Whether a worker may run a step does not change while the worker runs, so a rejected one is
 * not asked about again, and a step that no worker may run causes no further calls.
 */
final class StepAdvice {
  /** Most workers named in one call. */
  static final int MAX_WORKERS_PER_CALL = 12;

  /** A ticket whose remaining validity is less than this, in ms, is not used for a start. */
  private static final long MIN_REMAINING_VALIDITY_MILLIS = 300;

  /** One incarnation of a worker, to which an answer applies. */
  private record WorkerIncarnation(String id, long incarnation) {
    static WorkerIncarnation of(Worker worker) {
      return new WorkerIncarnation(worker.entry.id(), worker.entry.incarnation());
    }
  }

  /** An answer; {@code ticket} is empty if the worker must not run the step. */
  private record Answer(String ticket, long usableUntilMillis) {
    private boolean isApproval() {
      return !ticket.isEmpty();
    }
  }

  private final Map<WorkerIncarnation, Answer> answers = new HashMap<>();

  /** Returns the usable tickets of {@code workers}, by worker id. */
  ImmutableMap<String, String> tickets(List<Worker> workers, long nowMillis) {
    if (answers.isEmpty()) {
      return ImmutableMap.of();
    }
    ImmutableMap.Builder<String, String> tickets = ImmutableMap.builder();
    for (Worker worker : workers) {
      Answer answer = answers.get(WorkerIncarnation.of(worker));
      if (answer != null && answer.isApproval() && nowMillis < answer.usableUntilMillis()) {
        tickets.put(worker.entry.id(), answer.ticket());
      }
    }
    return tickets.buildKeepingLast();
  }

  /**
   * Returns the workers to name in the next call: those on which {@code task} fits and whose answer
   * is unknown, or whose ticket has expired. These come first, since they may run the step; then
   * those with the most free processors.
   */
  ImmutableList<Worker> workersToAskAbout(Task task, List<Worker> workers, long nowMillis) {
    return workers.stream()
        .filter(worker -> WorkerChoice.fits(task, worker))
        .filter(worker -> isAnswerNeeded(worker, nowMillis))
        .sorted(
            Comparator.comparing(
                    (Worker worker) -> !answers.containsKey(WorkerIncarnation.of(worker)))
                .thenComparingLong(worker -> -worker.freeResources().cpuMillis()))
        .limit(MAX_WORKERS_PER_CALL)
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isAnswerNeeded(Worker worker, long nowMillis) {
    Answer answer = answers.get(WorkerIncarnation.of(worker));
    return answer == null || (answer.isApproval() && nowMillis >= answer.usableUntilMillis());
  }

  /** Records the answer to a call that named {@code asked}, received at {@code nowMillis}. */
  void record(List<Worker> asked, Advice advice, long nowMillis) {
    // The validity began when the service sent the response, so a margin is subtracted.
    long usableUntilMillis = nowMillis + advice.validityMillis() - MIN_REMAINING_VALIDITY_MILLIS;
    for (Worker worker : asked) {
      String ticket = advice.ticketByWorker().getOrDefault(worker.entry.id(), "");
      answers.put(WorkerIncarnation.of(worker), new Answer(ticket, usableUntilMillis));
    }
  }

  /** Discards all tickets, because a start of a task of the step failed. */
  void discardTickets() {
    answers.replaceAll((worker, answer) -> new Answer(answer.ticket(), Long.MIN_VALUE));
  }
}
