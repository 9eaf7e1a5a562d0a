package org.sassafraslink.entry.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.sassafraslink.api.fleet.AdviceClient;
import org.sassafraslink.api.fleet.NodeSettings;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.entry.connection.CallerLimits;
import org.sassafraslink.entry.connection.CallerServer;
import org.sassafraslink.entry.connection.StatusServer;
import org.sassafraslink.entry.request.JobRequestHandler;
import org.sassafraslink.entry.request.StoreHealth;
import org.sassafraslink.entry.request.SubmissionWriter;
import org.sassafraslink.platform.fleet.AsyncHttpClient;
import org.sassafraslink.platform.fleet.HttpAdviceClient;
import org.sassafraslink.platform.fleet.HttpRowStore;
import org.sassafraslink.platform.fleet.HttpVmClient;
import org.sassafraslink.platform.fleet.HttpWorkerClient;
import org.sassafraslink.rules.version.ConfigReading;
import org.sassafraslink.scheduler.ResponseTrackingRowStore;
import org.sassafraslink.scheduler.Scheduler;
import org.sassafraslink.scheduler.SchedulerSettings;

/**
 * Creates, starts and stops everything that one daemon process on an entry VM runs: the servers for
 * callers, readiness, metrics and other entry VMs, the configuration watcher and the scheduler.
 *
 * <p>All network I/O runs on one event loop; the scheduler runs on a thread of its own.
 */
public final class EntryNode {
  /**
   * Fraction of {@link NodeSettings#stopGraceMillis} after which a stopping process no longer waits
   * for requests in flight.
   */
  private static final double DRAIN_FRACTION = 0.6;

  /**
   * Time from the request to stop until idle connections are closed, in ms. Until then callers may
   * still send requests on their open connections.
   */
  private static final long CONNECTION_CLOSE_DELAY_MILLIS = 1_200;

  /** Interval at which a stopping process checks for requests in flight, in ms. */
  private static final long DRAIN_POLL_MILLIS = 50;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final NodeSettings settings;
  private final EventLog log;
  private final SystemClock clock = new SystemClock();
  private final EventMetrics metrics = new EventMetrics();
  private final MultiThreadIoEventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final SchedulerThread schedulerThread;
  private final LeaseHolderConnection leaseHolderConnection;
  private final Scheduler scheduler;
  private final ConfigWatcher configWatcher;
  private final CallerServer callerServer;
  private volatile boolean stopping;

  private EntryNode(
      NodeSettings settings, CallerLimits callerLimits, EventLog unobservedLog, String processId) {
    this.settings = settings;
    this.log = unobservedLog.withObserver(metrics);
    EventLoop eventLoop = eventLoopGroup.next();
    BiConsumer<Runnable, Integer> timer =
        (task, millis) -> eventLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
    AsyncHttpClient httpClient = AsyncHttpClient.create(eventLoop);
    ResponseTrackingRowStore store =
        new ResponseTrackingRowStore(
            HttpRowStore.create(settings.storeAddress(), httpClient, clock), clock);
    schedulerThread = new SchedulerThread(log);
    Optional<AdviceClient> adviceClient =
        settings
            .adviceAddress()
            .map(
                address ->
                    ExecutorBoundClients.adviceClient(
                        HttpAdviceClient.create(address, httpClient), schedulerThread));
    SchedulerSettings schedulerSettings = SchedulerSettings.of(settings, processId);
    leaseHolderConnection =
        new LeaseHolderConnection(
            eventLoop,
            schedulerThread,
            clock,
            schedulerSettings.takeoverDelayMillis(),
            this::announceToScheduler);
    scheduler =
        Scheduler.create(
            ExecutorBoundClients.rowStore(store, schedulerThread),
            ExecutorBoundClients.workerClient(HttpWorkerClient.create(httpClient), schedulerThread),
            ExecutorBoundClients.vmClient(
                HttpVmClient.create(settings.vmApiAddress(), httpClient), schedulerThread),
            adviceClient,
            clock,
            log,
            new PlatformRowFormats(),
            schedulerSettings,
            leaseHolderConnection);
    configWatcher =
        ConfigWatcher.create(
            store,
            clock,
            log,
            timer,
            settings.maxConfigDelayMillis(),
            config -> schedulerThread.execute(() -> scheduler.onConfig(config)),
            waves -> schedulerThread.execute(() -> scheduler.onWaves(waves)),
            evacuations -> schedulerThread.execute(() -> scheduler.onEvacuations(evacuations)));
    StoreHealth storeHealth = new WatchedStoreHealth();
    SubmissionWriter submissionWriter =
        SubmissionWriter.create(
            store, clock, log, timer, storeHealth, leaseHolderConnection::announceJob);
    JobRequestHandler requestHandler =
        JobRequestHandler.create(configWatcher, store, submissionWriter, storeHealth, clock, log);
    callerServer = CallerServer.create(requestHandler::handleRequest, clock, log, callerLimits);
    metrics.registerGauge(
        "sassafraslink_store_answer_age_seconds",
        "Time since the store last answered",
        () -> (clock.monotonicMillis() - store.lastResponseMillis()) / MILLIS_PER_SECOND);
    metrics.registerGauge(
        "sassafraslink_scheduling",
        "1 while this process holds the scheduling lease",
        () -> scheduler.isScheduling() ? 1 : 0);
    metrics.registerGauge(
        "sassafraslink_evacuated_zones",
        "Availability zones that the operator has asked to evacuate",
        configWatcher::evacuatedZoneCount);
    ConfigGauges.register(metrics, configWatcher, clock);
    SchedulerLoadGauges.register(metrics, scheduler.load()::lastSecond);
    LongRunningGauges.register(metrics, scheduler::longRunningAbsences);
    SilentWorkerGauges.register(metrics, scheduler::silentWorkers);
    metrics.registerGauge(
        "sassafraslink_requests_in_flight",
        "Requests of callers that have no answer yet",
        callerServer::requestsInFlight);
    metrics.registerGauge(
        "sassafraslink_callers_held_bytes",
        "Bytes held for requests and responses of callers",
        callerServer::heldBytes);
    metrics.registerGauge(
        "sassafraslink_callers_connections",
        "Open connections of callers",
        callerServer::openConnections);
    metrics.registerCounter(
        "sassafraslink_callers_limited_total",
        "Requests refused and connections closed to keep the limits on callers",
        "reason",
        callerServer::limitedCounts);
    metrics.registerGauge(
        "sassafraslink_log_lines_dropped",
        "Log lines for which the ring had no room",
        LogSetup::droppedLines);
  }

