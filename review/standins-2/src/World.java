import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: the store, the machines' API, workers, and entry daemons as processes. */
final class World implements AutoCloseable {
  static final String SERVICE = "desk";
  static final String HOST = "pule25.example";
  static final String PREFIX = "/puxa400/";
  static final String API_KEY = "jbvk9m68k7b2ex5wa5xw";
  private static final String ZONE = "udhna";
  private static final long HEARTBEAT_MILLIS = 1_500;

  final Recorder recorder;
  final Store store;
  final List<Minion.Start> starts = Collections.synchronizedList(new ArrayList<>());
  private final Path repository;
  private final Path temporary;
  private final List<Minion> minions = new CopyOnWriteArrayList<>();
  private final List<Process> daemons = new ArrayList<>();
  private final List<Integer> frontends = new ArrayList<>();
  private final List<Integer> readiness = new ArrayList<>();
  private volatile long lastHeartbeatNanos;
  private int storePort;
  private int machinesPort;

  World(Path repository, Path temporary, Path record) {
    this.repository = repository;
    this.temporary = temporary;
    this.recorder = new Recorder(record);
    this.store = new Store(recorder);
  }

  /** What a script does, and its exit code. */
  interface Play {
    int run(World world) throws Exception;
  }

  /**
   * Plays a script and ends all processes that it started.
   *
   * @param args the path of the repository and that of the record
   */
  static int play(String name, String[] args, Play play) throws Exception {
    Path temporary = Files.createTempDirectory(name);
    int exitCode;
    try (World world = new World(Path.of(args[0]), temporary, Path.of(args[1]))) {
      exitCode = play.run(world);
      world.recorder.write("exit code " + exitCode);
    } catch (Exception e) {
      // Java would exit with 1, which means that the rule was broken.
      e.printStackTrace();
      exitCode = 2;
    }
    if (System.getenv("KEEP_LOGS") == null) {
      for (File file : temporary.toFile().listFiles()) {
        Files.delete(file.toPath());
      }
      Files.delete(temporary);
    } else {
      System.out.println(temporary);
    }
    return exitCode;
  }

