import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs the case that the first argument names, and writes the record into the folder that the second
 * one names. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. No
 * disruption takes place if the environment variable TROUBLE is 0.
 */
public final class Trial {
  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int NOT_RUN = 2;

  /** A queue whose steps need a recommendation, in the cases that configure it. */
  private static final String RECOMMENDED_QUEUE = "kafi706";

  private Trial() {}

  public static void main(String[] args) {
    boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
    int exitCode = NOT_RUN;
    try (Deployment deployment = new Deployment(Path.of(args[1], "record.txt"))) {
      boolean isBroken =
          switch (args[0]) {
            case "foreign-entry" -> foreignEntry(deployment, withTrouble);
            case "restarted-minion" -> restartedMinion(deployment, withTrouble);
            case "broken-gang" -> brokenGang(deployment, withTrouble);
            case "hopeless-job" -> hopelessJob(deployment, withTrouble);
            default -> throw new IllegalArgumentException(args[0]);
          };
      exitCode = isBroken ? BROKEN : HELD;
      deployment.log("verdict " + (isBroken ? "broken" : "held"));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exitCode);
  }

  private static void startAll(Deployment deployment, int minions, Map<String, Integer> queues)
      throws Exception {
    Thread.sleep(700);
    deployment.publish(queues, Set.of(RECOMMENDED_QUEUE));
    for (int i = 0; i < minions; i++) {
      deployment.startMinion("i-" + i);
    }
    for (int i = 1; i <= 3; i++) {
      deployment.startDaemon("edge-temeke-" + i);
    }
    for (String daemon : deployment.daemonNames()) {
      Deployment.await("readiness of " + daemon, 20, () -> deployment.isReady(daemon));
    }
    Thread.sleep(4_000);
  }

  private static ObjectNode job(String spec, int count, int cpu) {
    ObjectNode job = Http.object().put("spec", spec);
    job.putArray("phases")
        .addObject()
        .put("count", count)
        .put("cpu", cpu)
        .put("memMb", 1_024)
        .put("estimatedMs", 1_000);
    return job;
  }

  /** Submits a job as a client does: again, at the next daemon, until it is accepted. */
  private static void submit(Deployment deployment, String path, ObjectNode job) throws Exception {
    for (int attempt = 0; attempt < 5; attempt++) {
      String daemon = deployment.daemonNames().get(attempt % deployment.daemonNames().size());
      if (deployment.request("POST", daemon, path, job).status() == 200) {
        return;
      }
      Thread.sleep(1_000);
    }
    throw new IllegalStateException("the job was not accepted");
  }

  /** Returns the run of a task that goes on, or null. */
  private static Runs.Run activeRun(Deployment deployment, String task) throws Exception {
    return Runs.ofTask(Runs.read(deployment.record()), task).stream()
        .filter(run -> run.endMillis == Long.MAX_VALUE)
        .findFirst()
        .orElse(null);
  }

