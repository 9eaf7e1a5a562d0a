package org.sassafraslink.daemon.request;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig.Service;
import org.sassafraslink.api.model.FleetConfig.Team;
import org.sassafraslink.daemon.process.FleetView;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.process.MemberSet;
import org.sassafraslink.rules.process.MemberSet.Member;
import org.sassafraslink.rules.process.MemberSet.MemberState;
import org.sassafraslink.rules.process.QuotaRow;
import org.sassafraslink.rules.process.VmOwnership.Phase;
import org.sassafraslink.rules.request.FairQueue;
import org.sassafraslink.rules.request.FairQueue.Entry;
import org.sassafraslink.rules.request.InstanceChoice.Candidate;
import org.sassafraslink.rules.request.RequestState;
import org.sassafraslink.rules.request.RetryDecision;
import org.sassafraslink.rules.request.RetryDecision.FailedRequest;

/**
 * Decides which waiting call is sent to which instance, and when. It holds the queues of the
 * services, the slots of their instances that are in use, and the quotas of the teams.
 *
 * <p>It is deterministic: it has no thread and no clock, and gets events and the current time as
 * inputs. {@link Dispatcher} calls it on a single thread; tests call it directly.
 */
final class DispatchStateMachine {
  /** The share of calls that no configured team submitted. */
  private static final int SHARE_WITHOUT_TEAM = 1;

  /**
   * The values of this process that the state machine needs, and the functions that it calls.
   *
   * @param self the id of this process
   * @param zone the zone of this process, whose instances are preferred
   * @param fleet returns the latest view of the members and VMs
   * @param peerReports returns the latest load reports; see {@link Dispatcher.Dependencies}
   * @param events receives an event when an attempt has ended; called on any thread
   * @param quotaWriter receives the tasks that write or read quota rows
   * @param onNotRun receives each call that ends with a failure and is known not to have run
   */
  record Dependencies(
      String self,
      String zone,
      Supplier<FleetView> fleet,
      Supplier<ImmutableMap<String, LoadReport>> peerReports,
      BackendClient backendClient,
      Consumer<DispatchEvent> events,
      Consumer<QuotaWriter.Task> quotaWriter,
      Consumer<PendingCall> onNotRun) {}

  private final Dependencies dependencies;
  private final FairQueue.Bounds queueBounds;
  private final TeamQuotas teamQuotas;
  private final Map<String, ServiceState> serviceStates = new HashMap<>();
  private ImmutableMap<String, LoadReport> peerReports = ImmutableMap.of();
  private ImmutableMap<String, Integer> peerInFlightByVm = ImmutableMap.of();
  private Optional<ActiveConfig> activeConfig = Optional.empty();

  DispatchStateMachine(Dependencies dependencies, FairQueue.Bounds queueBounds) {
    this.dependencies = dependencies;
    this.queueBounds = queueBounds;
    this.teamQuotas = new TeamQuotas(dependencies.self());
  }

  /** Sets the configuration to apply; empty if it was not verified within the lease. */
  void setActiveConfig(Optional<ActiveConfig> config) {
    // The permits of a process that is not registered as alive may be allocated to other processes,
    // so it must not start any calls.
    activeConfig = config.filter(active -> isRegisteredAsAlive());
  }

  private boolean isRegisteredAsAlive() {
    Member self = dependencies.fleet().get().members().members().get(dependencies.self());
    return self != null && self.standing() != MemberState.DEAD;
  }

  /** Applies an event, without starting calls. */
  void applyEvent(DispatchEvent event, long nowMillis) {
    if (event instanceof DispatchEvent.CallSubmitted submitted) {
      onCallSubmitted(submitted.call(), nowMillis);
    } else if (event instanceof DispatchEvent.AttemptEnded ended) {
      onAttemptEnded(ended, nowMillis);
    } else if (event instanceof DispatchEvent.QuotaRowRead read) {
      QuotaRow row = read.row();
      teamQuotas.quotaOf(row.team(), nowMillis).applyRead(row, read.version());
    } else if (event instanceof DispatchEvent.QuotaWriteEnded written) {
      teamQuotas.quotaOf(written.team(), nowMillis).applyWriteResult(written.result(), nowMillis);
    }
  }

