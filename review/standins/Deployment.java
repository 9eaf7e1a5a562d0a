import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * A small deployment of separate processes on loopback addresses: the platform, minions of one
 * service, and entry daemons, started with the command of the deploy file.
 */
final class Deployment implements AutoCloseable {
  static final String HOST = "pule25.example";
  static final String SERVICE = "huvo11a";
  static final String KEY = "sjnbanfqasnmgkcuyj8p";
  private static final int MINIONS_PER_RACK = 4;
  private static final int LOWEST_PORT = 15_000;
  private static final int HIGHEST_PORT = 32_000;
  private static final Set<Integer> RETURNED_PORTS = new HashSet<>();

  /** Settings of a daemon, with the bounds of the site mwakilema-ops. */
  private static final String SETTINGS =
      """
      nodeName = "%s"
      role = "entry"
      machineClass = "edge"
      serves = ["edge"]
      ip = "127.0.0.1"
      zone = "temeke"
      region = "dar-coast"
      portRange = [%d,%d]
      seeds = []
      bootstrap = true
      discovery = "platform"
      entry = "vip"
      heartbeatMs = 1500
      commands = "invocation"
      recommendation = "%s"
      [listen]
      frontend = "%s"
      readiness = "%s"
      [limits]
      cpuShare = 0.75
      cores = 1
      memoryMb = 430
      maxFds = 4100
      [bounds]
      contactMs = 3000
      ackTimeoutMs = 4000
      drainMs = 2000
      graceS = 6
      configApplyMs = 2000
      maxHoldMs = 6000
      stopTimeoutMs = 900
      gangTimeoutMs = 3000
      cancel_ms = 3000
      visible_ms = 3000
      early_ms = 250
      finish_s = 14
      status_s = 120
      checkpointS = 0.5
      restoreMs = 250
      noticeMs = 4500
      migrationS = 1.5
      maintenanceS = 2
      fencingEnforced = false
      leaseMs = 3000
      thawSlackMs = 300
      pacingMs = 100
      impactMs = 4000
      [platform]
      address = "%s"
      form = "table"
      writesPerS = 600
      readsPerS = 2000
      [cloudApi]
      address = "%s"
      ratePerS = 64.0
      dutyPerS = 64.0
      """;

  record Daemon(String name, String frontend, String readiness, Path settings) {}

  /** The minion listens on {@code backend}, behind a proxy at {@code address}. */
  record MinionPlace(
      String id, String machine, String address, String backend, String rack, Proxy proxy) {}

  private final Path root = Path.of("").toAbsolutePath();
  private final Path temporary;
  private final Path record;
  private final String platform;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, MinionPlace> minions = new LinkedHashMap<>();
  private final List<Daemon> daemons = new ArrayList<>();
  private long configVersion;

