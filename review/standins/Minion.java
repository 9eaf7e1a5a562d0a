import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates one minion with 16 cores. Arguments: id, machine, address, service, address of the
 * platform, record file, rack, address in its entry.
 *
 * <p>The {@code spec} of a task says what it does: {@code lasting} runs until it is stopped, {@code
 * work MILLIS} ends as done, {@code fail MILLIS} ends as failed. With {@code ticket} as its last word,
 * the task needs a ticket for this minion. {@code gang COUNT MILLIS} works only while all tasks of its
 * step are present in the same run, with the same checkpoint, and saves its progress.
 */
public final class Minion {
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STOP_MILLIS = 200;
  private static final long STARTUP_MILLIS = 500;
  private static final long GANG_TIMEOUT_MILLIS = 3_000;
  private static final long CHECKPOINT_MILLIS = 500;
  private static final int CPU = 16_000;
  private static final int MEMORY_MB = 32_768;

  private static final class Run {
    final String task;
    final int attempt;
    final String spec;
    final long startMillis;
    final String checkpoint;
    long stopMillis = Long.MAX_VALUE;

    /** When the gang began to work, or 0. */
    long gangBeginMillis;

    Run(String task, int attempt, String spec, String checkpoint, long startMillis) {
      this.task = task;
      this.attempt = attempt;
      this.spec = spec;
      this.checkpoint = checkpoint;
      this.startMillis = startMillis;
    }

    boolean isGang() {
      return spec.startsWith("gang ");
    }

    /** Returns the number of checkpoints since the beginning of the work of the gang. */
    long checkpointsAt(long nowMillis) {
      long resumed = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint);
      return resumed
          + (gangBeginMillis == 0 ? 0 : (nowMillis - gangBeginMillis) / CHECKPOINT_MILLIS);
    }

    /** Returns the checkpoint to report; empty if there is none. */
    String savedAt(long nowMillis) {
      return isGang() && checkpointsAt(nowMillis) > 0 ? "" + checkpointsAt(nowMillis) : "";
    }

