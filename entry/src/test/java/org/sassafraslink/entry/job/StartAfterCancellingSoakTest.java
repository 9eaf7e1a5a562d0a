package org.sassafraslink.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.entry.job.EntryVms.Call;
import org.sassafraslink.entry.job.LateRowStore.Behavior;

/**
 * Guards against tasks that start, or run on, after the cancelling of their job was acknowledged,
 * while jobs end, fail, begin steps and scheduled runs, workers are drained, the scheduler is
 * replaced, and the store is silent, loses responses or applies transactions late.
 *
 * <p>The system properties {@code startSequences} and {@code startFirstSeed} select other sequences
 * than the few of a usual run.
 */
class StartAfterCancellingSoakTest {
  private static final int SEQUENCES = Integer.getInteger("startSequences", 40);
  private static final long FIRST_SEED = Long.getLong("startFirstSeed", 20261207);
  private static final List<Behavior> BEHAVIORS = List.of(Behavior.values());
  private static final int VMS = 3;
  private static final int JOBS = 10;
  private static final int STEPS = 150;

  /** How long after the acknowledgement a start is allowed, in ms. */
  private static final int MAX_START_MILLIS = 4_000;

  /** A job, and the calls of its caller. */
  private static final class Job {
    private final String id;
    private final String body;
    private final List<Call> submissions = new ArrayList<>();
    private final List<Call> cancellations = new ArrayList<>();
    private OptionalLong acknowledgedMillis = OptionalLong.empty();

    Job(String id, String body) {
      this.id = id;
      this.body = body;
    }

    void recordAcknowledgement(long nowMillis) {
      boolean isAcknowledged =
          cancellations.stream().anyMatch(call -> call.status() == 200 || call.status() == 410);
      if (isAcknowledged && acknowledgedMillis.isEmpty()) {
        acknowledgedMillis = OptionalLong.of(nowMillis);
      }
    }
  }

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEQUENCES);
  }

  private static Job createJob(Random random, long nowMillis) {
    String id = String.format(Locale.ROOT, "%016x", random.nextLong());
    String step = "{\"count\":2,\"cpu\":100,\"memMb\":16,\"estimatedMs\":300}";
    String nextStep = step.replace("}", ",\"after\":[0]}");
    String body =
        switch (random.nextInt(4)) {
          case 0 -> body("x", step.replace("}", ",\"longRunning\":true}"), "");
          case 1 -> body(SchedulingVm.DONE, step + "," + nextStep, "");
          case 2 -> body(SchedulingVm.FAILED, step, "");
          default ->
              body(
                  SchedulingVm.DONE,
                  step,
                  ",\"repetitions\":20,\"intervalMs\":700,\"startAtMs\":"
                      + (nowMillis + 4_000 + random.nextInt(4_000)));
        };
    return new Job(id, body);
  }

  private static String body(String payload, String steps, String schedule) {
    return "{\"spec\":\"" + payload + "\",\"phases\":[" + steps + "]" + schedule + "}";
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskStartsAfterTheAcknowledgement(long seed) {
    Random random = new Random(seed);
    EntryVms vms = EntryVms.start(VMS);
    SchedulingVm scheduling = SchedulingVm.start(vms, "w0", "w1");
    vms.runFor(3_000);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      jobs.add(createJob(random, vms.clock().wallMillis()));
    }
    int workers = 2;
    for (int i = 0; i < STEPS; i++) {
      Job job = jobs.get(random.nextInt(JOBS));
      switch (random.nextInt(12)) {
        case 0, 1, 2 -> job.submissions.add(vms.submit(random.nextInt(VMS), job.id, job.body));
        case 3 -> job.cancellations.add(vms.cancel(random.nextInt(VMS), job.id));
        case 4 -> vms.store.setBehavior(BEHAVIORS.get(random.nextInt(BEHAVIORS.size())));
        case 5 -> vms.store.setBehavior(Behavior.NORMAL);
        case 6 -> vms.store.applyLate();
        case 7 -> {
          scheduling.putWorker("w" + workers, "ready");
          scheduling.putWorker("w" + (workers - 2), "draining");
          workers++;
        }
        case 8 -> {
          if (random.nextInt(4) == 0) {
            scheduling.restart();
          }
        }
        default -> vms.runFor(random.nextInt(500));
      }
      jobs.forEach(each -> each.recordAcknowledgement(vms.clock().monotonicMillis()));
    }
    vms.store.setBehavior(Behavior.NORMAL);
    vms.store.applyLate();
    vms.runFor(2L * EntryVms.WAIT_MILLIS);
    jobs.forEach(each -> each.recordAcknowledgement(vms.clock().monotonicMillis()));
    vms.runFor(12_000);
    jobs.forEach(job -> assertEndsAfterAcknowledgement(scheduling, job, "seed " + seed));
  }

  private static void assertEndsAfterAcknowledgement(
      SchedulingVm scheduling, Job job, String name) {
    if (job.acknowledgedMillis.isEmpty()) {
      return;
    }
    long lastMillis = job.acknowledgedMillis.getAsLong() + MAX_START_MILLIS;
    assertEquals(
        List.of(),
        scheduling.starts.stream()
            .filter(start -> start.task().job().equals(job.id) && start.millis() > lastMillis)
            .toList(),
        name + ", cancelled at " + job.acknowledgedMillis);
    assertEquals(0, scheduling.runningTasks(job.id), name + ", runs on, job " + job.id);
  }
}
