import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker that runs each task for a given time. It does not guard its capacity, unless it is told to
 * do so.
 */
final class Minion {
  /** What the tasks need and how long they take, by their names. */
  interface Work {
    long millis(String task);

    default long cpu(String task) {
      return 500;
    }

    default long stopMillis() {
      return 50;
    }

    default boolean guardsCapacity() {
      return true;
    }
  }

  /** The end of a run. */
  record End(double seconds, String task, int attempt, String how) {}

  /** A start that was accepted. */
  record Start(
      double seconds, String minion, String task, int attempt, String spec, long cpuAfter) {}

  static final int CPU = 16_000;
  private static final int MEMORY_MB = 32_768;
  private static final long MAX_HOLD_MILLIS = 6_000;

  private static final class Run {
    String task;
    int attempt;
    long startMillis;
    long endMillis;
    long stopAtMillis; // 0 if it is not being stopped
  }

  private final String id;
  private final String machine;
  private final String rack;
  private final Recorder recorder;
  private final List<Start> starts;
  private final Work work;
  private final long born = System.currentTimeMillis();
  private final long clockOffset = 500_000 - System.nanoTime() / 1_000_000;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestStopped = new HashMap<>();
  private final Map<Long, ArrayNode> finished = new LinkedHashMap<>();
  final List<End> ends = Collections.synchronizedList(new ArrayList<>());
  private long finishedCount;
  private long highestToken;
  private long leaseEnd;
  private int sequence;
  private int port;

  /** Whether it has lost power: it answers nothing, and nothing runs on it. */
  private volatile boolean dark;

  Minion(String id, String machine, String rack, Recorder recorder, List<Start> starts, Work work) {
    this.id = id;
    this.machine = machine;
    this.rack = rack;
    this.recorder = recorder;
    this.starts = starts;
    this.work = work;
  }

