package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sassafraslink.api.fleet.AdviceClient;
import org.sassafraslink.api.fleet.AdviceClient.Advice;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.QueueConfig.AdviceTimes;
import org.sassafraslink.api.log.EventLog;

/**
 * Requests tickets from the advice service, for queues that require one for each start, and caches
 * them by step.
 *
 * <p>The service handles one call at a time from each VM, and its response time grows with the
 * number of workers named. A call therefore names only some workers, and only one call is pending
 * at a time. Every second call is for a step that has not been asked about before, if there is one;
 * the others are for the step whose last call is the longest ago. So no step waits for more than
 * twice the number of steps before it, however often their calls bring no ticket.
 */
final class AdviceTicketCache {
  /** Added to the expected duration of a call, in ms, before the call times out. */
  private static final long TIMEOUT_MARGIN_MILLIS = 1_500;

  /** Delay after a failed call, in ms. */
  private static final long RETRY_DELAY_MILLIS = 300;

  /** How long the answers about a step are kept while no task of it waits, in ms. */
  private static final long UNUSED_ADVICE_RETENTION_MILLIS = 60_000;

  private record StepKey(String job, int occurrence, int step) {
    static StepKey of(Task task) {
      return new StepKey(task.id.job(), task.id.occurrence(), task.id.step());
    }
  }

  /** A step with a waiting task, and the workers that a call would name. */
  private record WaitingStep(StepKey key, AdviceTimes times, ImmutableList<Worker> workers) {}

  /** The answers about a step. */
  private static final class KnownStep {
    private final StepAdvice advice = new StepAdvice();

    /** The number of the last call for the step; 0 before the first. */
    private long lastCall;

    /** When a task of the step last waited, monotonic ms. */
    private long lastUsedMillis;
  }

  private final Optional<AdviceClient> client;
  private final FleetClock clock;
  private final EventLog log;
  private final Runnable onAnswer;
  private final Map<StepKey, KnownStep> knownSteps = new HashMap<>();

  /** The steps that lack tickets in the present placement round, in the order of rank. */
  private final Map<StepKey, WaitingStep> waitingSteps = new LinkedHashMap<>();

  private boolean callPending;
  private long nextCallMillis;

  /** The number of calls so far. */
  private long calls;

  /** Whether the last call was for a step that had not been asked about before. */
  private boolean wasLastCallFirstOfStep;

  /** Incremented by each reset; responses to requests from before it are ignored. */
  private long generation;

  /**
   * Creates an empty cache.
   *
   * @param client empty if there is no advice service; then there are no tickets
   * @param onAnswer called when new tickets may allow a placement
   */
  AdviceTicketCache(
      Optional<AdviceClient> client, FleetClock clock, EventLog log, Runnable onAnswer) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.onAnswer = onAnswer;
  }

  void reset() {
    generation++;
    knownSteps.clear();
    waitingSteps.clear();
    callPending = false;
  }

  /** Returns the usable tickets of {@code pool} for the step of {@code task}, by worker id. */
  ImmutableMap<String, String> ticketsFor(Task task, List<Worker> pool, long nowMillis) {
    return knownStep(StepKey.of(task), nowMillis).advice.tickets(pool, nowMillis);
  }

  /**
   * Records that a task waits and, if its queue requires tickets, that too few workers of {@code
   * pool} have one for its step. Calls follow in {@link #callIfDue}.
   */
  void requestIfRequired(Task task, QueueConfig queue, List<Worker> pool, long nowMillis) {
    if (queue.advice().isEmpty() || client.isEmpty() || !isCallAllowed(nowMillis)) {
      return;
    }
    StepKey key = StepKey.of(task);
    ImmutableList<Worker> workers =
        knownStep(key, nowMillis).advice.workersToAskAbout(task, pool, nowMillis);
    if (!workers.isEmpty()) {
      waitingSteps.put(key, new WaitingStep(key, queue.advice().get(), workers));
    }
  }

  private KnownStep knownStep(StepKey key, long nowMillis) {
    KnownStep step = knownSteps.computeIfAbsent(key, unknown -> new KnownStep());
    step.lastUsedMillis = nowMillis;
    return step;
  }

  /**
   * Calls the service for one of the steps that have requested tickets in this placement round,
   * unless a call is pending or has just failed.
   */
  void callIfDue(long nowMillis) {
    if (isCallAllowed(nowMillis)) {
      chooseStep().ifPresent(step -> call(step, nowMillis));
    }
    waitingSteps.clear();
  }

  private boolean isCallAllowed(long nowMillis) {
    return !callPending && nowMillis >= nextCallMillis;
  }

  private Optional<WaitingStep> chooseStep() {
    Optional<WaitingStep> firstNew =
        waitingSteps.values().stream().filter(step -> lastCallOf(step) == 0).findFirst();
    Optional<WaitingStep> longestAgo =
        waitingSteps.values().stream()
            .filter(step -> lastCallOf(step) > 0)
            .min(Comparator.comparingLong(this::lastCallOf));
    boolean isNewPreferred = longestAgo.isEmpty() || !wasLastCallFirstOfStep;
    return isNewPreferred && firstNew.isPresent() ? firstNew : longestAgo.or(() -> firstNew);
  }

  private long lastCallOf(WaitingStep step) {
    return knownSteps.get(step.key()).lastCall;
  }

  private void call(WaitingStep waiting, long nowMillis) {
    StepKey key = waiting.key();
    KnownStep step = knownStep(key, nowMillis);
    calls++;
    wasLastCallFirstOfStep = step.lastCall == 0;
    step.lastCall = calls;
    callPending = true;
    long sentGeneration = generation;
    AdviceTimes times = waiting.times();
    long timeoutMillis =
        times.decisionMillis()
            + times.perWorkerMillis() * waiting.workers().size()
            + TIMEOUT_MARGIN_MILLIS;
    client
        .get()
        .advise(
            key.job(),
            key.occurrence(),
            key.step(),
            waiting.workers().stream()
                .map(worker -> worker.entry.id())
                .collect(ImmutableList.toImmutableList()),
            timeoutMillis,
            response -> {
              if (generation == sentGeneration) {
                callPending = false;
                applyResponse(waiting, step.advice, response);
              }
            });
  }

  private void applyResponse(
      WaitingStep waiting, StepAdvice advice, Either<CallFailure, Advice> response) {
    long now = clock.monotonicMillis();
    log.log(
        "advice.answered",
        "job",
        waiting.key().job(),
        "step",
        waiting.key().step(),
        "named",
        waiting.workers().size(),
        "answer",
        response);
    if (response.isLeft()) {
      nextCallMillis = now + RETRY_DELAY_MILLIS;
      return;
    }
    advice.record(waiting.workers(), response.get(), now);
    knownSteps
        .values()
        .removeIf(step -> now - step.lastUsedMillis > UNUSED_ADVICE_RETENTION_MILLIS);
    onAnswer.run();
  }

  /** Discards the tickets of a task's step, because a start of the task failed. */
  void discardTickets(Task task) {
    KnownStep step = knownSteps.get(StepKey.of(task));
    if (step != null) {
      step.advice.discardTickets();
    }
  }
}