  private static boolean isActive(Deployment deployment, String task) {
    try {
      return activeRun(deployment, task) != null;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Four tasks of 20 s run on minions that stay up. Other software leaves one entry among those of
   * the minions, with a service that the configuration does not name.
   */
  private static boolean foreignEntry(Deployment deployment, boolean withTrouble)
      throws Exception {
    startAll(deployment, 6, Map.of("puxa400", 4));
    String id = "5c0e7a21d94b36f8";
    submit(deployment, "/puxa400/" + id, job("work 20000", 4, 3_000));
    String task = id + ".0.0.0";
    Deployment.await("start of the task", 10, () -> isActive(deployment, task));
    Thread.sleep(3_000);
    if (withTrouble) {
      String minion = activeRun(deployment, task).minion;
      Deployment.MinionPlace place = deployment.place(minion);
      ObjectNode entry =
          Http.object()
              .put("service", "stock-count")
              .put("address", place.address())
              .put("zone", "temeke")
              .put("version", "v1")
              .put("slots", 8)
              .put("state", "ready")
              .put("coldRemainingMs", 0)
              .put("machine", place.machine())
              .put("born", System.currentTimeMillis())
              .put("sequence", 1);
      entry.putObject("capacity").put("cpu", 16_000).put("memMb", 32_768).put("gpu", 0);
      entry.putArray("labels").add("a").add("r1-1");
      deployment.putRow("servers", "count-1", entry);
      deployment.log("other software writes servers/count-1 " + entry);
    }
    Thread.sleep(30_000);
    return hasRunTwice(deployment);
  }

  /** Returns whether two runs of one task overlapped, or one started after one had ended done. */
  private static boolean hasRunTwice(Deployment deployment) throws Exception {
    boolean isBroken = false;
    List<Runs.Run> runs = Runs.read(deployment.record());
    for (int i = 0; i < runs.size(); i++) {
      for (int j = i + 1; j < runs.size(); j++) {
        Runs.Run first = runs.get(i);
        Runs.Run second = runs.get(j);
        if (first.task.equals(second.task) && second.startMillis < first.endMillis) {
          deployment.log("verdict TWICE " + first + " and " + second);
          isBroken = true;
        }
      }
    }
    return isBroken;
  }

  /**
   * The four minions of a rack fall silent, crash, and start again under their ids, while tasks that
   * last are started there. Later one of these minions is lost for good, while two others have
   * room for its task.
   */
  private static boolean restartedMinion(Deployment deployment, boolean withTrouble)
      throws Exception {
    startAll(deployment, 8, Map.of("puxa400", 4));
    String id = "5c0e7a21d94b36f8";
    List<String> rack = List.of("i-0", "i-1", "i-2", "i-3");
    ObjectNode job = job("lasting", 6, 3_000);
    ((ObjectNode) job.path("phases").get(0)).put("longRunning", true).put("antiAffinity", 1);
    boolean isRackLost = withTrouble && !"loss".equals(System.getenv("TROUBLE"));
    if (isRackLost) {
      rack.forEach(minion -> deployment.setDark(minion, true));
    }
    submit(deployment, "/puxa400/" + id, job);
    if (isRackLost) {
      Thread.sleep(1_500);
      for (String minion : rack) {
        deployment.signal(minion, "KILL");
        deployment.awaitEnd(minion);
        deployment.startMinion(minion);
        deployment.setDark(minion, false);
      }
    }
    for (int index = 0; index < 6; index++) {
      String task = id + ".0.0." + index;
      Deployment.await("start of " + task, 20, () -> isActive(deployment, task));
    }
    Thread.sleep(8_000);
    // Of the tasks in the rack, the one whose start had the latest deadline.
    Runs.Run lost =
        Runs.read(deployment.record()).stream()
            .filter(run -> run.endMillis == Long.MAX_VALUE && rack.contains(run.minion))
            .max(Comparator.comparingLong(run -> run.leaseMillis))
            .orElseThrow(() -> new IllegalStateException("no task runs in the rack"));
    if (withTrouble) {
      deployment.setDark(lost.minion, true);
      deployment.signal(lost.minion, "KILL");
    }
    Thread.sleep(30_000);
    boolean isBroken = !isActive(deployment, lost.task);
    deployment.log("verdict " + (isBroken ? "LOST: nothing runs of " : "runs: ") + lost.task);
    return isBroken;
  }

  /**
   * A job whose tasks last comes to a queue with a recommendation, and no minion may run it. Other
   * jobs, which all minions may run, follow on the same queue.
   */
  private static boolean hopelessJob(Deployment deployment, boolean withTrouble) throws Exception {
    startAll(deployment, 6, Map.of("puxa400", 4, RECOMMENDED_QUEUE, 4));
    String path = "/" + RECOMMENDED_QUEUE + "/";
    if (withTrouble) {
      ObjectNode hopeless = job("lasting ticket", 1, 1_000);
      ((ObjectNode) hopeless.path("phases").get(0)).put("longRunning", true);
      submit(deployment, path + "dead7a21d94b36f8", hopeless);
      Thread.sleep(1_000);
    }
    List<String> ids = List.of("5c0e7a21d94b36f0", "5c0e7a21d94b36f1", "5c0e7a21d94b36f2");
    for (String id : ids) {
      submit(deployment, path + id, job("work 1000 ticket", 2, 1_000));
    }
    Thread.sleep(40_000);
    List<Runs.Run> runs = Runs.read(deployment.record());
    boolean isBroken = false;
    for (String id : ids) {
      deployment.request("GET", deployment.daemonNames().get(0), path + id, null);
      if (Runs.ofTask(runs, id + ".0.0.0").isEmpty()) {
        deployment.log("verdict LOST: nothing has run of " + id);
        isBroken = true;
      }
    }
    return isBroken;
  }

  /** A gang of three tasks that saves its progress loses one minion, and is started again. */
  private static boolean brokenGang(Deployment deployment, boolean withTrouble) throws Exception {
    startAll(deployment, 6, Map.of("puxa400", 4));
    String id = "5c0e7a21d94b36f8";
    ObjectNode job = job("gang 3 8000", 3, 6_000);
    ((ObjectNode) job.path("phases").get(0))
        .put("gang", true)
        .put("checkpointing", true)
        .put("antiAffinity", 1);
    submit(deployment, "/puxa400/" + id, job);
    String task = id + ".0.0.0";
    Deployment.await("start of the task", 10, () -> isActive(deployment, task));
    Thread.sleep(4_200);
    long lossMillis = System.currentTimeMillis();
    if (withTrouble) {
      deployment.signal(activeRun(deployment, task).minion, "KILL");
    }
    Thread.sleep(45_000);
    long alone =
        Runs.read(deployment.record()).stream()
            .filter(run -> run.how.equals("alone") && run.startMillis > lossMillis + 10_000)
            .count();
    String state =
        deployment
            .request("GET", deployment.daemonNames().get(0), "/puxa400/" + id, null)
            .body()
            .path("state")
            .asText();
    deployment.log("verdict " + alone + " runs started 10 s after the loss ended alone: " + state);
    return alone > 0;
  }
}