  /** Sends the waiting calls that may start, and submits the due reads and writes of quota rows. */
  void startCallsAndQuotaTasks(long nowMillis) {
    serviceStates.values().forEach(state -> startCalls(state, nowMillis));
    MemberSet members = dependencies.fleet().get().members();
    int aliveMemberCount = members.aliveMembers().size();
    activeConfig.ifPresent(
        active ->
            teamQuotas
                .beginDueTasks(active, aliveMemberCount, peerReports, nowMillis)
                .forEach(dependencies.quotaWriter()));
  }

  /**
   * Advances the state to {@code nowMillis}: releases the permits of failed attempts whose requests
   * no longer run, rejects the calls whose deadline has passed, and reads the latest view of the
   * fleet and the latest load reports.
   */
  void advanceTo(long nowMillis) {
    teamQuotas.releaseDuePermits(nowMillis);
    refreshServiceStates(nowMillis);
    for (ServiceState state : serviceStates.values()) {
      state.queue().removeExpired(nowMillis).forEach(entry -> rejectExpired(entry, nowMillis));
    }
    peerReports = dependencies.peerReports().get();
    peerInFlightByVm = sumInFlightByVm(peerReports);
  }

  /** Rejects all waiting calls, whatever their deadlines, because the process is shutting down. */
  void rejectWaiting(long nowMillis) {
    for (ServiceState state : serviceStates.values()) {
      for (Entry<PendingCall> entry : state.queue().removeExpired(Long.MAX_VALUE)) {
        teamQuotas.quotaOf(entry.team(), nowMillis).addWaitingRequests(-1);
        reject(entry.item(), FailureType.SHUTTING_DOWN, "The daemon is shutting down.");
      }
    }
  }

  /** Returns the current load of this process, to be sent to its peers. */
  LoadReport loadReport() {
    ImmutableMap.Builder<String, Long> drainingRowVersions = ImmutableMap.builder();
    // The planner needs the row versions of draining VMs only; sending those of all VMs would use
    // too much bandwidth.
    dependencies.fleet().get().ownershipByVm().entrySet().stream()
        .filter(entry -> entry.getValue().value().phase() == Phase.DRAINING)
        .forEach(entry -> drainingRowVersions.put(entry.getKey(), entry.getValue().version()));
    return new LoadReport(
        teamQuotas.unmetDemandByTeam(),
        ImmutableMap.of(),
        ImmutableMap.copyOf(inFlightByVm()),
        drainingRowVersions.buildOrThrow());
  }

  DispatchStatus status() {
    ImmutableMap.Builder<String, Integer> waitingByService = ImmutableMap.builder();
    serviceStates.forEach((name, state) -> waitingByService.put(name, state.queue().size()));
    return new DispatchStatus(
        waitingByService.buildOrThrow(), ImmutableMap.copyOf(inFlightByVm()), teamQuotas.status());
  }

  private void onCallSubmitted(PendingCall call, long nowMillis) {
    Optional<Service> service =
        activeConfig.map(active -> active.config().services().get(call.service()));
    if (service.isEmpty()) {
      reject(call, FailureType.CONFIGURATION_STALE, "The configuration cannot be verified now.");
    } else if (!enqueue(serviceState(service.get()), call, nowMillis)) {
      reject(call, FailureType.QUEUE_FULL, "The queue of this service is full.");
    }
  }

  /** Adds a call to the queue of its service. Returns false if the queue is full. */
  private boolean enqueue(ServiceState state, PendingCall call, long nowMillis) {
    Entry<PendingCall> entry =
        new Entry<>(
            call.team(), shareOf(call), call.queue().workClass(), call.deadlineMillis(), call);
    if (!state.queue().offer(entry)) {
      return false;
    }
    call.changeState(RequestState.QUEUED);
    teamQuotas.quotaOf(call.team(), nowMillis).addWaitingRequests(1);
    return true;
  }

