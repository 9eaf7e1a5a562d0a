package org.sassafraslink.api.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * Client of the placement advice service, which decides which workers may run the tasks of a step
 * of a job. Calls do not block.
 */
public interface AdviceClient {
  /**
   * The workers that may run a step.
   *
   * @param ticketByWorker the ticket that a start on a worker must contain, by worker id; workers
   *     that may not run the step are left out
   * @param validityMillis how long the tickets are valid
   */
  record Advice(ImmutableMap<String, String> ticketByWorker, long validityMillis) {}

  /**
   * Asks which of {@code workers} may run a step.
   *
   * @param job the id of the job
   * @param occurrence the occurrence of the job, from 0
   * @param step the number of the step, from 0
   * @param workers the ids of at most 100 workers
   * @param callback receives the advice or the reason why there is none
   */
  void advise(
      String job,
      int occurrence,
      int step,
      ImmutableList<String> workers,
      long timeoutMillis,
      Consumer<Either<CallFailure, Advice>> callback);
}
