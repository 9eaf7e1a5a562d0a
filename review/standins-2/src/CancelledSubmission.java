import java.nio.file.Path;
import java.util.List;

/**
 * A client cancels a job whose submission got no definite answer, since the store was silent. The
 * store performs the transaction that stores the job some seconds later.
 */
public final class CancelledSubmission {
  private static final String JOB = "5c0e7a21d94b36f8";

  /** Two steps: the second one starts long after the cancelling. */
  private static final String BODY =
      "{\"spec\":\"cancelled\",\"phases\":[{\"count\":2,\"cpu\":500,\"memMb\":256,\"estimatedMs\":7000},"
          + "{\"count\":2,\"cpu\":500,\"memMb\":256,\"estimatedMs\":1000,\"after\":[0]}]}";

  private static final long CANCEL_MILLIS = 3_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long SILENCE_MILLIS = 3_500;
  private static final long CANCEL_DELAY_MILLIS = 500; // after the end of the silence
  private static final long LATE_MILLIS = 1_500; // after the end of the silence

  private CancelledSubmission() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    System.exit(World.play("review-9", args, world -> run(world, trouble)));
  }

  private static int run(World world, boolean trouble) throws Exception {
    world.startPlatform(2, task -> task.split("\\.")[2].equals("0") ? 7_000 : 1_000);
    world.startDaemon();
    world.startDaemon();
    if (!world.awaitReady(0) || !world.awaitReady(1)) {
      return 2;
    }
    Thread.sleep(4_000);
    // The system is in order: a job that is cancelled no sooner than it ran is completed.
    Client.Answer first =
        world.call(0, "POST", "00000000000000a1", BODY.replace("7000", "300"), 3_000);
    if (first.status() != 200) {
      return 2;
    }
    Thread.sleep(1_000);
    if (world.starts.isEmpty()) {
      world.recorder.write("the first job has not started");
      return 2;
    }
    double lateSeconds = 0;
    if (trouble) {
      world.store.performLate(text -> text.contains("jobs " + JOB));
      world.store.setSilent(true);
    }
    long silenceEndNanos = System.nanoTime() + SILENCE_MILLIS * 1_000_000;
    Client.Answer submitted = world.call(0, "POST", JOB, BODY, 3_000);
    if (trouble) {
      if (submitted.status() == 200 || submitted.status() == 503 || submitted.status() == 429) {
        world.recorder.write("the submission has a definite answer, so the case says nothing");
        return 2;
      }
      Thread.sleep(Math.max(0, (silenceEndNanos - System.nanoTime()) / 1_000_000));
      world.store.setSilent(false);
      Thread.sleep(CANCEL_DELAY_MILLIS);
    }
    double acknowledgedSeconds = -1;
    for (int i = 0; i < 10 && acknowledgedSeconds < 0; i++) {
      Client.Answer cancelled = world.call(1, "DELETE", JOB, "", 3_000);
      if (cancelled.status() / 100 == 2 || cancelled.status() == 410) {
        acknowledgedSeconds = world.recorder.seconds();
      } else {
        Thread.sleep(500);
      }
    }
    if (acknowledgedSeconds < 0) {
      return 2;
    }
    if (trouble) {
      Thread.sleep(LATE_MILLIS - CANCEL_DELAY_MILLIS);
      if (world.store.performLateTransactions() == 0) {
        world.recorder.write("no submission was performed late, so the case says nothing");
      }
      lateSeconds = world.recorder.seconds();
    }
    Thread.sleep(16_000);
    world.call(1, "GET", JOB, "", 3_000);
    // A start counts only while all machines are in touch, whatever ends the disruption.
    double fromSeconds =
        Math.max(acknowledgedSeconds + CANCEL_MILLIS / 1e3, lateSeconds + CONTACT_MILLIS / 1e3);
    boolean broken = false;
    for (Minion.Start start : List.copyOf(world.starts)) {
      if (start.task().startsWith(JOB) && start.seconds() > fromSeconds) {
        world.recorder.write(
            String.format(
                "broken: %s starts %.1f s after its job's cancelling was acknowledged",
                start.task(), start.seconds() - acknowledgedSeconds));
        broken = true;
      }
    }
    return broken ? 1 : 0;
  }
}