  Deployment(Path record) throws IOException {
    this.record = record;
    temporary = Files.createTempDirectory("review");
    Files.deleteIfExists(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    platform = freeAddress();
    startStandIn("platform", "Platform", platform, record.toString());
  }

  /**
   * Returns an address with a port that is free, and that no other call has returned. It is below
   * the ports that systems usually give to outgoing connections, which could take it meanwhile.
   */
  static synchronized String freeAddress() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (RETURNED_PORTS.add(port)) {
          return "127.0.0.1:" + port;
        }
      } catch (BindException e) {
        // In use; the next port is tried.
      }
    }
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  void log(String line) {
    Http.record(record, line);
  }

  private void startStandIn(String name, String main, String... arguments) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dsun.net.httpserver.nodelay=true",
                "-cp",
                "review/target:target/entry/*",
                main));
    command.addAll(List.of(arguments));
    start(name, command, Map.of());
  }

  private void start(String name, List<String> command, Map<String, String> variables)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().putAll(variables);
    Path output = temporary.resolve(name + ".log");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    processes.put(name, builder.start());
    log("trial starts " + name);
  }

  /** Starts a minion, or starts it again under the id, machine and address that it had. */
  void startMinion(String id) throws IOException {
    if (!minions.containsKey(id)) {
      String rack = "r1-" + (minions.size() / MINIONS_PER_RACK + 1);
      String address = freeAddress();
      String backend = freeAddress();
      minions.put(
          id,
          new MinionPlace(id, "m-" + id, address, backend, rack, new Proxy(address, backend)));
    }
    MinionPlace place = minions.get(id);
    startStandIn(
        id,
        "Minion",
        place.id(),
        place.machine(),
        place.backend(),
        SERVICE,
        platform,
        record.toString(),
        place.rack(),
        place.address());
  }

  /** Makes a minion silent, without a reset of its connections, or ends that. */
  void setDark(String id, boolean dark) {
    log("trial makes " + id + (dark ? " dark" : " reachable"));
    minions.get(id).proxy().setDark(dark);
  }

  MinionPlace place(String id) {
    return minions.get(id);
  }

  void startDaemon(String name) throws IOException {
    Daemon daemon =
        daemons.stream().filter(known -> known.name().equals(name)).findFirst().orElse(null);
    if (daemon == null) {
      String frontend = freeAddress();
      String readiness = freeAddress();
      Path settings = temporary.resolve(name + ".toml");
      Files.writeString(
          settings,
          SETTINGS.formatted(
              name,
              port(freeAddress()),
              port(freeAddress()),
              platform,
              frontend,
              readiness,
              platform,
              platform));
      daemon = new Daemon(name, frontend, readiness, settings);
      daemons.add(daemon);
    }
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    start(
        name,
        List.of(command.split(" ")),
        Map.of("SASSAFRASLINK_NODE_FILE", daemon.settings().toString()));
  }

  boolean isReady(String name) {
    Daemon daemon =
        daemons.stream().filter(known -> known.name().equals(name)).findFirst().orElseThrow();
    return Http.call("GET", "http://" + daemon.readiness() + "/readyz", null, Map.of()).status()
        == 200;
  }

  List<String> daemonNames() {
    return daemons.stream().map(Daemon::name).toList();
  }

  /** Sends a signal to a process that this trial has started. */
  void signal(String name, String signal) throws IOException, InterruptedException {
    log("trial sends " + signal + " to " + name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
  }

  void awaitEnd(String name) throws InterruptedException {
    processes.get(name).waitFor();
    log("trial sees the end of " + name);
  }

  /** Publishes a configuration with one service and the given queues. */
  void publish(Map<String, Integer> maxAttemptsByQueue) {
    publish(maxAttemptsByQueue, Set.of());
  }

  /**
   * As above; the platform recommends the minions for the steps in {@code recommendedQueues}.
   */
  void publish(Map<String, Integer> maxAttemptsByQueue, Set<String> recommendedQueues) {
    configVersion += 3;
    ObjectNode config = Http.object().put("version", configVersion);
    ArrayNode routes = config.putArray("routes");
    maxAttemptsByQueue.forEach(
        (queue, maxAttempts) -> {
          ObjectNode route =
              routes
                .addObject()
                .put("name", queue)
                .put("host", HOST)
                .put("pathPrefix", "/" + queue + "/")
                .put("kind", "non_idempotent")
                .put("timeoutMs", 3_000)
                .put("targetLatencyMs", 600)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("maxAttempts", maxAttempts)
                .put("slackFactor", 1.6)
                .put("public", false);
          if (recommendedQueues.contains(queue)) {
            route
                .putObject("recommendation")
                .put("decisionMs", 50)
                .put("perWorkerMs", 1)
                .put("validityMs", 3_000);
          }
        });
    config
        .putArray("services")
        .addObject()
        .put("name", SERVICE)
        .put("healthPath", "/healthz")
        .put("maxConnections", 64)
        .put("protocol", "h1")
        .put("tls", false)
        .put("admissionCheck", true)
        .put("standby", false);
    config
        .putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 262_144)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    ObjectNode tenant =
        config.putArray("tenants").addObject().put("name", "cugo130").put("weight", 33);
    tenant.putArray("apiKeys").add(KEY);
    tenant.putObject("cap").put("cpu", 0).put("memMb", 0).put("gpu", 0);
    putRow("op", "config", config);
    log("operator publishes version " + configVersion + " with " + maxAttemptsByQueue);
  }

  /** Writes a row as the operator or as other software. */
  void putRow(String table, String key, JsonNode value) {
    ObjectNode body = Http.object().put("table", table).put("key", key);
    body.set("value", value);
    Http.call("POST", "http://" + platform + "/internal/put", body, Map.of());
  }

  /** Sends a caller's request to a daemon. */
  Http.Reply request(String method, String daemonName, String path, JsonNode body) {
    Daemon daemon =
        daemons.stream().filter(known -> known.name().equals(daemonName)).findFirst().orElseThrow();
    Http.Reply reply =
        Http.call(
            method,
            "http://" + daemon.frontend() + path,
            body,
            Map.of(
                "Host",
                HOST,
                "Authorization",
                "Bearer " + KEY,
                "X-Sassafraslink-Deadline-Ms",
                "3000"));
    log(
        "client "
            + method
            + " "
            + path
            + (body == null ? "" : " " + body)
            + " -> "
            + reply.status()
            + " "
            + reply.body());
    return reply;
  }

  /** Returns the lines of the record, which all processes write. */
  List<String> record() throws IOException {
    try (Stream<String> lines = Files.lines(record)) {
      return lines.toList();
    }
  }

  static void await(String what, int seconds, BooleanSupplier condition)
      throws InterruptedException {
    long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new IllegalStateException("no " + what + " within " + seconds + " s");
      }
      Thread.sleep(50);
    }
  }

  private void endProcesses() {
    processes.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs: " + temporary);
      return;
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
    }
  }
}
