import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Another writer replaces the entry of a worker for a moment, and the entry daemon that schedules is
 * killed before the worker writes its entry again. Some of the worker's tasks end meanwhile.
 */
public final class ForeignEntry {
  private static final String JOB = "00000000000000a1";
  private static final int TASKS = 8;
  private static final String BODY =
      "{\"spec\":\"text\",\"phases\":[{\"count\":" + TASKS
          + ",\"cpu\":500,\"memMb\":256,\"estimatedMs\":8000}]}";

  /** From the worker's last heartbeat until the other writer writes. */
  private static final long WRITE_DELAY_MILLIS = 200;

  private static final long KILL_DELAY_MILLIS = 300; // from the write
  private static final long FIRST_END_MILLIS = 400; // from the write
  private static final long END_INTERVAL_MILLIS = 120;
  private static final long OBSERVED_MILLIS = 25_000;

  private ForeignEntry() {}

  public static void main(String[] args) throws Exception {
    String trouble = System.getenv().getOrDefault("TROUBLE", "1");
    System.exit(
        World.play(
            "review-7", args, world -> run(world, !trouble.equals("0") && !trouble.equals("kill"), !trouble.equals("0"))));
  }

  private static int run(World world, boolean foreignEntry, boolean kill) throws Exception {
    int[] firstRun = {0};
    // Repeated runs end by themselves, the first ones when the script says so.
    Minion.Work work = task -> firstRun[0] == 0 ? 60_000 : 1_000;
    world.startPlatform(2, work);
    // The first daemon schedules, since it is alone at first.
    world.startDaemon();
    if (!world.awaitReady(0)) {
      return 2;
    }
    Thread.sleep(4_000);
    if (world.call(0, "POST", JOB, BODY, 3_000).status() != 200) {
      return 2;
    }
    world.startDaemon();
    if (!world.awaitReady(1)) {
      return 2;
    }
    Thread.sleep(3_000);
    List<Minion.Start> starts = List.copyOf(world.starts);
    if (starts.size() != TASKS || starts.stream().map(Minion.Start::minion).distinct().count() != 1) {
      return 2;
    }
    firstRun[0] = 1;
    Minion minion = world.minion(starts.get(0).minion().endsWith("1") ? 0 : 1);
    world.awaitHeartbeat();
    Thread.sleep(WRITE_DELAY_MILLIS);
    if (foreignEntry) {
      ObjectNode entry = Http.MAPPER.createObjectNode();
      entry.put("service", "batch-export").put("address", "127.0.0.1:" + Http.freePort()).put("zone", "udhna");
      entry.put("version", "v1").put("slots", 8).put("state", "ready").put("coldRemainingMs", 0);
      entry.put("machine", "x-1").put("born", System.currentTimeMillis());
      entry.putObject("capacity").put("cpu", 8_000).put("memMb", 16_384).put("gpu", 0);
      entry.putArray("labels").add("b").add("r9-1");
      world.store.put("servers", minion.id(), entry.put("clockMs", 1_000).put("sequence", 1).toString());
      world.recorder.write("another writer writes servers/" + minion.id());
    }
    minion.endRunsInTurn(FIRST_END_MILLIS, END_INTERVAL_MILLIS);
    if (kill) {
      Thread.sleep(KILL_DELAY_MILLIS);
      world.daemon(0).destroyForcibly();
      world.recorder.write("entry daemon 1 is killed");
    }
    Thread.sleep(OBSERVED_MILLIS);
    Client.Answer state = world.call(1, "GET", JOB, "", 3_000);
    Map<String, Double> doneSeconds = new HashMap<>();
    for (int number = 0; number < 2; number++) {
      for (Minion.End end : List.copyOf(world.minion(number).ends)) {
        if (end.how().equals("done")) {
          doneSeconds.merge(end.task(), end.seconds(), Math::min);
        }
      }
    }
    boolean broken = false;
    for (Minion.Start start : List.copyOf(world.starts)) {
      Double done = doneSeconds.get(start.task());
      if (done != null && start.seconds() > done) {
        world.recorder.write(
            String.format(
                "broken: run %d of %s starts %.1f s after a run has ended done",
                start.attempt(), start.task(), start.seconds() - done));
        broken = true;
      }
    }
    return broken ? 1 : state.body().contains("completed") ? 0 : 2;
  }
}