  /** Starts the server and the clock of the worker. */
  void start() throws Exception {
    port = Http.serve(this::handle);
    Thread clock =
        new Thread(
            () -> {
              while (true) {
                tick();
                try {
                  Thread.sleep(5);
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    clock.setDaemon(true);
    clock.start();
  }

  String id() {
    return id;
  }

  /** Ends this life of the worker: no call gets an answer any more. */
  synchronized void losePower() {
    dark = true;
    running.clear();
    recorder.write("minion " + id + " loses power");
  }

  /** Lets the present runs end one after the other, the first after {@code firstMillis}. */
  synchronized void endRunsInTurn(long firstMillis, long intervalMillis) {
    long end = clock() + firstMillis;
    for (Run run : running.values()) {
      run.endMillis = end;
      end += intervalMillis;
    }
  }

  synchronized boolean runsNothing() {
    return running.isEmpty();
  }

  boolean isDark() {
    return dark;
  }

  /** Returns the entry that the worker writes to the store. */
  synchronized String entry(String service, String zone) {
    sequence++;
    ObjectNode entry = Http.MAPPER.createObjectNode();
    entry.put("service", service).put("address", "127.0.0.1:" + port).put("zone", zone).put("version", "v1");
    entry.put("slots", 8).put("state", "ready").put("coldRemainingMs", 0).put("machine", machine).put("born", born);
    entry.putObject("capacity").put("cpu", CPU).put("memMb", MEMORY_MB).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    return entry.put("clockMs", clock()).put("sequence", sequence).toString();
  }

  ObjectNode machineEntry(String service, String zone) {
    ObjectNode entry = Http.MAPPER.createObjectNode();
    entry.put("machine", machine).put("pool", service).put("state", "up").put("zone", zone).put("id", id);
    entry.putObject("capacity").put("cpu", CPU).put("memMb", MEMORY_MB).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    return entry;
  }

  private long clock() {
    return System.nanoTime() / 1_000_000 + clockOffset;
  }

  private synchronized void tick() {
    long now = clock();
    for (Run run : List.copyOf(running.values())) {
      if (now > leaseEnd) {
        end(run, "lapsed");
      } else if (run.stopAtMillis > 0 && now >= run.stopAtMillis) {
        end(run, "stopped");
      } else if (now >= run.endMillis) {
        end(run, "done");
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    highestStopped.merge(run.task, run.attempt, Math::max);
    finishedCount++;
    finished.put(finishedCount, Http.MAPPER.createArrayNode().add(finishedCount).add(run.task).add(run.attempt).add(how).add(""));
    ends.add(new End(recorder.seconds(), run.task, run.attempt, how));
    recorder.write("minion " + id + ": run " + run.attempt + " of " + run.task + " ends " + how);
    notifyAll();
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadlineMs")) {
      leaseEnd = Math.max(leaseEnd, Math.min(body.path("deadlineMs").asLong(), clock() + MAX_HOLD_MILLIS));
    }
  }

  private ObjectNode clockBody() {
    return Http.MAPPER.createObjectNode().put("clockMs", clock()).put("born", born);
  }

  private void handle(HttpExchange exchange) throws Exception {
    String expected = exchange.getRequestHeaders().getFirst("X-Sassafraslink-Expected-Instance");
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    if (dark) {
      return; // The exchange stays open without an answer.
    }
    if (expected != null && !expected.equals(id)) {
      Http.respond(exchange, 421, clockBody());
      return;
    }
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/healthz")) {
      Http.respond(exchange, 200, clockBody());
      return;
    }
    JsonNode body = Http.MAPPER.readTree(bytes);
    ObjectNode response;
    int status;
    synchronized (this) {
      response = Http.MAPPER.createObjectNode();
      long token = body.path("fencingToken").asLong();
      if (token < highestToken) {
        status = 409;
        response.put("reason", "fence");
      } else {
        highestToken = token;
        String reason =
            switch (path) {
              case "/run-start" -> startRun(body);
              case "/run-stop" -> stopRun(body);
              case "/hold" -> hold(body, response);
              default -> "";
            };
        status = reason.isEmpty() ? 200 : 409;
        if (!reason.isEmpty()) {
          response.put("reason", reason);
        }
      }
      response.put("clockMs", clock()).put("born", born);
    }
    Http.respond(exchange, status, response);
  }

  private String startRun(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    extendLease(body);
    Run present = running.get(task);
    if (present != null && present.attempt == attempt) {
      return "";
    }
    if (present != null || highestStopped.getOrDefault(task, 0) >= attempt) {
      return "old";
    }
    if (body.path("deadlineMs").asLong() <= clock()) {
      return "late";
    }
    long cpu = work.cpu(task) + running.keySet().stream().mapToLong(work::cpu).sum();
    if (cpu > CPU && work.guardsCapacity()) {
      return "room";
    }
    Run run = new Run();
    run.task = task;
    run.attempt = attempt;
    run.startMillis = clock();
    run.endMillis = run.startMillis + work.millis(task);
    running.put(task, run);
    starts.add(new Start(recorder.seconds(), id, task, attempt, body.path("spec").asText(), cpu));
    recorder.write("minion " + id + ": starts run " + attempt + " of " + task + ", " + cpu + " of " + CPU + " in use");
    return "";
  }

  private String stopRun(JsonNode body) {
    String task = body.path("task").asText();
    highestStopped.merge(task, body.path("attempt").asInt(), Math::max);
    Run run = running.get(task);
    if (run != null && run.attempt == body.path("attempt").asInt()) {
      run.stopAtMillis = run.stopAtMillis > 0 ? run.stopAtMillis : clock() + work.stopMillis();
      recorder.write("minion " + id + ": is told to stop run " + run.attempt + " of " + task);
    }
    return "";
  }

  private String hold(JsonNode body, ObjectNode response) throws InterruptedException {
    extendLease(body);
    long lastSeen = body.path("lastSeen").asLong();
    for (ArrayNode end : List.copyOf(finished.values())) {
      if (end.get(0).asLong() <= lastSeen) {
        finished.remove(end.get(0).asLong());
        recorder.write(
            "minion " + id + ": the end " + end.get(3).asText() + " of run " + end.get(2) + " of "
                + end.get(1).asText() + " is taken note of");
      }
    }
    long endNanos = System.nanoTime() + 1_000_000 * Math.min(2_000, body.path("waitMs").asLong());
    long knownEnds = finishedCount;
    while (finishedCount == knownEnds && finished.isEmpty() && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
    ArrayNode runs = response.putArray("running");
    running.values().forEach(run -> runs.add(Http.MAPPER.createArrayNode().add(run.task).add(run.attempt).add("").add(100).add(1.0)));
    ArrayNode ends = response.putArray("finished");
    finished.values().stream().limit(500).forEach(ends::add);
    return "";
  }
}
