package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.sassafraslink.api.Json;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.AvailabilityBudget;
import org.sassafraslink.api.model.FleetConfig.MaintenancePlan;
import org.sassafraslink.api.model.FleetConfig.Service;
import org.sassafraslink.api.model.Head;
import org.sassafraslink.api.platform.Row;
import org.sassafraslink.api.platform.Transaction;
import org.sassafraslink.api.platform.VmList.Listing;
import org.sassafraslink.api.platform.VmList.Vm;
import org.sassafraslink.api.platform.VmList.VmRole;
import org.sassafraslink.api.platform.VmList.VmState;
import org.sassafraslink.daemon.process.LeaderElector.Fence;
import org.sassafraslink.daemon.request.LoadReport;
import org.sassafraslink.daemon.version.ActiveConfig;
import org.sassafraslink.rules.process.AvailabilityCheck;
import org.sassafraslink.rules.process.AvailabilityCheck.Instance;
import org.sassafraslink.rules.process.EmptyVmCheck;
import org.sassafraslink.rules.process.EmptyVmCheck.Report;
import org.sassafraslink.rules.process.PoolPlan;
import org.sassafraslink.rules.process.PoolPlan.Move;
import org.sassafraslink.rules.process.PoolPlan.PooledVm;
import org.sassafraslink.rules.process.VmOwnership;
import org.sassafraslink.rules.process.VmOwnership.Phase;
import org.sassafraslink.rules.process.WavePlan;
import org.sassafraslink.rules.process.WavePlan.Progress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leadership task that assigns VMs to pools, moves them, and reboots them for maintenance.
 *
 * <p>Only the leader starts disruptions, in fenced transactions on rows read after it checked its
 * lease. So each decision sees all earlier ones, and none is based on outdated rows.
 */
final class Planner {
  private static final Logger LOG = LoggerFactory.getLogger("planner");

  /** Age of the VM list above which no disruption starts and no row is deleted, in ms. */
  private static final long MAX_LISTING_AGE_MILLIS = 5_000;

  private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(1);

  /** Age at which the intent of a publisher that did not finish is withdrawn, in ms. */
  private static final long INTENT_TIMEOUT_MILLIS = 30_000;

  /** The dependencies of a planner; {@code loads} supplies each daemon's load report, by its id. */
  record Dependencies(
      Platform platform,
      LeaderElector elector,
      FleetState fleet,
      Clock clock,
      Supplier<Optional<ActiveConfig>> activeConfig,
      Supplier<ImmutableMap<String, LoadReport>> loads,
      DrainAnnouncer announcer) {}

  /** Announces drains; returns the ids of the members that send the VMs no new work from now on. */
  @FunctionalInterface
  interface DrainAnnouncer {
    List<String> announce(Iterable<String> vms, Duration timeout);
  }

  /** The inputs of one round. */
  private record Inputs(
      Fence fence,
      FleetConfig config,
      Listing listing,
      boolean isListingRecentEnough,
      ImmutableMap<String, Versioned<VmOwnership>> ownershipByVm,
      ImmutableMap<String, LoadReport> loads) {
    Optional<Vm> findListedVm(String id) {
      return listing.vms().stream().filter(vm -> vm.id().equals(id)).findFirst();
    }

    /** Returns each VM with its pool after all moves under way have ended. */
    ImmutableList<PooledVm> plannedPools() {
      return ownershipByVm.values().stream()
          .map(Versioned::value)
          .map(row -> new PooledVm(row.vm(), zoneOf(row.vm()), row.target().orElse(row.pool())))
          .collect(ImmutableList.toImmutableList());
    }

    ImmutableList<Instance> instances(String pool) {
      return ownershipByVm.values().stream()
          .map(Versioned::value)
          .filter(row -> row.pool().equals(pool))
          .map(row -> new Instance(row.vm(), zoneOf(row.vm()), isAvailable(row)))
          .collect(ImmutableList.toImmutableList());
    }

    ImmutableList<AvailabilityBudget> budgets(String pool) {
      return config.services().values().stream()
          .filter(service -> service.pool().equals(pool))
          .map(Service::availability)
          .collect(ImmutableList.toImmutableList());
    }

    private boolean isAvailable(VmOwnership row) {
      return row.phase() == Phase.SERVING
          && findListedVm(row.vm()).filter(vm -> vm.state() == VmState.LIVE).isPresent();
    }

    private String zoneOf(String vm) {
      return findListedVm(vm).map(Vm::zone).orElse("");
    }
  }

