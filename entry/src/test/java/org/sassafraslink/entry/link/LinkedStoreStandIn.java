package org.sassafraslink.entry.link;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates the platform's store behind a link of a given rate, which all responses share. It has a
 * configuration that the test replaces, and acknowledges every transaction.
 */
final class LinkedStoreStandIn {
  /** What happens to one response about the configuration. */
  record Fault(Kind kind, double atFraction) {
    /** What happens. */
    enum Kind {
      /** The connection closes. */
      CUT,
      /** Nothing more arrives, and the connection stays open. */
      SILENT
    }
  }

  /** The smallest response to which a {@link Fault} applies, in bytes. */
  private static final int MIN_FAULTY_BYTES = 10_000;

  private static final int PIECE_BYTES = 4_096;
  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** The queue to which {@code EntryProcess} submits jobs. */
  private static final String OPEN_QUEUE =
      "{\"name\":\"q\",\"host\":\"q.example\",\"pathPrefix\":\"/q/\",\"service\":\"s\",\"public\":true,"
          + "\"maxAttempts\":3}";

  private static final Pattern WAIT_MILLIS = Pattern.compile("waitMs=(\\d+)");
  private static final Pattern AFTER = Pattern.compile("after=(\\d+)");

  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Link link;
  private final Deque<Fault> faults = new ArrayDeque<>();
  private final Map<Long, Long> acknowledgedNanosByVersion = new ConcurrentHashMap<>();
  private final Map<Fault, Long> appliedNanosByFault = new ConcurrentHashMap<>();

  /** The value of the row with the configuration. */
  private String configValue = "";

  private long version;
  private long discardedVersion;

  /** A link that carries bytes at a fixed rate, in the order in which they are sent. */
  private static final class Link {
    private final double bytesPerSecond;
    private long freeNanos = System.nanoTime();

    Link(double bytesPerSecond) {
      this.bytesPerSecond = bytesPerSecond;
    }

    /** Waits until the link has carried a piece. */
    void carry(int bytes) throws InterruptedException {
      long carriedNanos;
      synchronized (this) {
        freeNanos =
            Math.max(freeNanos, System.nanoTime())
                + (long) (bytes * NANOS_PER_SECOND / bytesPerSecond);
        carriedNanos = freeNanos;
      }
      long waitNanos = carriedNanos - System.nanoTime();
      if (waitNanos > 0) {
        Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
      }
    }
  }

  private LinkedStoreStandIn(HttpServer server, double bytesPerSecond) {
    this.server = server;
    this.link = new Link(bytesPerSecond);
  }

  /** Starts a store on a free port of the loopback address. */
  static LinkedStoreStandIn start(double bytesPerSecond) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    LinkedStoreStandIn store = new LinkedStoreStandIn(server, bytesPerSecond);
    server.createContext("/", store::handle);
    server.setExecutor(store.executor);
    server.start();
    return store;
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /**
   * Replaces the configuration, which counts as acknowledged when this method returns.
   *
   * @param minBytes the size of a response with the configuration, at least
   */
  synchronized void publish(long newVersion, int minBytes) {
    // Encoded once, so that the time of each other response does not depend on the size.
    configValue =
        Base64.getEncoder()
            .encodeToString(configOfSize(newVersion, minBytes).getBytes(StandardCharsets.UTF_8));
    version = newVersion;
    acknowledgedNanosByVersion.put(newVersion, System.nanoTime());
    notifyAll();
  }

  /** Forgets which changes led to the present state, so that readers have to read all rows. */
  synchronized void discardHistory() {
    discardedVersion = version;
  }

  /** Lets the next large response about the configuration fail, after those that already shall. */
  synchronized void addFault(Fault fault) {
    faults.add(fault);
  }

  /** Lets no further response fail. */
  synchronized void clearFaults() {
    faults.clear();
  }

  /** Returns when the fault was applied, as of {@link System#nanoTime}. */
  long appliedNanos(Fault fault) {
    return appliedNanosByFault.get(fault);
  }

