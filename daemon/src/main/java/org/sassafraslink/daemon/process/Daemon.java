package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.daemon.connection.AdminServer;
import org.sassafraslink.daemon.connection.EntryServer;
import org.sassafraslink.daemon.connection.HttpBackendClient;
import org.sassafraslink.daemon.connection.JobRoutes;
import org.sassafraslink.daemon.connection.NettyPeerTransport;
import org.sassafraslink.daemon.connection.PeerExchange;
import org.sassafraslink.daemon.request.ClaimStore;
import org.sassafraslink.daemon.request.Dispatcher;
import org.sassafraslink.daemon.request.LoadReport;
import org.sassafraslink.daemon.request.QuotaWriter;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.daemon.version.ConfigTracker;
import org.sassafraslink.daemon.version.Publisher;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.MemberSet.MemberState;
import org.sassafraslink.rules.request.FairQueue;
import org.sassafraslink.wire.PeerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running daemon: creates and connects its components, and starts and stops them. */
final class Daemon {
  private static final Logger LOG = LoggerFactory.getLogger("process");
  private static final Duration LEADERSHIP_TASK_INTERVAL = Duration.ofMillis(300);
  private static final Duration MEMBERSHIP_INTERVAL = Duration.ofMillis(500);
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(800);

  /** Interval of tasks whose runs block until there is work to do. */
  private static final Duration NO_INTERVAL = Duration.ZERO;

  private static final long STOP_POLL_MILLIS = 50;

  /** Exit code after other daemons marked this process as dead or removed it. */
  private static final int EVICTED_EXIT_CODE = 3;

  private static final int PEER_EVENT_LOOP_THREADS = 1;
  private static final int JOB_REQUEST_THREADS = 4;

  /** Assumed longest run time of a request while no configured queue is known, in ms. */
  private static final long DEFAULT_MAX_RUN_MILLIS = 5_000;

  /** Margin for requests that run longer than the timeout of their queue, in ms. */
  private static final long RUN_TIME_MARGIN_MILLIS = 1_000;