  private final Dependencies dependencies;
  private final Map<String, ImmutableList<String>> membersWithoutEmptyReport = new HashMap<>();
  private final Map<String, Long> absentSinceMillis = new HashMap<>();
  private final long absenceMillis;

  private Planner(Dependencies dependencies, long absenceMillis) {
    this.dependencies = dependencies;
    this.absenceMillis = absenceMillis;
  }

  /** Creates a planner that deletes rows of VMs not listed for {@code absenceMillis} ms. */
  static Planner create(Dependencies dependencies, long absenceMillis) {
    return new Planner(dependencies, absenceMillis);
  }

  /** Returns the daemons that had not reported a draining VM empty in the last round, by VM. */
  synchronized ImmutableMap<String, ImmutableList<String>> membersWithoutEmptyReport() {
    return ImmutableMap.copyOf(membersWithoutEmptyReport);
  }

  /** Makes the due changes if this process is the leader and can read the {@link Inputs}. */
  void runIfLeader() {
    Optional<ActiveConfig> active = dependencies.activeConfig().get();
    if (active.isEmpty()) {
      return;
    }
    dependencies
        .elector()
        .acquireOrRenew()
        .flatMap(fence -> readInputs(fence, active.get().config()))
        .ifPresent(this::applyNextChanges);
  }

  private Optional<Inputs> readInputs(Fence fence, FleetConfig config) {
    FleetView view = dependencies.fleet().view();
    long ageMillis = dependencies.clock().monotonicMillis() - view.listingReadMillis();
    return dependencies
        .platform()
        .table()
        .scan(VmOwnership.KEY_PREFIX)
        .toJavaOptional()
        .map(
            rows ->
                new Inputs(
                    fence,
                    config,
                    view.listing(),
                    ageMillis <= MAX_LISTING_AGE_MILLIS,
                    StoreReader.toOwnerships(rows),
                    dependencies.loads().get()));
  }

  private void applyNextChanges(Inputs inputs) {
    withdrawAbandonedIntent(inputs.fence());
    if (assignNewVm(inputs)) {
      return; // The inputs are outdated after a change.
    }
    boolean changed = completeDrains(inputs) || completeReboots(inputs) || deleteAbsentVms(inputs);
    if (!changed && inputs.isListingRecentEnough()) {
      boolean moved = startMove(inputs);
      if (!moved) {
        startNextDrainsForReboot(inputs);
      }
    }
  }

  private boolean assignNewVm(Inputs inputs) {
    ImmutableList<PooledVm> pooledVms = inputs.plannedPools();
    for (Vm vm : inputs.listing().vms()) {
      boolean isNew = vm.role() == VmRole.BACKEND && !inputs.ownershipByVm().containsKey(vm.id());
      if (isNew) {
        return PoolPlan.poolForNewVm(inputs.config(), pooledVms, vm.zone())
            .filter(pool -> commitNewVm(inputs, VmOwnership.serving(vm.id(), pool)))
            .isPresent();
      }
    }
    return false;
  }

  private boolean commitNewVm(Inputs inputs, VmOwnership row) {
    LOG.info("Assigning new VM {} to pool {}.", row.vm(), row.pool());
    return inputs
        .fence()
        .commit(Transaction.compareAndSet(VmOwnership.key(row.vm()), Row.ABSENT, Json.write(row)));
  }