  long acknowledgedNanos(long ofVersion) {
    return acknowledgedNanosByVersion.get(ofVersion);
  }

  private static String configOfSize(long version, int minBytes) {
    StringBuilder text = new StringBuilder("{\"version\":").append(version);
    text.append(",\"routes\":[").append(OPEN_QUEUE);
    for (int i = 0; text.length() * 4L / 3 < minBytes; i++) {
      text.append(",{\"name\":\"r-")
          .append(i)
          .append("\",\"host\":\"pule25.example\",\"pathPrefix\":\"/puxa")
          .append(i)
          .append("/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3006,\"targetLatencyMs\":601,")
          .append("\"priority\":0,\"service\":\"s\",\"maxAttempts\":3,\"slackFactor\":1.6,")
          .append("\"public\":false}");
    }
    return text.append("],\"services\":[{\"name\":\"s\"}],\"tenants\":[]}").toString();
  }

  private void handle(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().transferTo(OutputStream.nullOutputStream());
    String path = exchange.getRequestURI().getPath();
    String query = String.valueOf(exchange.getRequestURI().getQuery());
    try {
      boolean isChangeRead = path.equals("/rows-feed");
      long after = isChangeRead ? number(AFTER, query) : -1;
      boolean isAboutConfig = query.contains("table=op&");
      if (isChangeRead) {
        // Only the configuration changes.
        awaitChange(isAboutConfig ? after : Long.MAX_VALUE, number(WAIT_MILLIS, query));
      }
      boolean hasConfig = isAboutConfig && (!isChangeRead || hasChanged(after));
      respond(exchange, isAboutConfig && isChangeRead && isDiscarded(after), hasConfig);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static long number(Pattern pattern, String query) {
    Matcher matcher = pattern.matcher(query);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  private synchronized boolean isDiscarded(long after) {
    return after >= 0 && after < discardedVersion;
  }

  private synchronized boolean hasChanged(long after) {
    return version > after;
  }

  private synchronized void awaitChange(long after, long waitMillis) throws InterruptedException {
    long endNanos = System.nanoTime() + waitMillis * 1_000_000;
    long remainingMillis = waitMillis;
    while (!hasChanged(after) && remainingMillis > 0) {
      wait(remainingMillis);
      remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
    }
  }

  private void respond(HttpExchange exchange, boolean isDiscarded, boolean hasConfig)
      throws IOException, InterruptedException {
    byte[] body;
    Fault fault;
    synchronized (this) {
      String rows =
          hasConfig
              ? "[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"schemaVersion\":"
                  + version
                  + ",\"value\":\""
                  + configValue
                  + "\"}]"
              : "[]";
      body =
          ("{\"schemaVersion\":" + version + ",\"nowMs\":1,\"rows\":" + rows + ",\"machines\":[]}")
              .getBytes(StandardCharsets.UTF_8);
      fault = body.length < MIN_FAULTY_BYTES || isDiscarded ? null : faults.poll();
    }
    if (isDiscarded) {
      exchange.sendResponseHeaders(STATUS_GONE, -1);
      return;
    }
    send(exchange, body, fault);
  }

  private void send(HttpExchange exchange, byte[] body, Fault fault)
      throws IOException, InterruptedException {
    int end = fault == null ? body.length : (int) (body.length * fault.atFraction());
    if (end > 0 || fault == null) {
      exchange.sendResponseHeaders(STATUS_OK, body.length);
    }
    for (int start = 0; start < end; start += PIECE_BYTES) {
      int length = Math.min(PIECE_BYTES, end - start);
      link.carry(length);
      exchange.getResponseBody().write(body, start, length);
      exchange.getResponseBody().flush();
    }
    if (fault != null) {
      appliedNanosByFault.put(fault, System.nanoTime());
      if (fault.kind() == Fault.Kind.SILENT) {
        // Ends when the store stops.
        Thread.sleep(Long.MAX_VALUE);
      }
    }
  }

  void stop() {
    executor.shutdownNow();
    server.stop(0);
  }
}
