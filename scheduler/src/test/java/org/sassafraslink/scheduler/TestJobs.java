package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.sassafraslink.api.fleet.JobSpec;
import org.sassafraslink.api.fleet.QueueConfig;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.fleet.StepSpec;

/** Creates jobs for unit tests. */
final class TestJobs {
  static final QueueConfig QUEUE =
      new QueueConfig(
          "queue",
          "host",
          "/q/",
          "pool",
          /* open= */ false,
          /* priority= */ 1,
          /* maxFailures= */ 3,
          /* slackFactor= */ 2,
          /* targetLatencyMillis= */ 600,
          /* advice= */ Optional.empty());

  private TestJobs() {}

  /** The kind of a step: {@link #PLAIN} tasks end by themselves, all others are long-running. */
  enum StepKind {
    PLAIN,
    LONG_RUNNING,
    SERVING,
    BACKFILL
  }

  /**
   * Returns a step of {@code count} tasks that need {@code cpuMillis} thousandths of a core and
   * 1,000 MB each. Serving tasks have a latency target of 100 ms.
   *
   * @param maxPerWorker the maximum number of tasks of the step on one worker; 0 for no maximum
   */
  static StepSpec step(
      int count, long cpuMillis, long estimatedMillis, StepKind kind, int maxPerWorker) {
    return new StepSpec(
        count,
        new Resources(cpuMillis, 1_000, 0),
        estimatedMillis,
        /* after= */ ImmutableList.of(),
        /* gang= */ false,
        /* rackLocal= */ false,
        /* requiredLabel= */ "",
        /* dataRack= */ "",
        maxPerWorker,
        /* speculative= */ false,
        /* checkpointing= */ false,
        /* longRunning= */ kind != StepKind.PLAIN,
        /* image= */ "",
        /* latencyTargetMillis= */ kind == StepKind.SERVING ? 100 : 0,
        /* backfill= */ kind == StepKind.BACKFILL,
        /* maxUnavailable= */ 0);
  }

  /** Returns a gang of {@code count} tasks that save their progress, one on each worker at most. */
  static StepSpec gang(int count, long cpuMillis, long estimatedMillis) {
    return new StepSpec(
        count,
        new Resources(cpuMillis, 1_000, 0),
        estimatedMillis,
        /* after= */ ImmutableList.of(),
        /* gang= */ true,
        /* rackLocal= */ false,
        /* requiredLabel= */ "",
        /* dataRack= */ "",
        /* maxPerWorker= */ 1,
        /* speculative= */ false,
        /* checkpointing= */ true,
        /* longRunning= */ false,
        /* image= */ "",
        /* latencyTargetMillis= */ 0,
        /* backfill= */ false,
        /* maxUnavailable= */ 0);
  }

  static Job jobAcceptedAt(long acceptedMillis, StepSpec... steps) {
    return jobAcceptedAt("job", acceptedMillis, steps);
  }

  static Job jobAcceptedAt(String id, long acceptedMillis, StepSpec... steps) {
    JobSpec spec =
        new JobSpec(
            id,
            "queue",
            "pool",
            "team",
            /* payload= */ "",
            ImmutableList.copyOf(steps),
            /* repetitions= */ 0,
            /* firstDueMillis= */ 0,
            /* intervalMillis= */ 0,
            acceptedMillis,
            /* queueTerms= */ Optional.empty());
    return Job.create(spec, new TeamUsage("team"), /* nowMillis= */ 0);
  }

  static Task firstTask(Job job) {
    return job.occurrences().get(0).get(0).get(0);
  }
}