  private void startCalls(ServiceState state, long nowMillis) {
    while (state.queue().size() > 0) {
      // Only shows whether an instance is free: which one is chosen depends on the call, see below.
      Optional<Candidate> freeInstance = chooseInstance(state, "", nowMillis);
      Optional<Entry<PendingCall>> entryToStart =
          freeInstance.isEmpty()
              ? Optional.empty()
              : state
                  .queue()
                  .poll(
                      entry -> mayLeaveQueue(entry.item(), nowMillis), state::estimatedSlotMillis);
      if (entryToStart.isEmpty()) {
        return;
      }
      PendingCall call = entryToStart.get().item();
      teamQuotas.quotaOf(call.team(), nowMillis).addWaitingRequests(-1);
      Optional<Failure> rejection = reasonToReject(call);
      if (rejection.isPresent()) {
        reject(call, rejection.get().type(), rejection.get().detail());
      } else {
        startAttempt(
            state, call, chooseInstance(state, call.lastVm(), nowMillis).orElseThrow(), nowMillis);
      }
    }
  }

  private Optional<Candidate> chooseInstance(
      ServiceState state, String previousVm, long nowMillis) {
    return state.chooseInstance(peerInFlightByVm, dependencies.zone(), previousVm, nowMillis);
  }

  private boolean mayLeaveQueue(PendingCall call, long nowMillis) {
    // Calls of open queues and calls that must be rejected need no permit to leave the queue.
    return call.submitter().isEmpty()
        || reasonToReject(call).isPresent()
        || teamQuotas
            .quotaOf(call.team(), nowMillis)
            .mayStart(teamConfig(call.team()).map(Team::limit).orElse(0));
  }

  /** Returns why a waiting call must be rejected, or empty if it may still be sent. */
  private Optional<Failure> reasonToReject(PendingCall call) {
    if (call.hasCallerLeft()) {
      return Optional.of(
          Failure.of(FailureType.CALLER_LEFT, "The caller has closed its connection."));
    }
    if (activeConfig.isEmpty()) {
      return Optional.of(
          Failure.of(FailureType.CONFIGURATION_STALE, "The configuration cannot be verified now."));
    }
    boolean hasValidKey =
        call.submitter().isEmpty()
            || teamConfig(call.team())
                .filter(team -> team.keys().contains(call.submitter().get().key()))
                .isPresent();
    return hasValidKey
        ? Optional.empty()
        : Optional.of(
            Failure.of(FailureType.KEY_REJECTED, "The key was removed from the configuration."));
  }

  private void startAttempt(
      ServiceState state, PendingCall call, Candidate instance, long nowMillis) {
    if (call.attempts() == 0) {
      state.setRetryBudget(state.retryBudget().recordRequest());
    }
    if (call.submitter().isPresent()) {
      teamQuotas.quotaOf(call.team(), nowMillis).startRequest(nowMillis);
    }
    call.recordCharge(state.estimatedSlotMillis(call));
    call.assignTo(instance.vm(), nowMillis);
    state.onAttemptStarted(instance.vm());
    Service service = state.service();
    BackendClient.Target target =
        new BackendClient.Target(
            instance.vm(),
            instance.address(),
            service.port(),
            service.answerCheck(),
            Math.max(1, call.deadlineMillis() - nowMillis));
    dependencies
        .backendClient()
        .send(
            call,
            target,
            outcome ->
                dependencies
                    .events()
                    .accept(new DispatchEvent.AttemptEnded(call, instance.vm(), outcome)));
  }

  private void onAttemptEnded(DispatchEvent.AttemptEnded ended, long nowMillis) {
    PendingCall call = ended.call();
    ServiceState state = serviceStates.get(call.service());
    boolean hasFailed = ended.outcome() instanceof AttemptOutcome.Failed;
    state.onAttemptEnded(call, shareOf(call), ended.vm(), !hasFailed, nowMillis);
    if (ended.outcome() instanceof AttemptOutcome.Completed completed) {
      teamQuotas.releasePermit(call);
      call.changeState(RequestState.ANSWERED);
      call.complete(completed.answer());
    } else if (ended.outcome() instanceof AttemptOutcome.UnusableAnswer unusable) {
      teamQuotas.releasePermit(call);
      completeWithFailure(call, unusable.failure());
    } else {
      retryOrFail(state, call, nowMillis);
    }
  }

