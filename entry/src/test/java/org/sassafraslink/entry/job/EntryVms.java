package org.sassafraslink.entry.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.process.ConfigWatcher;
import org.sassafraslink.entry.request.CallerRequest;
import org.sassafraslink.entry.request.CallerResponse;
import org.sassafraslink.entry.request.JobRequestHandler;
import org.sassafraslink.entry.request.StoreHealth;
import org.sassafraslink.entry.request.SubmissionWriter;
import org.sassafraslink.scheduler.ResponseTrackingRowStore;

/** The request handlers of several entry VMs, with one store and one simulated clock. */
final class EntryVms {
  private static final String CONFIG =
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
          + "\"service\":\"s\",\"auth\":\"open\"}],\"services\":[{\"name\":\"s\"}],"
          + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"weight\":1}]}";

  static final String BODY =
      "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimatedMs\":700}]}";

  /** How long callers wait for a response, in ms. */
  static final int WAIT_MILLIS = 3_000;

  final LateRowStore store = new LateRowStore();

  /** Receives the events of the handlers of job requests. */
  EventLog.Observer eventObserver = (event, fields) -> {};

  private final List<JobRequestHandler> handlers = new ArrayList<>();
  private final Queue<Timer> timers =
      new PriorityQueue<>((a, b) -> Long.compare(a.millis(), b.millis()));
  private long nowMillis = 10_000;

  private final Set<Integer> ended = new HashSet<>();
  private final ConfigWatcher configWatcher;

  private record Timer(long millis, Runnable task) {}

  private final class SimulatedClock implements FleetClock {
    @Override
    public long monotonicMillis() {
      return nowMillis;
    }

    @Override
    public long wallMillis() {
      return nowMillis;
    }
  }

  private static final class HealthyStore implements StoreHealth {
    @Override
    public boolean isOutageLikely() {
      return false;
    }

    @Override
    public long outageMillis() {
      return 0;
    }
  }

  private EntryVms(int count) {
    store.put(new RowKey("op", "", "config"), CONFIG);
    configWatcher = createConfigWatcher();
    for (int i = 0; i < count; i++) {
      handlers.add(createHandler(i));
    }
  }

  static EntryVms start(int count) {
    return new EntryVms(count);
  }

  FleetClock clock() {
    return new SimulatedClock();
  }

  FleetSettings settings() {
    return configWatcher.newestConfig().orElseThrow();
  }

  void runAfter(long millis, Runnable task) {
    timers.add(new Timer(nowMillis + millis, task));
  }

  /** Ends the process of an entry VM: it sends no call and no response any more. */
  void end(int vm) {
    ended.add(vm);
  }

  private ConfigWatcher createConfigWatcher() {
    FleetClock clock = clock();
    ConfigWatcher watcher =
        ConfigWatcher.create(
            new ResponseTrackingRowStore(store, clock),
            clock,
            EventLog.silent(),
            (task, millis) -> {},
            Optional.empty(),
            settings -> {},
            waves -> {},
            evacuations -> {});
    watcher.start();
    return watcher;
  }

  private JobRequestHandler createHandler(int vm) {
    FleetClock clock = clock();
    SubmissionWriter writer =
        SubmissionWriter.create(
            store,
            clock,
            EventLog.silent(),
            (task, millis) ->
                runAfter(
                    millis,
                    () -> {
                      if (!ended.contains(vm)) {
                        task.run();
                      }
                    }),
            new HealthyStore(),
            id -> {});
    return JobRequestHandler.create(
        configWatcher,
        store,
        writer,
        new HealthyStore(),
        clock,
        EventLog.silent().withObserver((event, fields) -> eventObserver.onEvent(event, fields)));
  }

  /** Runs the timers of the next {@code millis} ms. */
  void runFor(long millis) {
    long endMillis = nowMillis + millis;
    while (!timers.isEmpty() && timers.peek().millis() <= endMillis) {
      Timer timer = timers.poll();
      nowMillis = Math.max(nowMillis, timer.millis());
      timer.task().run();
    }
    nowMillis = endMillis;
  }

  /** A request, whose response arrives later or never. */
  static final class Call {
    private Optional<CallerResponse> response = Optional.empty();

    /** Returns the status of the response, or 0 if there is none yet. */
    int status() {
      return response.map(CallerResponse::status).orElse(0);
    }

    String body() {
      return response.map(CallerResponse::body).orElse("");
    }
  }

  Call submit(int vm, String jobId) {
    return send(vm, "POST", jobId, BODY);
  }

  Call submit(int vm, String jobId, String body) {
    return send(vm, "POST", jobId, body);
  }

  Call cancel(int vm, String jobId) {
    return send(vm, "DELETE", jobId, "");
  }

  Call state(int vm, String jobId) {
    return send(vm, "GET", jobId, "");
  }

  private Call send(int vm, String method, String jobId, String body) {
    Call call = new Call();
    handlers
        .get(vm)
        .handleRequest(
            new CallerRequest(method, "h", "/p/" + jobId, "k", body, nowMillis + WAIT_MILLIS),
            response -> {
              if (!ended.contains(vm)) {
                call.response = Optional.of(response);
              }
            });
    return call;
  }
}
