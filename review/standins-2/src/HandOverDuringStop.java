import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A job that fills all workers is cancelled, and the entry daemon that schedules is stopped for a
 * restart while the workers still stop the job's tasks. Another job waits for their room.
 */
public final class HandOverDuringStop {
  private static final String CANCELLED_JOB = "00000000000000a1";
  private static final String WAITING_JOB = "00000000000000b2";
  private static final int MINIONS = 2;
  private static final int TASK_CPU = 2_000;
  private static final int TASKS = MINIONS * Minion.CPU / TASK_CPU;
  private static final String BODY =
      "{\"spec\":\"text\",\"phases\":[{\"count\":" + TASKS + ",\"cpu\":" + TASK_CPU
          + ",\"memMb\":256,\"estimatedMs\":30000}]}";

  /** Time from the answer to the cancelling until the SIGTERM. */
  private static final long TERM_DELAY_MILLIS = 100;

  private static final Minion.Work WORK =
      new Minion.Work() {
        @Override
        public long millis(String task) {
          return 30_000;
        }

        @Override
        public long cpu(String task) {
          return TASK_CPU;
        }

        @Override
        public long stopMillis() {
          return 850;
        }

        @Override
        public boolean guardsCapacity() {
          return false;
        }
      };

  private HandOverDuringStop() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    System.exit(World.play("review-7", args, world -> run(world, trouble)));
  }

  private static int run(World world, boolean trouble) throws Exception {
    world.startPlatform(MINIONS, WORK);
    // The first daemon schedules, since it is alone at first.
    world.startDaemon();
    if (!world.awaitReady(0)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (world.call(0, "POST", CANCELLED_JOB, BODY, 3_000).status() != 200) {
      return 2;
    }
    world.startDaemon();
    if (!world.awaitReady(1)) {
      return 2;
    }
    Thread.sleep(3_000);
    if (world.starts.size() != TASKS || world.call(1, "POST", WAITING_JOB, BODY, 3_000).status() != 200) {
      return 2;
    }
    Thread.sleep(2_000);
    if (world.call(1, "DELETE", CANCELLED_JOB, "", 3_000).status() != 200) {
      return 2;
    }
    if (trouble) {
      Thread.sleep(TERM_DELAY_MILLIS);
      world.recorder.write("entry daemon 1 gets SIGTERM");
      world.daemon(0).destroy();
    }
    Thread.sleep(8_000);
    boolean broken = false;
    boolean ran = false;
    for (Minion.Start start : List.copyOf(world.starts)) {
      ran |= start.task().startsWith(WAITING_JOB);
      if (start.cpuAfter() > Minion.CPU) {
        world.recorder.write(
            String.format(
                "broken: the start of %s at %.3f s brings %s to %d of %d",
                start.task(), start.seconds(), start.minion(), start.cpuAfter(), Minion.CPU));
        broken = true;
      }
    }
    return broken ? 1 : ran ? 0 : 2;
  }
}
