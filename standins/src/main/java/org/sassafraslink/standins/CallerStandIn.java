package org.sassafraslink.standins;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sassafraslink.api.Digests;
import org.sassafraslink.api.Json;

/**
 * A caller that checks every answer against its own request, and measures.
 *
 * <p>Requests start at a fixed rate, and latency counts from the planned start, so that a slow
 * answer is not hidden by the requests it held up. In {@code post} mode each request has an id and
 * is repeated at the next target until it is answered; afterwards the runs counted by the backend
 * stand-in are compared with what the caller was told.
 */
public final class CallerStandIn {
  private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);
  private static final int MAX_REPEATS = 4;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** What the caller was told of one request id, over all its repetitions. */
  private record Told(boolean answered, boolean everUnknown) {}

  private final ImmutableList<String> targets;
  private final String path;
  private final String key;
  private final boolean post;
  private final OkHttpClient client;
  private final Histogram latency = new ConcurrentHistogram(MAX_MICROS, 3);
  private final ConcurrentMap<String, AtomicLong> outcomes = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, Told> told = new ConcurrentHashMap<>();
  private final AtomicLong serial = new AtomicLong();
  private final String prefix = "t" + System.nanoTime() + "-";

  private CallerStandIn(
      ImmutableList<String> targets, String path, String key, boolean post, int threads) {
    this.targets = targets;
    this.path = path;
    this.key = key;
    this.post = post;
    this.client =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(TIMEOUT)
            .readTimeout(TIMEOUT)
            .connectionPool(new ConnectionPool(threads, 1, TimeUnit.MINUTES))
            .build();
  }

  /** Runs for {@code --seconds} and prints a summary as JSON; {@code --help} lists the flags. */
  public static void main(String[] args) throws InterruptedException, IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> target =
        parser.accepts("target").withRequiredArg().withValuesSeparatedBy(',').required();
    OptionSpec<String> path = parser.accepts("path").withRequiredArg().required();
    OptionSpec<String> key = parser.accepts("key").withRequiredArg().defaultsTo("");
    OptionSpec<Integer> threads =
        parser.accepts("threads").withRequiredArg().ofType(Integer.class).defaultsTo(16);
    OptionSpec<Integer> rate =
        parser
            .accepts("rate", "per second")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(100);
    OptionSpec<Integer> seconds =
        parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    OptionSpec<Integer> warmUp =
        parser.accepts("warm-up").withRequiredArg().ofType(Integer.class).defaultsTo(0);
    OptionSpec<String> runs =
        parser.accepts("runs-file", "of the backend stand-in").withRequiredArg();
    parser.accepts("post");
    OptionSet options = parser.parse(args);
    CallerStandIn caller =
        new CallerStandIn(
            ImmutableList.copyOf(options.valuesOf(target)),
            options.valueOf(path),
            options.valueOf(key),
            options.has("post"),
            options.valueOf(threads));
    if (options.valueOf(warmUp) > 0) {
      caller.run(options.valueOf(threads), options.valueOf(rate), options.valueOf(warmUp));
      caller.latency.reset();
      caller.outcomes.clear();
    }
    caller.run(options.valueOf(threads), options.valueOf(rate), options.valueOf(seconds));
    System.out.println(Json.write(caller.summary(options.valueOf(runs))));
  }

  private void run(int threads, int rate, int seconds) throws InterruptedException {
    long startNanos = System.nanoTime();
    long count = (long) rate * seconds;
    AtomicLong next = new AtomicLong();
    List<Thread> workers = new ArrayList<>();
    for (int i = 0; i < threads; i++) {
      Thread worker =
          new Thread(
              () -> {
                for (long n = next.getAndIncrement(); n < count; n = next.getAndIncrement()) {
                  long due = startNanos + TimeUnit.SECONDS.toNanos(n) / rate;
                  LockSupport.parkNanos(due - System.nanoTime());
                  one(due);
                }
              });
      worker.start();
      workers.add(worker);
    }
    for (Thread worker : workers) {
      worker.join();
    }
  }

  private void one(long dueNanos) {
    long n = serial.getAndIncrement();
    String token = prefix + n;
    boolean answered = false;
    boolean everUnknown = false;
    for (int repeat = 0; repeat < (post ? MAX_REPEATS : 1) && !answered; repeat++) {
      String outcome = send(targets.get((int) ((n + repeat) % targets.size())), token);
      outcomes.computeIfAbsent(outcome, name -> new AtomicLong()).incrementAndGet();
      answered = outcome.equals("answered");
      everUnknown |= !answered && !outcome.endsWith("(not run)");
    }
    told.put(token, new Told(answered, everUnknown));
    long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
    latency.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  private String send(String target, String token) {
    String body = post ? "body of " + token : "";
    String separator = path.contains("?") ? "&" : "?";
    String query = separator + "n=" + token + (post ? "&token=" + token : "");
    Request.Builder request = new Request.Builder().url(target + path + query);
    if (!key.isEmpty()) {
      request.header("Sassafras-Key", key);
    }
    if (post) {
      request.header("Idempotency-Key", token).post(RequestBody.create(body, null));
    }
    try (Response response = client.newCall(request.build()).execute()) {
      String text = response.body().string();
      if (response.code() == 200) {
        boolean isMine = text.contains("n=" + token + "\"") || text.contains("n=" + token + "&");
        return isMine && text.contains(Digests.of(body)) ? "answered" : "WRONG ANSWER";
      }
      String type = text.replaceAll(".*failure:([a-z-]+).*", "$1");
      return text.contains("\"notRun\":true") ? type + " (not run)" : type;
    } catch (IOException e) {
      return "connection " + e.getClass().getSimpleName();
    }
  }

  private Map<String, Object> summary(String runsFile) throws IOException {
    Map<String, Object> summary = new LinkedHashMap<>();
    Map<String, Long> counts = new TreeMap<>();
    outcomes.forEach((name, count) -> counts.put(name, count.get()));
    summary.put("outcomes", counts);
    summary.put("p50Micros", latency.getValueAtPercentile(50));
    summary.put("p99Micros", latency.getValueAtPercentile(99));
    summary.put("maxMicros", latency.getMaxValue());
    if (runsFile != null) {
      summary.putAll(compareRuns(RunLog.counts(Path.of(runsFile))));
    }
    return summary;
  }

  private ImmutableMap<String, Long> compareRuns(Map<String, Long> runs) {
    long twice = 0;
    long falseNotRun = 0;
    long answeredNeverRun = 0;
    for (Map.Entry<String, Told> entry : told.entrySet()) {
      long ran = runs.getOrDefault(entry.getKey(), 0L);
      twice += ran > 1 ? 1 : 0;
      falseNotRun +=
          !entry.getValue().answered() && !entry.getValue().everUnknown() && ran > 0 ? 1 : 0;
      answeredNeverRun += entry.getValue().answered() && ran == 0 ? 1 : 0;
    }
    return ImmutableMap.of(
        "ranTwice", twice, "falseNotRun", falseNotRun, "answeredNeverRun", answeredNeverRun);
  }
}
