package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.daemon.process.FleetView;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.process.QuotaRow;
import org.sassafraslink.rules.request.FairQueue;
import org.sassafraslink.rules.request.RequestState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs {@link DispatchStateMachine} on a thread of its own.
 *
 * <p>Other threads pass calls, ends of attempts and quota rows to it through a bounded queue of
 * events. If the queue is full, a new call is rejected. A thread that reports the end of an attempt
 * blocks until there is room, because the slot of the attempt would never be released if this event
 * were dropped.
 */
public final class Dispatcher implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger("dispatch");
  private static final int EVENT_QUEUE_CAPACITY = 16_384;
  private static final int MAX_EVENTS_PER_ROUND = 256;
  private static final long UPDATE_INTERVAL_MILLIS = 50;
  private static final long STOP_TIMEOUT_MILLIS = 5_000;

  /**
   * The values of this process that the dispatcher needs, and the functions that it calls.
   *
   * @param self the id of this process
   * @param zone the zone of this process, whose instances are preferred
   * @param monotonicClock returns the monotonic time, in ms
   * @param activeConfig returns the configuration to apply; empty if it was not verified within the
   *     lease
   * @param fleet returns the latest view of the members and VMs
   * @param peerReports returns the latest load reports by process id: those of the peers and, as
   *     the report of this process, only the permits that its placer needs for waiting jobs
   * @param quotaWriter receives the quota rows to write or read
   * @param onNotRun receives each call that ends with a failure and is known not to have run
   */
  public record Dependencies(
      String self,
      String zone,
      LongSupplier monotonicClock,
      Supplier<Optional<ActiveConfig>> activeConfig,
      Supplier<FleetView> fleet,
      Supplier<ImmutableMap<String, LoadReport>> peerReports,
      BackendClient backendClient,
      Consumer<QuotaWriter.Task> quotaWriter,
      Consumer<PendingCall> onNotRun) {}

  private final Dependencies dependencies;
  private final DispatchStateMachine stateMachine;
  private final MpscBlockingConsumerArrayQueue<DispatchEvent> events =
      new MpscBlockingConsumerArrayQueue<>(EVENT_QUEUE_CAPACITY);
  private final AtomicLong uncompletedCalls = new AtomicLong();
  private final Thread eventThread = new Thread(this::processEvents, "dispatch");
  private volatile boolean rejectWaiting;
  private volatile boolean stopping;
  private volatile LoadReport loadReport = LoadReport.empty();
  private volatile DispatchStatus status = DispatchStatus.empty();
  private long nextUpdateMillis;

  private Dispatcher(Dependencies dependencies, FairQueue.Bounds queueBounds) {
    this.dependencies = dependencies;
    this.stateMachine =
        new DispatchStateMachine(
            new DispatchStateMachine.Dependencies(
                dependencies.self(),
                dependencies.zone(),
                dependencies.fleet(),
                dependencies.peerReports(),
                dependencies.backendClient(),
                this::enqueue,
                dependencies.quotaWriter(),
                dependencies.onNotRun()),
            queueBounds);
  }

  /** Creates a dispatcher, which processes events only after {@link #start}. */
  public static Dispatcher create(Dependencies dependencies, FairQueue.Bounds queueBounds) {
    return new Dispatcher(dependencies, queueBounds);
  }

  /** Starts the dispatcher's thread. */
  public void start() {
    eventThread.start();
  }

  /** Enqueues a call; completes it with a failure if the event queue is full. */
  public void submit(PendingCall call) {
    call.changeState(RequestState.ADMITTED);
    uncompletedCalls.incrementAndGet();
    call.result().whenComplete((result, failure) -> uncompletedCalls.decrementAndGet());
    if (!events.offer(new DispatchEvent.CallSubmitted(call))) {
      dependencies.onNotRun().accept(call);
      call.changeState(RequestState.ABANDONED);
      call.complete(
          new CallResult.Failed(
              Failure.of(FailureType.QUEUE_FULL, "The daemon has too many unprocessed requests.")));
    }
  }

  /** Enqueues a quota row that was read from the table service. Blocks while the queue is full. */
  public void onQuotaRowRead(QuotaRow row, long version) {
    enqueue(new DispatchEvent.QuotaRowRead(row, version));
  }

  /**
   * Enqueues the result of a quota write that the dispatcher submitted. Blocks while the queue is
   * full.
   */
  void onQuotaWriteEnded(String team, TeamQuota.WriteResult result) {
    enqueue(new DispatchEvent.QuotaWriteEnded(team, result));
  }

  /** Returns the latest load of this process, to be sent to its peers. */
  public LoadReport loadReport() {
    return loadReport;
  }

  /** Returns the latest snapshot for the status report and the metrics. */
  public DispatchStatus status() {
    return status;
  }

  /** Returns the number of submitted calls that are not completed yet. */
  public long uncompletedCalls() {
    return uncompletedCalls.get();
  }

  /** Rejects all waiting calls from now on. Attempts in flight are completed as usual. */
  public void rejectWaiting() {
    rejectWaiting = true;
  }

  @Override
  public void close() {
    stopping = true;
    enqueue(new DispatchEvent.Wake());
    try {
      eventThread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void enqueue(DispatchEvent event) {
    try {
      events.put(event);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void processEvents() {
    while (!stopping) {
      try {
        runRound();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        // An event that causes an error must not end the thread that dispatches all calls.
        LOG.error("A round of the dispatcher failed; the process continues with the next one.", e);
      }
    }
  }

  /** Applies the waiting events, updates what depends on the time, and starts calls. */
  private void runRound() throws InterruptedException {
    DispatchEvent event = events.poll(UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    long nowMillis = dependencies.monotonicClock().getAsLong();
    stateMachine.setActiveConfig(dependencies.activeConfig().get());
    for (int i = 0; event != null && i < MAX_EVENTS_PER_ROUND; i++) {
      stateMachine.applyEvent(event, nowMillis);
      event = i + 1 < MAX_EVENTS_PER_ROUND ? events.poll() : null;
    }
    if (nowMillis >= nextUpdateMillis) {
      nextUpdateMillis = nowMillis + UPDATE_INTERVAL_MILLIS;
      stateMachine.advanceTo(nowMillis);
      if (rejectWaiting) {
        stateMachine.rejectWaiting(nowMillis);
      }
      loadReport = stateMachine.loadReport();
      status = stateMachine.status();
    }
    stateMachine.startCallsAndQuotaTasks(nowMillis);
  }
}
