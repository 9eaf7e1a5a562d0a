package org.sassafraslink.entry.cancelling;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Simulates one life of a worker, which guards its capacity. */
public final class WorkerStandIn {
  public static final int CPU = 16_000;
  public static final int MEMORY_MB = 32_768;

  /** What a run on a worker takes, read from its payload. */
  record Load(long cpu, long millis) {
    /** A payload is CPU:MILLIS; a long-running task has 0 ms. */
    static Load of(String payload) {
      int separator = payload.indexOf(':');
      return new Load(
          Long.parseLong(payload.substring(0, separator)),
          Long.parseLong(payload.substring(separator + 1)));
    }
  }

  /**
   * What a worker really does, whatever a scheduler knows of it.
   *
   * @param freeCpu in thousandths of a core
   */
  public record State(long freeCpu, Set<String> tasks) {}

  private static final class Active {
    private final RunRecord.Run run;
    private final Load load;
    private final long startMillis;
    private long stopMillis = Long.MAX_VALUE;

    Active(RunRecord.Run run, Load load, long startMillis) {
      this.run = run;
      this.load = load;
      this.startMillis = startMillis;
    }

    private boolean isOverAt(long millis) {
      return load.millis() > 0 && millis >= startMillis + load.millis();
    }
  }

  private static final long MAX_HOLD_MILLIS = 6_000;
  private static final long MAX_REPORT_WAIT_MILLIS = 2_000;
  private static final int MAX_ENDS = 500;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int MISDIRECTED_REQUEST = 421;

  private final String id;
  private final StoreStandIn store;
  private final RunRecord record;
  private final EventFile events;
  private final Random random;
  private final long born = System.currentTimeMillis();
  private final Map<String, Active> active = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final Map<Long, ArrayNode> ends = new LinkedHashMap<>();
  private long endCount;
  private long highestFencingToken;
  private long leaseEndMillis;
  private volatile boolean isGone;
  private volatile long delayedUntilMillis;

  public WorkerStandIn(
      String id, StoreStandIn store, RunRecord record, EventFile events, long seed) {
    this.id = id;
    this.store = store;
    this.record = record;
    this.events = events;
    this.random = new Random(seed);
  }

  public String id() {
    return id;
  }

  public long born() {
    return born;
  }

  public int listen() throws IOException {
    return LoopbackServer.start(this::handle);
  }

  /** Ends this life of the worker, and everything that runs on it. */
  public synchronized void end() {
    isGone = true;
    active.values().forEach(run -> record.ended(run.run, events.millis(), "worker ended"));
    active.clear();
    notifyAll();
  }

  /** Leaves the orders of some time unanswered, and carries them out seconds later. */
  void delayOrders(long millis) {
    delayedUntilMillis = events.millis() + millis;
  }

  /** Returns what runs on the worker now, also while it is being stopped. */
  public synchronized State state() {
    long used = active.values().stream().mapToLong(run -> run.load.cpu()).sum();
    return new State(CPU - used, Set.copyOf(active.keySet()));
  }

  synchronized boolean isIdle() {
    return active.isEmpty();
  }

  /** Ends the runs that are over, whose lease has expired, or that are stopped. */
  public synchronized void tick(long nowMillis) {
    for (Active run : List.copyOf(active.values())) {
      if (nowMillis > leaseEndMillis) {
        end(run, "lapsed", nowMillis);
      } else if (nowMillis >= run.stopMillis) {
        end(run, "stopped", nowMillis);
      } else if (run.isOverAt(nowMillis)) {
        end(run, "done", nowMillis);
      }
    }
  }