    /** Returns how the run ends, or null if it goes on. */
    String endAt(long nowMillis) {
      if (nowMillis >= stopMillis) {
        return "stopped";
      }
      if (isGang()) {
        return null;
      }
      String[] words = spec.split(" ");
      boolean isOver = !words[0].equals("lasting") && nowMillis - startMillis >= Long.parseLong(words[1]);
      return isOver ? (words[0].equals("fail") ? "failed" : "done") : null;
    }
  }

  private record End(long number, String task, int attempt, String how, String saved) {}

  private final String id;
  private final String machine;
  private final String address;
  private final String service;
  private final String platform;
  private final Path record;
  private final String rack;
  private final String entryAddress;
  private final long born = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long endCount;
  private long fencingToken;
  private long leaseEndMillis;
  private long sequence;

  private Minion(String[] args) {
    id = args[0];
    machine = args[1];
    address = args[2];
    service = args[3];
    platform = args[4];
    record = Path.of(args[5]);
    rack = args[6];
    entryAddress = args[7];
  }

  public static void main(String[] args) throws Exception {
    Minion minion = new Minion(args);
    // Prepares the client, so that the first heartbeat follows at once when the minion listens.
    Http.call("GET", "http://" + minion.platform + "/machines", null, Map.of());
    Http.serve(minion.address, minion::handle);
    Http.record(minion.record, minion.id + " up born " + minion.born);
    long nextHeartbeat = 0;
    while (true) {
      if (System.nanoTime() / 1_000_000 >= nextHeartbeat) {
        nextHeartbeat = System.nanoTime() / 1_000_000 + HEARTBEAT_MILLIS;
        minion.sendHeartbeat();
      }
      minion.endRuns();
      Thread.sleep(10);
    }
  }

  private long clockMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void sendHeartbeat() {
    ObjectNode entry =
        Http.object()
            .put("service", service)
            .put("address", entryAddress)
            .put("zone", "temeke")
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("coldRemainingMs", 0)
            .put("machine", machine)
            .put("born", born)
            .put("clockMs", clockMillis())
            .put("sequence", sequence++);
    entry.putObject("capacity").put("cpu", CPU).put("memMb", MEMORY_MB).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    ObjectNode body = Http.object().put("key", id);
    body.set("value", entry);
    Http.call("POST", "http://" + platform + "/internal/heartbeat", body, Map.of());
  }

  private Http.Reply handle(HttpExchange exchange, JsonNode body) throws Exception {
    String expected =
        exchange.getRequestHeaders().getFirst("X-Sassafraslink-Expected-Instance");
    if (expected != null && !expected.equals(id)) {
      return Http.reply(421, stamped());
    }
    return switch (exchange.getRequestURI().getPath()) {
      case "/run-start" -> start(body);
      case "/run-stop" -> stop(body);
      case "/hold" -> hold(body);
      case "/pace" -> Http.reply(200, stamped());
      default -> Http.reply(200, stamped());
    };
  }

  private ObjectNode stamped() {
    return Http.object().put("clockMs", clockMillis()).put("born", born);
  }

  private Http.Reply rejected(String reason) {
    return Http.reply(409, stamped().put("reason", reason));
  }

  private boolean isFenced(JsonNode body) {
    long token = body.path("fencingToken").asLong();
    if (token < fencingToken) {
      return true;
    }
    fencingToken = token;
    return false;
  }

  /** A lease never shortens, and is shortened to the longest allowed one. */
  private void extendLease(long deadlineMillis) {
    leaseEndMillis =
        Math.max(leaseEndMillis, Math.min(deadlineMillis, clockMillis() + MAX_LEASE_MILLIS));
  }

  private synchronized Http.Reply start(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    if (isFenced(body)) {
      return rejected("fence");
    }
    Run present = runs.get(task);
    if (present != null && present.attempt == attempt) {
      extendLease(body.path("deadlineMs").asLong());
      return Http.reply(200, stamped());
    }
    if (body.path("deadlineMs").asLong() <= clockMillis()) {
      return rejected("late");
    }
    extendLease(body.path("deadlineMs").asLong());
    String spec = body.path("spec").asText();
    if (spec.endsWith(" ticket") && !body.path("ticket").asText().startsWith("ticket-" + id)) {
      return rejected("ticket");
    }
    if (present != null || attempt <= highestEnded.getOrDefault(task, 0)) {
      return rejected("old");
    }
    runs.put(task, new Run(task, attempt, spec, body.path("checkpoint").asText(), clockMillis()));
    Http.record(
        record,
        id
            + " run-start "
            + task
            + " attempt "
            + attempt
            + (body.has("checkpoint") ? " checkpoint " + body.path("checkpoint").asText() : "")
            + " deadlineMs "
            + body.path("deadlineMs").asLong()
            + " clockMs "
            + clockMillis());
    notifyAll();
    return Http.reply(200, stamped());
  }

  private synchronized Http.Reply stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    if (isFenced(body)) {
      return rejected("fence");
    }
    Run run = runs.get(task);
    Http.record(record, id + " run-stop " + task + " attempt " + attempt);
    highestEnded.merge(task, attempt, Math::max);
    if (run != null && run.attempt <= attempt) {
      run.stopMillis = Math.min(run.stopMillis, clockMillis() + STOP_MILLIS);
    }
    return Http.reply(200, stamped());
  }

  private synchronized Http.Reply hold(JsonNode body) throws InterruptedException {
    if (isFenced(body)) {
      return rejected("fence");
    }
    if (body.has("deadlineMs")) {
      extendLease(body.path("deadlineMs").asLong());
    }
    long lastSeen = body.path("lastSeen").asLong();
    ends.removeIf(end -> end.number <= lastSeen);
    long untilMillis = clockMillis() + body.path("waitMs").asLong();
    long knownEnds = endCount;
    while (endCount == knownEnds && ends.isEmpty() && clockMillis() < untilMillis) {
      wait(Math.max(1, untilMillis - clockMillis()));
    }
    ObjectNode answer = stamped();
    ArrayNode running = answer.putArray("running");
    for (Run run : runs.values()) {
      boolean isAtWork = clockMillis() - run.startMillis >= STARTUP_MILLIS;
      running.addArray().add(run.task).add(run.attempt).add(run.savedAt(clockMillis())).add(isAtWork ? 100 : 0).add(0);
    }
    ArrayNode finished = answer.putArray("finished");
    for (End end : ends) {
      finished.addArray().add(end.number).add(end.task).add(end.attempt).add(end.how).add(end.saved);
    }
    return Http.reply(200, answer);
  }

  private synchronized void endRuns() {
    boolean isLapsed = clockMillis() > leaseEndMillis;
    for (Run run : new ArrayList<>(runs.values())) {
      String how = isLapsed ? "lapsed" : run.endAt(clockMillis());
      if (how == null && run.isGang()) {
        how = gangEnd(run);
      }
      if (how != null) {
        runs.remove(run.task);
        highestEnded.merge(run.task, run.attempt, Math::max);
        endCount++;
        ends.add(new End(endCount, run.task, run.attempt, how, run.savedAt(clockMillis())));
        Http.record(record, id + " run-end " + run.task + " attempt " + run.attempt + " " + how);
        notifyAll();
      }
    }
  }

  /** Reports the presence of a member of a gang; returns how its run ends, or null. */
  private String gangEnd(Run run) {
    String[] words = run.spec.split(" ");
    String step = run.task.substring(0, run.task.lastIndexOf('.'));
    boolean isOver =
        run.gangBeginMillis > 0
            && run.checkpointsAt(clockMillis()) * CHECKPOINT_MILLIS >= Long.parseLong(words[2]);
    ObjectNode body =
        Http.object()
            .put("gang", step + " " + run.attempt + " " + run.checkpoint)
            .put("member", run.task)
            .put("done", isOver);
    JsonNode gang =
        Http.call("POST", "http://" + platform + "/internal/gang", body, Map.of()).body();
    if (gang.path("done").asBoolean()) {
      return "done";
    }
    boolean isComplete = gang.path("present").asInt() == Integer.parseInt(words[1]);
    if (run.gangBeginMillis > 0) {
      return isComplete ? null : "broken";
    }
    if (isComplete) {
      run.gangBeginMillis = clockMillis();
    }
    return !isComplete && clockMillis() - run.startMillis >= GANG_TIMEOUT_MILLIS ? "alone" : null;
  }
}