  private void retryOrFail(ServiceState state, PendingCall call, long nowMillis) {
    // If the backend server may still be running the request, the permit is released only after the
    // longest time for which the request may run.
    boolean mayStillRun = !call.state().isBeforeSending();
    if (mayStillRun) {
      teamQuotas.releasePermitLater(call, nowMillis);
    } else {
      teamQuotas.releasePermit(call);
    }
    FailedRequest failedRequest =
        new FailedRequest(
            call.mayHaveBeenSent(),
            call.isIdempotent(),
            call.attempts(),
            nowMillis,
            call.deadlineMillis());
    RetryDecision.Action action =
        RetryDecision.decide(failedRequest, state.retryBudget().canRetry());
    if (action instanceof RetryDecision.Action.Fail fail) {
      fail(call, fail.failure());
    } else if (enqueue(state, call, nowMillis)) {
      state.setRetryBudget(state.retryBudget().recordRetry());
    } else {
      fail(call, RetryDecision.failureOf(call.mayHaveBeenSent()));
    }
  }

  private void rejectExpired(Entry<PendingCall> entry, long nowMillis) {
    teamQuotas.quotaOf(entry.team(), nowMillis).addWaitingRequests(-1);
    reject(
        entry.item(),
        FailureType.DEADLINE_BEFORE_START,
        "The request waited until its deadline and was not sent.");
  }

  /**
   * Rejects a call that is not sent again. If an earlier attempt may have been sent, the failure
   * says that the outcome is unknown, instead of {@code type} and {@code detail}.
   */
  private void reject(PendingCall call, FailureType type, String detail) {
    fail(call, call.mayHaveBeenSent() ? RetryDecision.failureOf(true) : Failure.of(type, detail));
  }

  /** Completes a call with a failure, and passes it to {@code onNotRun} if it has not run. */
  private void fail(PendingCall call, Failure failure) {
    if (failure.type().notRun()) {
      dependencies.onNotRun().accept(call);
    }
    completeWithFailure(call, failure);
  }

  private static void completeWithFailure(PendingCall call, Failure failure) {
    call.changeState(RequestState.ABANDONED);
    call.complete(new CallResult.Failed(failure));
  }

  private void refreshServiceStates(long nowMillis) {
    FleetView fleetView = dependencies.fleet().get();
    ImmutableList<String> aliveMemberIds =
        fleetView.members().aliveMembers().stream()
            .map(Member::id)
            .collect(ImmutableList.toImmutableList());
    activeConfig.ifPresent(
        active ->
            active
                .config()
                .services()
                .values()
                .forEach(
                    service ->
                        serviceState(service)
                            .refresh(
                                service,
                                fleetView,
                                dependencies.self(),
                                aliveMemberIds,
                                nowMillis)));
  }

  private Map<String, Integer> inFlightByVm() {
    Map<String, Integer> totalByVm = new HashMap<>();
    for (ServiceState state : serviceStates.values()) {
      state.inFlightByVm().forEach((vm, count) -> totalByVm.merge(vm, count, Integer::sum));
    }
    return totalByVm;
  }

  private static ImmutableMap<String, Integer> sumInFlightByVm(
      ImmutableMap<String, LoadReport> reports) {
    Map<String, Integer> totalByVm = new HashMap<>();
    for (LoadReport report : reports.values()) {
      report.inFlightByVm().forEach((vm, count) -> totalByVm.merge(vm, count, Integer::sum));
    }
    return ImmutableMap.copyOf(totalByVm);
  }

  private int shareOf(PendingCall call) {
    return teamConfig(call.team()).map(Team::share).orElse(SHARE_WITHOUT_TEAM);
  }

  private Optional<Team> teamConfig(String name) {
    return activeConfig.map(active -> active.config().teams().get(name));
  }

  /** Returns the state of a service; creates it when the service is first used. */
  private ServiceState serviceState(Service service) {
    return serviceStates.computeIfAbsent(
        service.name(), name -> ServiceState.create(service, queueBounds));
  }
}