  private final Settings settings;
  private final Clock clock = Clock.system();
  private final String self;
  private final Platform platform;
  private final FleetState fleet = FleetState.create();
  private final Metrics metrics = Metrics.create();
  private final EventLoopGroup peerEventLoops =
      new MultiThreadIoEventLoopGroup(PEER_EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final ExecutorService executor = Executors.newFixedThreadPool(JOB_REQUEST_THREADS);
  private final List<PeriodicThread> threads = new ArrayList<>();
  private final ConfigTracker configTracker;
  private final PeerExchange peers;
  private final Dispatcher dispatcher;
  private final QuotaWriter quotaWriter;
  private final ClaimStore claimStore;
  private final StoreReader storeReader;
  private final Membership membership;
  private final Planner planner;
  private final Placer placer;
  private PeerServer peerServer;
  private EntryServer entryServer;
  private AdminServer adminServer;
  private volatile boolean acceptsRequests = true;
  private volatile boolean isStopping;

  private Daemon(Settings settings) {
    this.settings = settings;
    this.self = settings.text(Setting.VM_ID) + "#" + UUID.randomUUID();
    this.platform = Platform.http(settings);
    this.configTracker =
        ConfigTracker.create(self, settings.integer(Setting.FRESHNESS_LEASE), this::fetchObject);
    this.quotaWriter = QuotaWriter.create(platform.table());
    this.claimStore =
        ClaimStore.create(
            self,
            platform.table(),
            clock::monotonicMillis,
            clock::wallMillis,
            Pause.sleeping(),
            call -> dispatcher().submit(call));
    this.dispatcher = createDispatcher();
    quotaWriter.sendResultsTo(dispatcher);
    this.peers =
        PeerExchange.create(
            self,
            NettyPeerTransport.create(peerEventLoops, PEER_TIMEOUT),
            configTracker,
            fleet,
            this::ownLoad,
            clock::monotonicMillis);
    this.storeReader =
        StoreReader.create(
            platform,
            configTracker,
            fleet,
            clock,
            new SplittableRandom(),
            dispatcher::onQuotaRowRead);
    this.membership = createMembership();
    this.planner = createPlanner();
    this.placer =
        Placer.create(
            new Placer.Dependencies(platform, createElector("placer"), clock, this::activeConfig));
  }

  /** Starts a daemon, which rejects requests until it is registered and has a configuration. */
  static Daemon start(Settings settings) {
    Daemon daemon = new Daemon(settings);
    daemon.startServersAndThreads();
    return daemon;
  }

  /** Returns {@link #dispatcher} to a lambda that is created before the field is assigned. */
  private Dispatcher dispatcher() {
    return dispatcher;
  }

  private Dispatcher createDispatcher() {
    return Dispatcher.create(
        new Dispatcher.Dependencies(
            self,
            settings.text(Setting.ZONE),
            clock::monotonicMillis,
            this::activeConfig,
            fleet::view,
            this::loadReportsForDispatcher,
            HttpBackendClient.create(settings.integer(Setting.MAX_ANSWER_BYTES)),
            quotaWriter::submit,
            call -> claimStore.release(call)),
        new FairQueue.Bounds(
            settings.integer(Setting.QUEUE_TOTAL), settings.integer(Setting.QUEUE_PER_TEAM)));
  }

  private Membership createMembership() {
    Member member =
        new Member(
            self,
            settings.text(Setting.VM_ID),
            settings.integer(Setting.VM_INCARNATION),
            settings.text(Setting.HOST) + ":" + settings.integer(Setting.PEER_PORT),
            settings.text(Setting.ZONE),
            MemberState.GUEST);
    return Membership.create(
        member,
        platform.table(),
        fleet,
        clock,
        peers::memberEpochsByPeer,
        this::maxRunMillis,
        settings.integer(Setting.ABSENCE_TIMEOUT));
  }

  private Planner createPlanner() {
    return Planner.create(
        new Planner.Dependencies(
            platform,
            createElector("planner"),
            fleet,
            clock,
            this::activeConfig,
            this::loadReportsForPlanner,
            peers::announceDrains),
        settings.integer(Setting.ABSENCE_TIMEOUT));
  }

  private LeaderElector createElector(String task) {
    return LeaderElector.create(
        task, self, platform.table(), clock, settings.integer(Setting.LEADERSHIP_LEASE));
  }

  private void startServersAndThreads() {
    String host = settings.text(Setting.HOST);
    // Binds the peer address before this process registers with it. Only one process at a time can
    // bind the address, so every other member with the same address is dead.
    peerServer =
        PeerServer.start(
            peerEventLoops, host, settings.integer(Setting.PEER_PORT), peers::answerMessage);
    adminServer = startAdminServer(host);
    dispatcher.start();
    threads.add(PeriodicThread.start("allotments", NO_INTERVAL, quotaWriter::processNextTask));
    threads.add(
        PeriodicThread.start(
            "store", settings.duration(Setting.POLL_INTERVAL), storeReader::readIfDue));
    threads.add(PeriodicThread.start("members", MEMBERSHIP_INTERVAL, this::updateMembership));
    threads.add(
        PeriodicThread.start("peers", settings.duration(Setting.PEER_INTERVAL), peers::askPeers));
    threads.add(PeriodicThread.start("claims", NO_INTERVAL, claimStore::processNextBatch));
    threads.add(PeriodicThread.start("planner", LEADERSHIP_TASK_INTERVAL, planner::runIfLeader));
    threads.add(PeriodicThread.start("placer", LEADERSHIP_TASK_INTERVAL, placer::runIfLeader));
    entryServer = startEntryServer(host);
    LOG.info("Daemon {} listens on {}:{}.", self, host, settings.integer(Setting.HTTP_PORT));
  }

  private EntryServer startEntryServer(String host) {
    return EntryServer.start(
        new EntryServer.Dependencies(
            this::activeConfig,
            () -> acceptsRequests,
            clock::monotonicMillis,
            dispatcher::submit,
            claimStore::submit,
            claimStore::recordAnswer,
            metrics::countOutcome),
        new EntryServer.Options(
            host,
            settings.integer(Setting.HTTP_PORT),
            settings.integer(Setting.MAX_REQUEST_BYTES),
            settings.integer(Setting.MAX_HEADER_BYTES),
            settings.integer(Setting.MAX_BUFFERED_BYTES),
            settings.integer(Setting.MAX_CONNECTIONS),
            settings.integer(Setting.READ_TIMEOUT),
            settings.integer(Setting.IDLE_TIMEOUT)));
  }

  private AdminServer startAdminServer(String host) {
    Publisher publisher =
        Publisher.create(
            platform.table(),
            platform.objects(),
            peers::announceHead,
            configTracker,
            clock::wallMillis,
            Pause.sleeping());
    StatusReader status =
        StatusReader.create(
            new StatusReader.Sources(
                self,
                platform.table(),
                configTracker,
                fleet,
                peers,
                dispatcher::status,
                storeReader::isReachable,
                planner::membersWithoutEmptyReport,
                clock));
    Explainer explainer =
        Explainer.create(
            platform.table(), configTracker, fleet, dispatcher::status, status::readStatus, clock);
    JobRoutes jobs =
        JobRoutes.create(
            platform.table(), platform.workers(), this::activeConfig, clock::wallMillis, executor);
    addMetrics();
    return AdminServer.start(
        new AdminServer.Dependencies(
            settings.operators(),
            platform.table(),
            configTracker,
            publisher,
            status,
            explainer,
            metrics,
            jobs,
            this::isReady),
        host,
        settings.integer(Setting.ADMIN_PORT));
  }

  private void addMetrics() {
    metrics.addDispatchGauges(dispatcher::status);
    metrics.addGauge(
        "sassafraslink_config_version",
        "Configuration version in force; -1 while all requests are rejected.",
        () -> (double) activeConfig().map(ActiveConfig::version).orElse(-1L));
    metrics.addGauge(
        "sassafraslink_evidence_age_seconds",
        "Time since a read of the store verified the configuration; -1 if none has.",
        () ->
            configTracker.freshness().verifiedAgeMillis(clock.monotonicMillis()).orElse(-1_000)
                / 1_000.0);
    metrics.addGauge(
        "sassafraslink_buffered_bytes",
        "Total size of the request bodies in memory.",
        () -> entryServer == null ? 0.0 : (double) entryServer.bufferedBytes());
    metrics.addGauge(
        "sassafraslink_members",
        "Registered daemons that are not marked as dead.",
        () -> (double) fleet.view().members().aliveMembers().size());
  }

  private void updateMembership() {
    membership.updateMembers();
    if (membership.isEvicted() && !isStopping) {
      LOG.error("This process was marked as dead or removed; exiting to restart with a new id.");
      // stop() joins this thread. No call starts meanwhile: the process is not registered as alive.
      new Thread(() -> System.exit(EVICTED_EXIT_CODE), "evicted").start();
    }
  }

  /**
   * Reports not ready while still serving, then rejects new requests and waits for the accepted
   * ones. If none is left, leaves the member set, which frees the quotas of this process.
   */
  void stop() {
    isStopping = true;
    LOG.info("Stopping the daemon.");
    pause(settings.integer(Setting.STOP_GRACE_TIME));
    acceptsRequests = false;
    long endMillis = clock.monotonicMillis() + settings.integer(Setting.STOP_TIMEOUT);
    while (entryServer.unansweredRequests() > 0 && clock.monotonicMillis() < endMillis) {
      pause(STOP_POLL_MILLIS);
    }
    // A request that arrives while its connection is being closed would get no answer. So the
    // connections stay open for a while, and each is closed after a request on it was rejected.
    pause(settings.integer(Setting.STOP_LINGER_TIME));
    threads.forEach(PeriodicThread::close);
    if (entryServer.unansweredRequests() == 0) {
      membership.leave();
    }
    entryServer.stop();
    adminServer.stop();
    peerServer.close();
    dispatcher.close();
    LOG.info("Daemon has stopped with {} requests unanswered.", entryServer.unansweredRequests());
  }

  private boolean isReady() {
    return !isStopping && activeConfig().isPresent() && membership.isRegistered();
  }

  private Optional<ActiveConfig> activeConfig() {
    return configTracker.activeConfig(clock.monotonicMillis());
  }

  private Optional<String> fetchObject(String digest) {
    return platform
        .objects()
        .get(digest)
        .getOrElse(Optional.empty())
        .or(() -> peers.fetchObject(digest));
  }

  private LoadReport ownLoad() {
    return dispatcher.loadReport().withUnmetDemandOfJobs(placer.jobsLackingPermits());
  }

  /**
   * Returns the recent load reports of the peers, and a report with the permits that waiting jobs
   * lack according to the placer of this process. The dispatcher itself knows its other load.
   */
  private ImmutableMap<String, LoadReport> loadReportsForDispatcher() {
    return ImmutableMap.<String, LoadReport>builder()
        .putAll(peers.loadReportsByPeer())
        .put(self, LoadReport.empty().withUnmetDemandOfJobs(placer.jobsLackingPermits()))
        .buildKeepingLast();
  }

  private ImmutableMap<String, LoadReport> loadReportsForPlanner() {
    return ImmutableMap.<String, LoadReport>builder()
        .putAll(peers.loadReportsByPeer())
        .put(self, ownLoad())
        .buildKeepingLast();
  }

  /** Returns how long after the death of a process its requests may still be running, in ms. */
  private long maxRunMillis() {
    return configTracker
            .lastLoadedConfig()
            .map(ActiveConfig::config)
            .map(Daemon::maxQueueTimeoutMillis)
            .orElse(DEFAULT_MAX_RUN_MILLIS)
        + RUN_TIME_MARGIN_MILLIS;
  }

  private static long maxQueueTimeoutMillis(FleetConfig config) {
    return config.services().values().stream()
        .flatMap(service -> service.queues().values().stream())
        .mapToLong(FleetConfig.Queue::timeoutMillis)
        .max()
        .orElse(DEFAULT_MAX_RUN_MILLIS);
  }

  /** Sleeps for {@code millis} ms; returns early if the thread is interrupted. */
  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