  private void end(Active run, String how, long nowMillis) {
    String task = run.run.task();
    int attempt = run.run.attempt();
    active.remove(task);
    highestEnded.merge(task, attempt, Math::max);
    endCount++;
    ends.put(
        endCount,
        LoopbackServer.MAPPER
            .createArrayNode()
            .add(endCount)
            .add(task)
            .add(attempt)
            .add(how)
            .add(""));
    record.ended(run.run, nowMillis, how);
    events.write(id + " end " + task + " " + attempt + " " + how);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws Exception {
    long receivedMillis = events.millis();
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    if (isGone) {
      exchange.close();
      return;
    }
    String expected = exchange.getRequestHeaders().getFirst("X-Sassafraslink-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      LoopbackServer.respond(exchange, MISDIRECTED_REQUEST, clock());
      return;
    }
    String path = exchange.getRequestURI().getPath();
    JsonNode body = LoopbackServer.MAPPER.readTree(bytes);
    if (receivedMillis < delayedUntilMillis && path.startsWith("/run-")) {
      LoopbackServer.leaveUnanswered(exchange);
      LoopbackServer.TIMERS.schedule(
          () -> applyDelayed(path, body, receivedMillis), delay(), TimeUnit.MILLISECONDS);
      return;
    }
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    String reason = apply(path, body, response, receivedMillis, /* isDelayed= */ false);
    if (!reason.isEmpty()) {
      response.put("reason", reason);
    }
    response.put("clockMs", events.millis()).put("born", born);
    if (!isGone) {
      LoopbackServer.respond(exchange, reason.isEmpty() ? OK : CONFLICT, response);
    }
  }

  private void applyDelayed(String path, JsonNode body, long receivedMillis) {
    try {
      if (!isGone) {
        ObjectNode unsent = LoopbackServer.MAPPER.createObjectNode();
        String reason = apply(path, body, unsent, receivedMillis, /* isDelayed= */ true);
        events.write(id + " carries out late " + path + " " + body.path("task").asText() + reason);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ObjectNode clock() {
    return LoopbackServer.MAPPER
        .createObjectNode()
        .put("clockMs", events.millis())
        .put("born", born);
  }

  private synchronized long delay() {
    return 600L + random.nextInt(4_400);
  }

  /** Carries an order out; returns the reason why it is rejected, or an empty text. */
  private synchronized String apply(
      String path, JsonNode body, ObjectNode response, long receivedMillis, boolean isDelayed)
      throws InterruptedException {
    long token = body.path("fencingToken").asLong();
    if (path.equals("/healthz")) {
      return "";
    }
    if (token < highestFencingToken) {
      events.write(id + " fences " + path + " with " + token + " below " + highestFencingToken);
      return "fence";
    }
    highestFencingToken = token;
    return switch (path) {
      case "/run-start" -> startRun(body, receivedMillis, isDelayed);
      case "/run-stop" -> stopRun(body);
      case "/hold" -> report(body, response);
      default -> "";
    };
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadlineMs")) {
      leaseEndMillis =
          Math.max(
              leaseEndMillis,
              Math.min(body.path("deadlineMs").asLong(), events.millis() + MAX_HOLD_MILLIS));
    }
  }

  private String startRun(JsonNode body, long receivedMillis, boolean isDelayed) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    extendLease(body);
    Active present = active.get(task);
    if (present != null && present.run.attempt() == attempt) {
      return "";
    }
    if (present != null || highestEnded.getOrDefault(task, 0) >= attempt) {
      return "old";
    }
    long nowMillis = events.millis();
    if (body.path("deadlineMs").asLong() <= nowMillis) {
      return "late";
    }
    Load load = Load.of(body.path("spec").asText());
    if (load.cpu() + active.values().stream().mapToLong(run -> run.load.cpu()).sum() > CPU) {
      return "room";
    }
    String sender = store.holderOf(body.path("fencingToken").asLong());
    RunRecord.Run run =
        new RunRecord.Run(task, attempt, id, sender, receivedMillis, nowMillis, isDelayed);
    active.put(task, new Active(run, load, nowMillis));
    record.started(run);
    events.write(id + " start " + task + " " + attempt + " from " + sender);
    return "";
  }

  private String stopRun(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highestEnded.merge(task, attempt, Math::max);
    Active run = active.get(task);
    if (run != null && run.run.attempt() == attempt) {
      run.stopMillis = Math.min(run.stopMillis, events.millis() + 20 + random.nextInt(400));
      events.write(id + " stop " + task + " " + attempt);
    }
    return "";
  }

  private String report(JsonNode body, ObjectNode response) throws InterruptedException {
    extendLease(body);
    long acknowledged = body.path("lastSeen").asLong();
    ends.keySet().removeIf(number -> number <= acknowledged);
    long waitMillis = Math.min(MAX_REPORT_WAIT_MILLIS, body.path("waitMs").asLong());
    long endNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (ends.isEmpty() && !isGone && System.nanoTime() < endNanos) {
      wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
    }
    ArrayNode running = response.putArray("running");
    for (Active run : active.values()) {
      running.add(
          LoopbackServer.MAPPER
              .createArrayNode()
              .add(run.run.task())
              .add(run.run.attempt())
              .add("")
              .add(100)
              .add(1.0));
    }
    ArrayNode finished = response.putArray("finished");
    ends.values().stream().limit(MAX_ENDS).forEach(finished::add);
    return "";
  }
}