  /** Starts the platform and the workers, and writes the first configuration. */
  void startPlatform(int minionCount, Minion.Work work) throws Exception {
    storePort = Http.serve(store::handle);
    machinesPort =
        Http.serve(
            exchange -> {
              exchange.getRequestBody().readAllBytes();
              ObjectNode body = Http.MAPPER.createObjectNode();
              if (exchange.getRequestURI().getPath().equals("/machines")) {
                ArrayNode list = body.putArray("machines");
                minions.forEach(minion -> list.add(minion.machineEntry(SERVICE, ZONE)));
                body.putNull("nextToken");
                Http.respond(exchange, 200, body);
              } else {
                Http.respond(exchange, 409, body.put("reason", "busy"));
              }
            });
    ObjectNode config = Http.MAPPER.createObjectNode().put("version", 7);
    config.putArray("routes").addObject()
        .put("name", "r-tyiikdr").put("host", HOST).put("pathPrefix", PREFIX).put("kind", "non_idempotent")
        .put("timeoutMs", 3000).put("targetLatencyMs", 600).put("priority", 0).put("service", SERVICE)
        .put("maxAttempts", 4).put("slackFactor", 1.6).put("public", false);
    config.putArray("services").addObject()
        .put("name", SERVICE).put("healthPath", "/healthz").put("maxConnections", 64).put("protocol", "h1")
        .put("tls", false).put("admissionCheck", work.guardsCapacity()).put("standby", false);
    config.putObject("limits").put("maxHeaderBytes", 16384).put("maxBodyBytes", 262144)
        .put("headerTimeoutMs", 3000).put("idleTimeoutMs", 15000);
    ObjectNode tenant = config.putArray("tenants").addObject().put("name", "cugo130").put("priority", 1).put("weight", 33);
    tenant.putArray("apiKeys").add(API_KEY);
    tenant.putObject("cap").put("cpu", 529170).put("memMb", 879646).put("gpu", 0);
    store.put("op", "config", config.toString());
    for (int i = 0; i < minionCount; i++) {
      addMinion(work);
    }
    Thread heartbeats =
        new Thread(
            () -> {
              try {
                while (true) {
                  // A worker's heartbeat waits while the store gives no answers.
                  for (Minion minion : minions) {
                    if (!minion.isDark()) {
                      store.put("servers", minion.id(), minion.entry(SERVICE, ZONE));
                    }
                  }
                  lastHeartbeatNanos = System.nanoTime();
                  Thread.sleep(HEARTBEAT_MILLIS);
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    heartbeats.setDaemon(true);
    heartbeats.start();
  }

  /** Starts a worker on a machine of its own. */
  Minion addMinion(Minion.Work work) throws Exception {
    int number = minions.size() + 1;
    Minion minion =
        new Minion("i-0000000" + number, "m-0000" + number, "r1-" + number, recorder, starts, work);
    minion.start();
    minions.add(minion);
    return minion;
  }

  /** Waits until all workers have just written their entries. */
  void awaitHeartbeat() throws InterruptedException {
    long previous = lastHeartbeatNanos;
    while (lastHeartbeatNanos == previous) {
      Thread.sleep(5);
    }
  }

  Minion minion(int number) {
    return minions.get(number);
  }

  /** Starts an entry daemon with the command of the deploy file, and returns its number. */
  int startDaemon() throws Exception {
    int number = daemons.size();
    int frontend = Http.freePort();
    int ready = Http.freePort();
    String settings =
        String.join(
            "\n",
            "nodeName = \"edge-udhna-" + (number + 1) + "\"",
            "role = \"entry\"",
            "machineClass = \"edge\"",
            "serves = [\"edge\"]",
            "ip = \"127.0.0.1\"",
            "zone = \"" + ZONE + "\"",
            "region = \"gujarat-south\"",
            "portRange = [" + Http.freePort() + "," + Http.freePort() + "]",
            "bootstrap = true",
            "discovery = \"platform\"",
            "entry = \"vip\"",
            "heartbeatMs = " + HEARTBEAT_MILLIS,
            "commands = \"invocation\"",
            "[listen]",
            "frontend = \"127.0.0.1:" + frontend + "\"",
            "readiness = \"127.0.0.1:" + ready + "\"",
            "[limits]\ncpuShare = 0.75\ncores = 1\nmemoryMb = 430\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0",
            "[bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainMs = 2000",
            "graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxExtensionMs = 5000",
            "failClosed = false\nrevokeMs = 5000\nquotaWindowS = 5\nquotaOverage = 0.1\nquotaTolerance = 20\nrecoveryS = 12",
            "maxHoldMs = 6000\nstopTimeoutMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250",
            "finish_s = 14\nstatus_s = 120\nremoteFactor = 3\ncheckpointS = 0.5\nrestoreMs = 250\nnoticeMs = 4500",
            "migrationS = 1.5\nmaintenanceS = 2\nfencingEnforced = false\nleaseMs = 3000\nthawSlackMs = 300\npacingMs = 100",
            "impactMs = 4000",
            "[platform]\naddress = \"127.0.0.1:" + storePort + "\"\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000",
            "transactionMs = 8.0\npartitionWritesS = 150\nmaxRowBytes = 65536\ncrossPartition = false\nhistoryS = 20",
            "blobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0",
            "[cloudApi]\naddress = \"127.0.0.1:" + machinesPort + "\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0",
            "");
    Path file = temporary.resolve("node-" + number + ".toml");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
    builder.environment().put("SASSAFRASLINK_NODE_FILE", file.toString());
    File log = temporary.resolve("daemon-" + number + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(log);
    daemons.add(builder.start());
    frontends.add(frontend);
    readiness.add(ready);
    recorder.write("entry daemon " + (number + 1) + " is started");
    return number;
  }

  /** Waits until a daemon reports ready; returns whether it did within 20 s. */
  boolean awaitReady(int daemon) throws Exception {
    for (int i = 0; i < 200; i++) {
      Client.Answer answer = Client.call(readiness.get(daemon), "GET", "/readyz", "", 500);
      if (answer.status() == 200) {
        recorder.write("entry daemon " + (daemon + 1) + " is ready");
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  Process daemon(int number) {
    return daemons.get(number);
  }

  int frontend(int daemon) {
    return frontends.get(daemon);
  }

  /** Sends a call of a client to a daemon, and records it and its answer. */
  Client.Answer call(int daemon, String method, String jobId, String body, int deadlineMillis) throws Exception {
    recorder.write("client: " + method + " " + jobId + " to daemon " + (daemon + 1));
    Client.Answer answer = Client.call(frontends.get(daemon), method, PREFIX + jobId, body, deadlineMillis);
    recorder.write("client: " + method + " " + jobId + " is answered " + answer);
    return answer;
  }

  @Override
  public void close() throws Exception {
    for (Process daemon : daemons) {
      daemon.destroyForcibly();
      daemon.waitFor();
    }
  }
}
