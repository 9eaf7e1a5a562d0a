import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Entry daemons are stopped and started in turn. Each time, a job that fills all workers is cancelled
 * shortly before the daemon that schedules gets SIGTERM, so that the workers still stop its tasks when
 * the next daemon takes over. Another job waits for their room.
 */
public final class HandOverDuringStop {
  private static final int ROUNDS = 4;
  private static final int MINIONS = 2;
  private static final int TASK_CPU = 2_000;
  private static final int TASKS = MINIONS * Minion.CPU / TASK_CPU;
  private static final String BODY =
      "{\"spec\":\"text\",\"phases\":[{\"count\":" + TASKS + ",\"cpu\":" + TASK_CPU
          + ",\"memMb\":256,\"estimatedMs\":100000}]}";

  /** Time from the answer to the cancelling until the SIGTERM. */
  private static final long TERM_DELAY_MILLIS = 100;

  private static final Minion.Work WORK =
      new Minion.Work() {
        @Override
        public long millis(String task) {
          return 100_000;
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
    // The first daemon schedules, since it is alone at first; each later one takes over from the one
    // before it.
    world.startDaemon();
    if (!world.awaitReady(0)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (world.call(0, "POST", jobId(0), BODY, 3_000).status() != 200) {
      return 2;
    }
    for (int round = 0; round < ROUNDS; round++) {
      int scheduling = trouble ? round : 0;
      int other = scheduling + 1;
      if ((trouble || round == 0) && world.startDaemon() != other || !world.awaitReady(other)) {
        return 2;
      }
      Thread.sleep(3_000);
      String running = jobId(round);
      if (List.copyOf(world.starts).stream().filter(start -> start.task().startsWith(running)).count() < TASKS
          || world.call(other, "POST", jobId(round + 1), BODY, 3_000).status() != 200) {
        return 2;
      }
      Thread.sleep(2_000);
      if (world.call(other, "DELETE", jobId(round), "", 3_000).status() != 200) {
        return 2;
      }
      if (trouble) {
        Thread.sleep(TERM_DELAY_MILLIS);
        world.recorder.write("entry daemon " + (scheduling + 1) + " gets SIGTERM");
        world.daemon(scheduling).destroy();
      }
      Thread.sleep(6_000);
    }
    boolean broken = false;
    for (Minion.Start start : List.copyOf(world.starts)) {
      if (start.cpuAfter() > Minion.CPU) {
        world.recorder.write(
            String.format(
                "broken: the start of %s at %.3f s brings %s to %d of %d",
                start.task(), start.seconds(), start.minion(), start.cpuAfter(), Minion.CPU));
        broken = true;
      }
    }
    return broken ? 1 : 0;
  }

  private static String jobId(int round) {
    return "00000000000000a" + round;
  }
}
