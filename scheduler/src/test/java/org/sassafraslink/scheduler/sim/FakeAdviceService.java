package org.sassafraslink.scheduler.sim;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.AdviceClient;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.QueueConfig.AdviceTimes;
import org.sassafraslink.api.fleet.TaskId;

/** A simulated advice service, which handles the calls of a node one after the other. */
final class FakeAdviceService implements AdviceClient {
  private final SimClock clock;
  private final AdviceTimes times;

  private final SimFleet fleet;
  private long busyUntilMillis;

  FakeAdviceService(SimClock clock, AdviceTimes times, SimFleet fleet) {
    this.clock = clock;
    this.times = times;
    this.fleet = fleet;
  }

  @Override
  public void advise(
      String job,
      int occurrence,
      int step,
      ImmutableList<String> workers,
      long timeoutMillis,
      Consumer<Either<CallFailure, Advice>> callback) {
    long startMillis = Math.max(clock.nowMillis(), busyUntilMillis);
    busyUntilMillis =
        startMillis + times.decisionMillis() + times.perWorkerMillis() * workers.size();
    clock.runAfter(
        busyUntilMillis - clock.nowMillis(),
        () -> {
          ImmutableMap.Builder<String, String> tickets = ImmutableMap.builder();
          workers.stream()
              .filter(worker -> fleet.advicePolicy.test(job, worker))
              .forEach(worker -> tickets.put(worker, ticket(job, step, worker)));
          callback.accept(Either.right(new Advice(tickets.buildOrThrow(), times.validityMillis())));
        });
  }

  private String ticket(String job, int step, String worker) {
    return String.join(
        " ", job, "" + step, worker, "" + (clock.nowMillis() + times.validityMillis()));
  }

  /** Returns whether a ticket allows the start of a task on a worker now. */
  static boolean isValid(String ticket, TaskId task, String worker, long nowMillis) {
    List<String> fields = Splitter.on(' ').splitToList(ticket);
    return fields.size() == 4
        && fields.subList(0, 3).equals(List.of(task.job(), "" + task.step(), worker))
        && nowMillis < Long.parseLong(fields.get(3));
  }
}
