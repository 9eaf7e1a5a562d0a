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
 * Sends requests at a fixed rate, checks that each response belongs to its request, and measures
 * latency.
 *
 * <p>Latency is measured from the planned start of a request, so that it includes the time for
 * which a request waits while slow responses occupy all threads. With {@code --post}, each request
 * has an idempotency key, and is retried at the next target until it is answered, with at most four
 * attempts. With {@code --runs-file}, the outcomes are compared at the end with the run log of the
 * backend stand-in, which shows how often each request ran.
 */
public final class CallerStandIn {
  private static final long MAX_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(60);
  private static final int MAX_ATTEMPTS = 4;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

  /**
   * The outcome of one request over all its attempts.
   *
   * @param answered an attempt received a correct response
   * @param anyAttemptMayHaveRun an attempt failed without a response that says it did not run
   */
  private record RequestOutcome(boolean answered, boolean anyAttemptMayHaveRun) {}

  private final ImmutableList<String> targetUrls;
  private final String path;
  private final String teamKey;
  private final boolean usesPost;
  private final OkHttpClient httpClient;
  private final Histogram latencyMicros = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  private final ConcurrentMap<String, AtomicLong> attemptOutcomes = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, RequestOutcome> requestOutcomes = new ConcurrentHashMap<>();
  private final AtomicLong requestCounter = new AtomicLong();
  private final String tokenPrefix = "t" + System.nanoTime() + "-";

  private CallerStandIn(
      ImmutableList<String> targetUrls,
      String path,
      String teamKey,
      boolean usesPost,
      int threads) {
    this.targetUrls = targetUrls;
    this.path = path;
    this.teamKey = teamKey;
    this.usesPost = usesPost;
    this.httpClient =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(CALL_TIMEOUT)
            .readTimeout(CALL_TIMEOUT)
            .connectionPool(new ConnectionPool(threads, 1, TimeUnit.MINUTES))
            .build();
  }

