package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.failure.Failure;
import org.sassafraslink.api.failure.FailureType;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Service;
import org.sassafraslink.api.model.FleetConfig.TeamAndKey;
import org.sassafraslink.api.platform.TableService;
import org.sassafraslink.daemon.request.DispatchStatus;
import org.sassafraslink.daemon.request.DispatchStatus.TeamStatus;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.daemon.version.ConfigTracker;
import org.sassafraslink.rules.process.Job;
import org.sassafraslink.rules.process.VmOwnership;

/**
 * Explains to operators why a request would be rejected, why a job is in its state, and why a VM is
 * not drained yet.
 *
 * <p>The explanations are derived from the configuration in force, the status report, the state of
 * the dispatcher, the known VMs and the job's row.
 */
public final class Explainer {
  /** An explanation in sentences, with the most important one first. */
  public record Explanation(ImmutableList<String> reasons) {
    static Explanation of(String... reasons) {
      return new Explanation(ImmutableList.copyOf(reasons));
    }
  }

  private final TableService table;
  private final ConfigTracker configTracker;
  private final FleetState fleet;
  private final Supplier<DispatchStatus> dispatchStatus;
  private final Supplier<StatusReport> statusReport;
  private final Clock clock;

  private Explainer(
      TableService table,
      ConfigTracker configs,
      FleetState fleet,
      Supplier<DispatchStatus> dispatchStatus,
      Supplier<StatusReport> statusReport,
      Clock clock) {
    this.table = table;
    this.configTracker = configs;
    this.fleet = fleet;
    this.dispatchStatus = dispatchStatus;
    this.statusReport = statusReport;
    this.clock = clock;
  }

  static Explainer create(
      TableService table,
      ConfigTracker configTracker,
      FleetState fleet,
      Supplier<DispatchStatus> dispatchStatus,
      Supplier<StatusReport> statusReport,
      Clock clock) {
    return new Explainer(table, configTracker, fleet, dispatchStatus, statusReport, clock);
  }

  /** Explains in which phase a VM is, and which daemons delay its drain. */
  public Either<Failure, Explanation> explainVm(String id) {
    return statusReport.get().pools().stream()
        .flatMap(pool -> pool.vms().stream().map(vm -> toVmExplanation(pool.name(), vm)))
        .filter(found -> found.id().equals(id))
        .findFirst()
        .<Either<Failure, Explanation>>map(found -> Either.right(found.explanation()))
        .orElseGet(() -> notFound("No pool has this VM."));
  }

  /** The explanation for one VM of the status report. */
  private record VmExplanation(String id, Explanation explanation) {}

  private static VmExplanation toVmExplanation(String pool, StatusReport.VmStatus vm) {
    ImmutableList.Builder<String> reasons = ImmutableList.builder();
    reasons.add(
        String.format(
            "VM %s of pool %s is in phase %s; the platform lists it as %s.",
            vm.id(), pool, vm.phase(), vm.listed()));
    if (vm.phase().equals(VmOwnership.Phase.DRAINING.name())) {
      vm.notProvedEmptyBy()
          .forEach(
              member ->
                  reasons.add(
                      "Daemon "
                          + member
                          + " has not reported that it has no requests in flight to the VM."));
    }
    return new VmExplanation(vm.id(), new Explanation(reasons.build()));
  }

  /** Explains why a job is in its state. Reads the job from the store. */
  public Either<Failure, Explanation> explainJob(String id) {
    return table
        .read(Job.key(id))
        .mapLeft(f -> Failure.of(FailureType.STORE_UNAVAILABLE, "The store does not answer."))
        .flatMap(
            row ->
                row.map(found -> Json.readTrusted(found.value(), Job.class))
                    .<Either<Failure, Explanation>>map(job -> Either.right(explainState(job)))
                    .orElseGet(() -> notFound("There is no such job.")));
  }

  private Explanation explainState(Job job) {
    String state = "Job " + job.id() + " is " + job.state() + ".";
    if (job.state() != Job.State.WAITING) {
      return Explanation.of(state, job.reason());
    }
    Optional<StatusReport.TeamReport> team =
        statusReport.get().teams().stream().filter(t -> t.name().equals(job.team())).findFirst();
    boolean isAtLimit = team.filter(t -> t.allotted() >= t.limit()).isPresent();
    return Explanation.of(
        state,
        isAtLimit
            ? "All permits of the team's upper limit are allocated; one must be released first."
            : "No worker has enough free cores, memory and accelerators now.",
        job.reason());
  }

  /**
   * Explains whether a request would be accepted now, and if not, why it would wait or be rejected.
   *
   * @param keyId the public id of the key that the request would carry; empty if it has none
   */
  public Either<Failure, Explanation> explainRequest(
      String serviceName, String queueName, Optional<String> keyId) {
    Optional<ActiveConfig> active = configTracker.activeConfig(clock.monotonicMillis());
    if (active.isEmpty()) {
      return Either.right(
          Explanation.of(
              "This daemon can confirm its configuration neither with the store"
                  + " nor with a majority of daemons, so it rejects all requests."));
    }
    FleetConfig config = active.get().config();
    Service service = config.services().get(serviceName);
    if (service == null || !service.queues().containsKey(queueName)) {
      return Either.right(Explanation.of("No service has this queue."));
    }
    if (fleet.view().usableVms(service.pool(), clock.monotonicMillis()).isEmpty()) {
      return Either.right(
          Explanation.of(
              "Pool " + service.pool() + " has no VM that serves requests and is listed as live."));
    }
    if (service.queues().get(queueName).open()) {
      return Either.right(Explanation.of("The queue requires no key; the request is accepted."));
    }
    Optional<TeamAndKey> keyOwner = keyId.flatMap(config::keyById);
    return Either.right(
        keyOwner
            .map(teamAndKey -> explainPermits(teamAndKey.team().name(), teamAndKey.team().limit()))
            .orElseGet(() -> Explanation.of("No team has a key with this id.")));
  }

  private Explanation explainPermits(String team, int limit) {
    TeamStatus status =
        dispatchStatus.get().teams().getOrDefault(team, new TeamStatus(0, 0, 0, limit));
    String summary =
        String.format(
            "Team %s has %d of %d permits at this daemon; %d requests run and %d wait.",
            team, status.held(), limit, status.running(), status.waiting());
    return status.running() >= status.held()
        ? Explanation.of(summary, "A request waits until a permit is free or its deadline passes.")
        : Explanation.of(summary, "A request is accepted.");
  }

  private static <T> Either<Failure, T> notFound(String detail) {
    return Either.left(Failure.of(FailureType.RESOURCE_UNKNOWN, detail));
  }
}
