package org.sassafraslink.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.entry.job.EntryVms.Call;
import org.sassafraslink.entry.job.LateRowStore.Behavior;
import org.sassafraslink.scheduler.JobRows;
import org.sassafraslink.scheduler.JobRows.Kind;

/**
 * Guards against wrong answers to callers that submit, cancel and submit again while the store is
 * silent, loses responses or applies transactions late.
 *
 * <p>The system properties {@code cancelSequences} and {@code cancelFirstSeed} select other
 * sequences than the few of a usual run.
 */
class CancellationSoakTest {
  private static final int SEQUENCES = Integer.getInteger("cancelSequences", 200);
  private static final long FIRST_SEED = Long.getLong("cancelFirstSeed", 20261207);
  private static final List<Behavior> BEHAVIORS = List.of(Behavior.values());
  private static final int VMS = 3;
  private static final int JOBS = 12;
  private static final int STEPS = 120;

  /** A job, and the calls of its caller. */
  private static final class Job {
    private final String id;
    private final List<Call> submissions = new ArrayList<>();
    private final List<Call> cancellations = new ArrayList<>();

    Job(String id) {
      this.id = id;
    }
  }

  static LongStream seeds() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEQUENCES);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void answersHold(long seed) {
    Random random = new Random(seed);
    EntryVms vms = EntryVms.start(VMS);
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      jobs.add(new Job(String.format(Locale.ROOT, "%016x", random.nextLong())));
    }
    for (int i = 0; i < STEPS; i++) {
      Job job = jobs.get(random.nextInt(JOBS));
      switch (random.nextInt(6)) {
        case 0, 1 -> job.submissions.add(vms.submit(random.nextInt(VMS), job.id));
        case 2 -> job.cancellations.add(vms.cancel(random.nextInt(VMS), job.id));
        case 3 -> vms.store.setBehavior(BEHAVIORS.get(random.nextInt(BEHAVIORS.size())));
        case 4 -> vms.store.applyLate();
        default -> vms.runFor(random.nextInt(1_500));
      }
    }
    vms.store.setBehavior(Behavior.NORMAL);
    vms.runFor(2L * EntryVms.WAIT_MILLIS);
    vms.store.applyLate();
    jobs.forEach(job -> assertAnswersHold(vms, job, "seed " + seed + ", job " + job.id));
  }

  private static void assertAnswersHold(EntryVms vms, Job job, String name) {
    boolean isStored = vms.store.has(JobRows.key(job.id, Kind.SUBMISSION));
    boolean isCancelled = vms.store.has(JobRows.key(job.id, Kind.CANCELLATION));
    boolean isAcceptedOnce = job.submissions.stream().anyMatch(call -> call.status() == 200);
    boolean isAlwaysRejected =
        !job.submissions.isEmpty()
            && job.submissions.stream().allMatch(call -> call.status() == 503);
    boolean isCancelAcknowledged =
        job.cancellations.stream().anyMatch(call -> call.status() == 200 || call.status() == 410);
    if (isCancelAcknowledged) {
      assertEquals(true, isCancelled || !isStored, name + " would run though it was cancelled");
    }
    if (isAcceptedOnce) {
      assertEquals(true, isStored, name + " was accepted and is not stored");
    }
    if (isAlwaysRejected) {
      assertEquals(false, isStored, name + " was rejected and is stored");
    }
    if (!isStored) {
      assertEquals(410, vms.state(0, job.id).status(), name + " is shown");
    }
  }
}