  /**
   * Sends requests for {@code --warm-up} and then for {@code --seconds}, and prints a summary as
   * JSON on one line. The requests of the warm-up are left out of the counts of outcomes and of the
   * latency, but are compared with the run log.
   */
  public static void main(String[] args) throws InterruptedException, IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> targetOption =
        parser.accepts("target").withRequiredArg().withValuesSeparatedBy(',').required();
    OptionSpec<String> pathOption = parser.accepts("path").withRequiredArg().required();
    OptionSpec<String> keyOption = parser.accepts("key").withRequiredArg().defaultsTo("");
    OptionSpec<Integer> threadsOption =
        parser.accepts("threads").withRequiredArg().ofType(Integer.class).defaultsTo(16);
    OptionSpec<Integer> rateOption =
        parser
            .accepts("rate", "requests per second")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(100);
    OptionSpec<Integer> secondsOption =
        parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    OptionSpec<Integer> warmUpOption =
        parser.accepts("warm-up").withRequiredArg().ofType(Integer.class).defaultsTo(0);
    OptionSpec<String> runsFileOption =
        parser
            .accepts("runs-file", "run log of the backend stand-in, compared with the outcomes")
            .withRequiredArg();
    parser.accepts("post");
    OptionSet options = parser.parse(args);
    CallerStandIn caller =
        new CallerStandIn(
            ImmutableList.copyOf(options.valuesOf(targetOption)),
            options.valueOf(pathOption),
            options.valueOf(keyOption),
            options.has("post"),
            options.valueOf(threadsOption));
    if (options.valueOf(warmUpOption) > 0) {
      caller.sendRequestsAtRate(
          options.valueOf(threadsOption),
          options.valueOf(rateOption),
          options.valueOf(warmUpOption));
      caller.latencyMicros.reset();
      caller.attemptOutcomes.clear();
    }
    caller.sendRequestsAtRate(
        options.valueOf(threadsOption),
        options.valueOf(rateOption),
        options.valueOf(secondsOption));
    System.out.println(Json.write(caller.summarize(options.valueOf(runsFileOption))));
  }

  private void sendRequestsAtRate(int threads, int requestsPerSecond, int seconds)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    long requestCount = (long) requestsPerSecond * seconds;
    AtomicLong nextIndex = new AtomicLong();
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < threads; i++) {
      Thread sender =
          new Thread(
              () -> {
                for (long index = nextIndex.getAndIncrement();
                    index < requestCount;
                    index = nextIndex.getAndIncrement()) {
                  long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(index) / requestsPerSecond;
                  LockSupport.parkNanos(dueNanos - System.nanoTime());
                  sendWithRetries(dueNanos);
                }
              });
      sender.start();
      senders.add(sender);
    }
    for (Thread sender : senders) {
      sender.join();
    }
  }

  /** Sends one request, with retries in {@code --post} mode, and records outcome and latency. */
  private void sendWithRetries(long dueNanos) {
    long requestNumber = requestCounter.getAndIncrement();
    String token = tokenPrefix + requestNumber;
    boolean answered = false;
    boolean anyAttemptMayHaveRun = false;
    for (int attempt = 0; attempt < (usesPost ? MAX_ATTEMPTS : 1) && !answered; attempt++) {
      String outcome =
          sendAttempt(targetUrls.get((int) ((requestNumber + attempt) % targetUrls.size())), token);
      attemptOutcomes.computeIfAbsent(outcome, name -> new AtomicLong()).incrementAndGet();
      answered = outcome.equals("answered");
      anyAttemptMayHaveRun |= !answered && !outcome.endsWith("(not run)");
    }
    requestOutcomes.put(token, new RequestOutcome(answered, anyAttemptMayHaveRun));
    long elapsedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
    latencyMicros.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, elapsedMicros)));
  }

  /**
   * Sends one attempt and returns its outcome: {@code answered}, {@code WRONG ANSWER} for a
   * response to another request or body, the failure type of an error response, or the connection
   * error.
   */
  private String sendAttempt(String targetUrl, String token) {
    String body = usesPost ? "body of " + token : "";
    String separator = path.contains("?") ? "&" : "?";
    String query = separator + "n=" + token + (usesPost ? "&token=" + token : "");
    Request.Builder request = new Request.Builder().url(targetUrl + path + query);
    if (!teamKey.isEmpty()) {
      request.header("Sassafras-Key", teamKey);
    }
    if (usesPost) {
      request.header("Idempotency-Key", token).post(RequestBody.create(body, null));
    }
    try (Response response = httpClient.newCall(request.build()).execute()) {
      String responseBody = response.body().string();
      if (response.code() == 200) {
        // The backend stand-in returns the path with its query. The character after the token is
        // compared too, because one token can be the prefix of another.
        boolean echoesToken =
            responseBody.contains("n=" + token + "\"") || responseBody.contains("n=" + token + "&");
        return echoesToken && responseBody.contains(Digests.of(body)) ? "answered" : "WRONG ANSWER";
      }
      String failureType = responseBody.replaceAll(".*failure:([a-z-]+).*", "$1");
      return responseBody.contains("\"notRun\":true") ? failureType + " (not run)" : failureType;
    } catch (IOException e) {
      return "connection " + e.getClass().getSimpleName();
    }
  }

  private Map<String, Object> summarize(String runsFile) throws IOException {
    Map<String, Object> summary = new LinkedHashMap<>();
    Map<String, Long> outcomeCounts = new TreeMap<>();
    attemptOutcomes.forEach((name, count) -> outcomeCounts.put(name, count.get()));
    summary.put("outcomes", outcomeCounts);
    summary.put("p50Micros", latencyMicros.getValueAtPercentile(50));
    summary.put("p99Micros", latencyMicros.getValueAtPercentile(99));
    summary.put("maxMicros", latencyMicros.getMaxValue());
    if (runsFile != null) {
      summary.putAll(countContradictions(RunLog.countRuns(Path.of(runsFile))));
    }
    return summary;
  }

  /**
   * Counts requests whose runs contradict their outcome: those that ran more than once, those that
   * ran although each response said that they did not, and those that were answered but never ran.
   */
  private ImmutableMap<String, Long> countContradictions(Map<String, Long> runsByToken) {
    long ranTwice = 0;
    long falseNotRun = 0;
    long answeredNeverRun = 0;
    for (Map.Entry<String, RequestOutcome> entry : requestOutcomes.entrySet()) {
      long runs = runsByToken.getOrDefault(entry.getKey(), 0L);
      ranTwice += runs > 1 ? 1 : 0;
      falseNotRun +=
          !entry.getValue().answered() && !entry.getValue().anyAttemptMayHaveRun() && runs > 0
              ? 1
              : 0;
      answeredNeverRun += entry.getValue().answered() && runs == 0 ? 1 : 0;
    }
    return ImmutableMap.of(
        "ranTwice", ranTwice, "falseNotRun", falseNotRun, "answeredNeverRun", answeredNeverRun);
  }
}
