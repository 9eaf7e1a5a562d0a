package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.JobState;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.TaskId;
import org.sassafraslink.scheduler.sim.SimFleet;

/** Guards against a job that loses the terms of its queue with the queue and all processes. */
class RemovedQueueTest {
  private static final long SEED = 20261205;

  /** The defaults allow three failures. */
  private static final int MAX_FAILURES = 1;

  private static FleetSettings settings(
      FleetSettings settings, ImmutableMap<String, QueueConfig> queues) {
    return new FleetSettings(
        settings.version() + 1, queues, settings.pools(), settings.teams(), settings.limits());
  }

  /** Guards against BUDGET: a failed task was started again after the restart of all processes. */
  @ParameterizedTest
  @ValueSource(ints = {100, 400, 900})
  void jobOfRemovedQueueIsTreatedByDefaults(int removedMillis) {
    SimFleet fleet = SimFleet.start(SEED, /* nodeCount= */ 2, /* workerCount= */ 3);
    QueueConfig queue = fleet.settings().queues().get(SimFleet.QUEUE);
    fleet.publish(
        settings(
            fleet.settings(),
            ImmutableMap.of(SimFleet.QUEUE, withMaxFailures(queue, MAX_FAILURES))));
    fleet.guaranteeChecker.setMaxFailuresPerTask(MAX_FAILURES);
    fleet.runFor(3_000);
    fleet.multiplyTaskTimes(8);
    fleet.submit("a", SimFleet.step(1, 1_000));
    fleet.tasksThatAlwaysFail.add(new TaskId("a", 0, 0, 0));
    fleet.runFor(removedMillis);
    fleet.publish(settings(fleet.settings(), ImmutableMap.of()));
    List.copyOf(fleet.nodes.keySet()).forEach(fleet::startNode);
    fleet.runFor(60_000);
    assertEquals(List.of(), fleet.guaranteeChecker.violations());
    assertEquals(JobState.FAILED, fleet.checkedState("a").orElseThrow());
  }

  private static QueueConfig withMaxFailures(QueueConfig queue, int maxFailures) {
    return new QueueConfig(
        queue.name(),
        queue.host(),
        queue.pathPrefix(),
        queue.pool(),
        queue.open(),
        queue.priority(),
        maxFailures,
        queue.slackFactor(),
        queue.targetLatencyMillis(),
        queue.advice());
  }
}
