import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Jobs are assigned to a worker that has just lost power, and the entry daemon that schedules is
 * killed. The other one is asked how many jobs are pending.
 */
public final class PendingAfterTakeover {
  private static final int JOBS = 6;
  private static final String BODY =
      "{\"spec\":\"text\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimatedMs\":1000}]}";
  private static final long KILL_DELAY_MILLIS = 400;
  private static final double VISIBLE_SECONDS = 3;
  private static final double COUNT_AGE_SECONDS = 2;
  private static final double ENTRY_LAPSE_SECONDS = 4.5;
  private static final double REPLACEMENT_SECONDS = 9;
  private static final double END_SECONDS = 14;
  private static final Pattern PENDING = Pattern.compile("\"pending\":(\\d+)");

  private PendingAfterTakeover() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    System.exit(World.play("review-10", args, world -> run(world, trouble)));
  }

  private static int run(World world, boolean trouble) throws Exception {
    Minion.Work work = task -> 1_000;
    world.startPlatform(1, work);
    // The first daemon schedules, since it is alone at first.
    world.startDaemon();
    if (!world.awaitReady(0)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (world.call(0, "POST", "00000000000000ff", BODY, 3_000).status() != 200) {
      return 2;
    }
    world.startDaemon();
    if (!world.awaitReady(1)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (world.starts.size() != 1) {
      return 2;
    }
    Minion lost = world.minion(0);
    if (trouble) {
      lost.losePower();
    }
    double darkSeconds = world.recorder.seconds();
    for (int i = 1; i <= JOBS; i++) {
      if (world.call(1, "POST", "00000000000000a" + i, BODY, 3_000).status() != 200) {
        return 2;
      }
    }
    double acceptedSeconds = world.recorder.seconds();
    if (trouble) {
      Thread.sleep(KILL_DELAY_MILLIS);
      world.recorder.write("entry daemon 1 is killed");
      world.daemon(0).destroyForcibly();
    }
    boolean entryRemoved = !trouble;
    boolean replaced = !trouble;
    boolean broken = false;
    while (world.recorder.seconds() < acceptedSeconds + END_SECONDS) {
      double now = world.recorder.seconds();
      if (!entryRemoved && now > darkSeconds + ENTRY_LAPSE_SECONDS) {
        entryRemoved = true;
        world.store.remove("servers", lost.id());
      }
      if (!replaced && now > darkSeconds + REPLACEMENT_SECONDS) {
        replaced = true;
        world.addMinion(work);
      }
      if (now > acceptedSeconds + VISIBLE_SECONDS + COUNT_AGE_SECONDS) {
        Client.Answer answer = world.call(1, "GET", "", "", 3_000);
        Matcher matcher = PENDING.matcher(answer.body());
        long begun =
            List.copyOf(world.starts).stream().map(start -> start.task().split("\\.")[0]).distinct().count() - 1;
        if (answer.status() == 200 && matcher.find()
            && 2 * Long.parseLong(matcher.group(1)) < JOBS - begun) {
          world.recorder.write(
              "broken: " + matcher.group(1) + " jobs are pending, but " + (JOBS - begun) + " have not begun");
          broken = true;
        }
      }
      Thread.sleep(250);
    }
    return broken ? 1 : world.starts.size() >= JOBS + 1 ? 0 : 2;
  }
}