  private boolean completeDrains(Inputs inputs) {
    boolean changed = false;
    Map<String, ImmutableList<String>> membersByVm = new HashMap<>();
    for (Versioned<VmOwnership> row : inputs.ownershipByVm().values()) {
      if (row.value().phase() == Phase.DRAINING) {
        ImmutableList<String> members = findMembersWithoutEmptyReport(inputs, row);
        membersByVm.put(row.value().vm(), members);
        if (members.isEmpty()) {
          changed |= replaceRow(inputs, row, row.value().completeDrain());
        }
      }
    }
    synchronized (this) {
      membersWithoutEmptyReport.clear();
      membersWithoutEmptyReport.putAll(membersByVm);
    }
    return changed;
  }

  private ImmutableList<String> findMembersWithoutEmptyReport(
      Inputs inputs, Versioned<VmOwnership> row) {
    String vm = row.value().vm();
    Map<String, Report> reports = new HashMap<>();
    inputs
        .loads()
        .forEach(
            (member, load) ->
                reports.put(
                    member,
                    new Report(
                        load.rowVersionByVm().getOrDefault(vm, Row.ABSENT),
                        load.inFlightByVm().getOrDefault(vm, 0))));
    return EmptyVmCheck.membersWithoutEmptyReport(
        dependencies.fleet().view().members(), reports, row.version());
  }

  private boolean completeReboots(Inputs inputs) {
    boolean changed = false;
    for (Versioned<VmOwnership> row : inputs.ownershipByVm().values()) {
      if (row.value().phase() == Phase.REBOOTING) {
        changed |= requestOrCompleteReboot(inputs, row);
      }
    }
    return changed;
  }

  private boolean requestOrCompleteReboot(Inputs inputs, Versioned<VmOwnership> row) {
    RebootOperation operation = RebootOperation.parse(row.value().operation());
    Optional<Vm> listed = inputs.findListedVm(row.value().vm());
    boolean isRebooted =
        listed
            .filter(vm -> vm.state() == VmState.LIVE)
            .filter(vm -> vm.incarnation() > operation.incarnationBefore())
            .isPresent();
    if (!isRebooted) {
      // Idempotent for the same operation, so each round repeats it until the VM is live again.
      var unused = dependencies.platform().vms().reboot(row.value().vm(), row.value().operation());
      return false;
    }
    Progress progress = readProgress(operation.plan(), operation.generation());
    Transaction transaction =
        Transaction.compareAndSet(
                VmOwnership.key(row.value().vm()),
                row.version(),
                Json.write(row.value().completeReboot().orElseThrow()))
            .put(Progress.key(operation.plan()), Json.write(progress.withDone(row.value().vm())));
    LOG.info("VM {} was rebooted for plan {}.", row.value().vm(), operation.plan());
    return inputs.fence().commit(transaction);
  }

  /** Deletes the rows of VMs that were not listed for {@link #absenceMillis}. */
  private boolean deleteAbsentVms(Inputs inputs) {
    long nowMillis = dependencies.clock().monotonicMillis();
    if (!inputs.isListingRecentEnough()) {
      return false;
    }
    boolean changed = false;
    for (Versioned<VmOwnership> row : inputs.ownershipByVm().values()) {
      String vm = row.value().vm();
      if (inputs.findListedVm(vm).isPresent()) {
        absentSinceMillis.remove(vm);
      } else if (nowMillis - absentSinceMillis.computeIfAbsent(vm, id -> nowMillis)
          >= absenceMillis) {
        LOG.info("Deleting the row of VM {}, which is no longer listed.", vm);
        String key = VmOwnership.key(vm);
        changed |= inputs.fence().commit(Transaction.empty().check(key, row.version()).delete(key));
      }
    }
    return changed;
  }