  /**
   * Starts a node with its servers and threads.
   *
   * <p>The first calls to the platform are made last, when the main thread has finished reading
   * files. The platform's runtime patches the code of system calls that are used often, and a
   * thread that is blocked in such a call while it is patched is lost.
   *
   * @param callerLimits bounds on what the process holds for its callers
   * @param log receives the events; they are also counted as metrics
   * @param processId id of this process, different at each start
   * @throws ListenFailedException if a server cannot listen on its address
   */
  public static EntryNode start(
      NodeSettings settings, CallerLimits callerLimits, EventLog log, String processId) {
    EntryNode node = new EntryNode(settings, callerLimits, log, processId);
    node.listen("server for entry VMs", settings.peerAddress(), node.leaseHolderConnection::listen);
    node.listen("server for callers", settings.callerAddress(), node.callerServer::listen);
    node.listen(
        "readiness server",
        settings.readinessAddress(),
        StatusServer.forReadiness(node::isReady)::listen);
    node.listen(
        "metrics server",
        settings.metricsAddress(),
        StatusServer.forMetrics(node.metrics::prometheusText)::listen);
    node.schedulerThread.start(node.scheduler);
    node.eventLoopGroup.next().execute(node.configWatcher::start);
    log.log(
        "process.started",
        "process",
        processId,
        "uptime",
        jvmUptimeMillis(),
        "vmCommandsPerSecond",
        settings.vmCommandsPerSecond());
    return node;
  }

  private void listen(
      String server,
      InetSocketAddress address,
      BiConsumer<EventLoopGroup, InetSocketAddress> listener) {
    try {
      listener.accept(eventLoopGroup, address);
    } catch (Exception e) {
      // Netty throws the checked exception of a failed bind without declaring it.
      throw new ListenFailedException(server, address, e);
    }
  }

  private static long jvmUptimeMillis() {
    return java.lang.management.ManagementFactory.getRuntimeMXBean().getUptime();
  }

  /**
   * Judges the store by the reads of the configuration, by all answers, and by whether the holder
   * of the scheduling lease has kept it, which it does not if the store is silent for it too.
   */
  private final class WatchedStoreHealth implements StoreHealth {
    @Override
    public boolean isOutageLikely() {
      return configWatcher.isStoreOutageLikely(clock.monotonicMillis());
    }

    @Override
    public long outageMillis() {
      return leaseHolderConnection.isHolderActive()
          ? 0
          : configWatcher.storeSilenceMillis(clock.monotonicMillis());
    }
  }

  private void announceToScheduler(String jobId) {
    scheduler.onJobAnnounced(jobId);
  }

  private boolean isReady() {
    // Evaluated in any case, since it also logs the state.
    ConfigReading.State state = configWatcher.state(clock.monotonicMillis());
    return !stopping && configWatcher.newestConfig().isPresent() && state.isReliable();
  }

  /**
   * Releases the scheduling lease, reports not ready and waits for requests in flight. Returns
   * within {@link NodeSettings#stopGraceMillis}, unless that is hardly longer than {@link
   * #CONNECTION_CLOSE_DELAY_MILLIS}.
   */
  public void stop() {
    stopping = true;
    log.log("process.stopping", "holder", scheduler.holderNode());
    schedulerThread.execute(scheduler::stop);
    long startMillis = clock.monotonicMillis();
    long drainDeadlineMillis = startMillis + (long) (settings.stopGraceMillis() * DRAIN_FRACTION);
    sleepMillis(CONNECTION_CLOSE_DELAY_MILLIS);
    CountDownLatch drainingStarted = new CountDownLatch(1);
    eventLoopGroup
        .next()
        .execute(
            () -> {
              callerServer.startDraining();
              drainingStarted.countDown();
            });
    try {
      while (clock.monotonicMillis() < drainDeadlineMillis
          && (!drainingStarted.await(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS)
              || callerServer.requestsInFlight() > 0)) {
        sleepMillis(DRAIN_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    schedulerThread.stop();
    log.log("process.stopped", "inFlight", callerServer.requestsInFlight());
    sleepMillis(DRAIN_POLL_MILLIS);
  }

  private static void sleepMillis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