  /**
   * Announces the drains of {@code vms}; returns whether a majority sends them no new work from now
   * on. A daemon that cannot read the rows learns of the drains from that majority. If it cannot
   * reach the majority either, it cannot verify its configuration and rejects all requests.
   */
  private boolean announceToMajority(Iterable<String> vms) {
    List<String> confirmed = dependencies.announcer().announce(vms, ANNOUNCE_TIMEOUT);
    return dependencies.fleet().view().members().isMajority(confirmed);
  }

  private boolean startMove(Inputs inputs) {
    Optional<Move> move = PoolPlan.nextMove(inputs.config(), inputs.plannedPools());
    return move.filter(found -> isWithinBudgets(inputs, found.fromPool(), found.vm()))
        .filter(found -> announceToMajority(ImmutableList.of(found.vm())))
        .filter(
            found -> {
              Versioned<VmOwnership> row = inputs.ownershipByVm().get(found.vm());
              LOG.info("Draining VM {} to move it to pool {}.", found.vm(), found.toPool());
              return replaceRow(
                  inputs,
                  row,
                  row.value().drainForMove(found.toPool(), UUID.randomUUID().toString()));
            })
        .isPresent();
  }

  private static boolean isWithinBudgets(Inputs inputs, String pool, String vm) {
    ImmutableList<Instance> instances = inputs.instances(pool);
    return inputs.budgets(pool).stream()
        .allMatch(budget -> AvailabilityCheck.mayDisrupt(budget, instances, vm));
  }

  private void startNextDrainsForReboot(Inputs inputs) {
    for (MaintenancePlan plan : inputs.config().plans().values()) {
      ImmutableSet<String> done = readProgress(plan.name(), plan.generation()).done();
      for (String pool : plan.pools()) {
        ImmutableList<String> next =
            WavePlan.nextVmsToDrain(inputs.instances(pool), inputs.budgets(pool), done);
        if (!next.isEmpty() && announceToMajority(next)) {
          next.forEach(vm -> startDrainForReboot(inputs, plan, vm));
        }
      }
    }
  }

  private void startDrainForReboot(Inputs inputs, MaintenancePlan plan, String vm) {
    Versioned<VmOwnership> row = inputs.ownershipByVm().get(vm);
    long incarnation = inputs.findListedVm(vm).map(Vm::incarnation).orElse(0L);
    String operation =
        new RebootOperation(plan.name(), plan.generation(), vm, incarnation).format();
    if (replaceRow(inputs, row, row.value().drainForReboot(operation))) {
      LOG.info("Draining VM {} to reboot it for plan {}.", vm, plan.name());
    }
  }

  private Progress readProgress(String plan, int generation) {
    return dependencies
        .platform()
        .table()
        .read(Progress.key(plan))
        .toJavaOptional()
        .flatMap(row -> row)
        .map(row -> Json.readTrusted(row.value(), Progress.class))
        .filter(progress -> progress.generation() == generation)
        .orElse(Progress.start(plan, generation));
  }

  private static boolean replaceRow(
      Inputs inputs, Versioned<VmOwnership> row, Optional<VmOwnership> next) {
    return next.filter(
            value ->
                inputs
                    .fence()
                    .commit(
                        Transaction.compareAndSet(
                            VmOwnership.key(value.vm()), row.version(), Json.write(value))))
        .isPresent();
  }

  private void withdrawAbandonedIntent(Fence fence) {
    long nowMillis = dependencies.clock().wallMillis();
    dependencies
        .platform()
        .table()
        .read(Head.KEY)
        .toJavaOptional()
        .flatMap(row -> row)
        .ifPresent(
            row -> {
              Head head = Json.readTrusted(row.value(), Head.class);
              boolean isAbandoned =
                  head.intent()
                      .filter(intent -> nowMillis - intent.atMillis() >= INTENT_TIMEOUT_MILLIS)
                      .isPresent();
              if (isAbandoned) {
                boolean unused =
                    fence.commit(
                        Transaction.compareAndSet(
                            Head.KEY, row.version(), Json.write(head.withoutIntent())));
              }
            });
  }
}
