package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.FleetSettings;
import org.sassafraslink.api.fleet.FleetSettings.ServiceConfig;
import org.sassafraslink.api.fleet.MachinePort;
import org.sassafraslink.api.fleet.MachinePort.Authority;
import org.sassafraslink.api.fleet.MachinePort.Machine;
import org.sassafraslink.api.fleet.MachinePort.MachineReply;
import org.sassafraslink.api.fleet.MachinePort.MachineState;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.api.log.EventLog;

/**
 * Moves empty VMs to the pools where tasks wait, and to the pool that is powered off when nobody
 * needs them.
 *
 * <p>A pool gets VMs when more waits there than its own workers will soon have room for, or more
 * work arrives than they can do; VMs come from pools that do not need them, then from the pool that
 * is powered off. A VM that has been empty for a while is powered off. The pause before keeps VMs
 * from moving back and forth with every gap in the demand.
 */
final class PoolSizer {
  /** A VM empty for this long is powered off, in ms: what it costs meanwhile is two moves. */
  private static final long POWER_OFF_MILLIS = 2_300;

  /** A VM empty for this long may go to a pool where tasks wait, in ms. */
  private static final long LEND_MILLIS = 600;

  /** The same for a VM that its pool has been known not to need, in ms. */
  private static final long LEND_SURPLUS_MILLIS = 200;

  /**
   * A VM that is empty for this long, in ms, and could not be moved gets tasks again: nothing may
   * wait for 3 s beside VMs that are idle.
   */
  private static final long SURPLUS_IDLE_MILLIS = 2_700;

  /** Pause between two looks at which VMs are needed, in ms. */
  private static final long SURPLUS_INTERVAL_MILLIS = 50;

  /** The part of a pool's capacity that comes free before a moved VM would arrive. */
  private static final double SOON_FREE_PART = 0.25;

  /** Part by which a pool has more than the work that arrives uses on average, for its bursts. */
  private static final double HEADROOM = 1.2;

  /** A pool keeps at least this many workers. */
  private static final int MIN_WORKERS = 2;

  /** Moves under way at once. */
  private static final int MAX_MOVES = 12;

  /** A move that has not shown in any list is forgotten after this, in ms. */
  private static final long FORGET_MILLIS = 6_000;

  /** Pause before a VM that could not be moved is tried again, in ms. */
  private static final long RETRY_MILLIS = 2_000;

  /** Pause between two log lines about one pool that is short of VMs, in ms. */
  private static final long SHORT_LOG_MILLIS = 1_000;

  private static final String CORDON = "move";

  private record Move(String pool, long sinceMillis) {}

  private final MachinePort port;
  private final FleetClock clock;
  private final EventLog log;
  private final SchedulerLease lease;
  private final SchedulerSettings settings;
  private final WorkerRegistry workers;
  private final QueueBook queues;
  private final DemandRate demand;
  private final MachineList list;
  private final OrderJournal journal;
  private final Maintenance.Actions actions;
  private final Predicate<String> awaitsMaintenance;

  private final Map<String, Move> moves = new HashMap<>();
  private final Map<String, Long> retryAt = new HashMap<>();
  private final Map<Worker, Long> emptySince = new HashMap<>();
  private ImmutableSet<Worker> surplus = ImmutableSet.of();
  private long nextSurplusMillis;
  private final Map<String, Long> nextShortLog = new HashMap<>();
  private final Set<String> impossible = new HashSet<>();
  private long term;

  PoolSizer(
      MachinePort port,
      FleetClock clock,
      EventLog log,
      SchedulerLease lease,
      SchedulerSettings settings,
      WorkerRegistry workers,
      QueueBook queues,
      DemandRate demand,
      MachineList list,
      OrderJournal journal,
      Maintenance.Actions actions,
      Predicate<String> awaitsMaintenance) {
    this.port = port;
    this.clock = clock;
    this.log = log;
    this.lease = lease;
    this.settings = settings;
    this.workers = workers;
    this.queues = queues;
    this.demand = demand;
    this.list = list;
    this.journal = journal;
    this.actions = actions;
    this.awaitsMaintenance = awaitsMaintenance;
  }

  /** Begins anew. */
  void reset() {
    term++;
    moves.clear();
    retryAt.clear();
    emptySince.clear();
    surplus = ImmutableSet.of();
  }

  /** Decides by what the last round of placement had no room for. */
  void tick(Backlog backlog, long nowMillis) {
    Optional<FleetSettings> known = queues.settings();
    if (known.isEmpty() || !lease.isValid()) {
      return;
    }
    observe(nowMillis);
    findSurplus(known.get(), backlog, nowMillis);
    list.tick(nowMillis);
    if (!list.isFresh(nowMillis)) {
      return;
    }
    for (ServiceConfig pool : known.get().services().values()) {
      if (!pool.standby()) {
        grow(pool.name(), backlog, nowMillis);
      }
    }
    queues.standbyPool().ifPresent(off -> powerOff(off, known.get(), backlog, nowMillis));
  }

  /** Whether a worker gets no tasks of jobs that come too late, as its pool does not need it. */
  boolean isSurplus(Worker worker) {
    return surplus.contains(worker);
  }

  private void findSurplus(FleetSettings known, Backlog backlog, long nowMillis) {
    if (nowMillis < nextSurplusMillis) {
      return;
    }
    nextSurplusMillis = nowMillis + SURPLUS_INTERVAL_MILLIS;
    ImmutableSet.Builder<Worker> found = ImmutableSet.builder();
    for (ServiceConfig pool : known.services().values()) {
      boolean isWantedElsewhere =
          queues.standbyPool().isPresent()
              || known.services().keySet().stream()
                  .anyMatch(other -> !other.equals(pool.name()) && backlog.in(other).tasks() > 0);
      if (!pool.standby() && isWantedElsewhere) {
        List<Worker> own = stayingIn(pool.name());
        Resources needed = needed(pool.name(), backlog, nowMillis);
        SurplusWorkers.of(own, needed, MIN_WORKERS).stream()
            .filter(worker -> emptyMillis(worker, nowMillis) < SURPLUS_IDLE_MILLIS)
            .forEach(found::add);
      }
    }
    surplus = found.build();
  }

  private long emptyMillis(Worker worker, long nowMillis) {
    return nowMillis - emptySince.getOrDefault(worker, nowMillis);
  }

  private List<Worker> stayingIn(String pool) {
    return workers.listedIn(pool).stream().filter(worker -> worker.cordon.isEmpty()).toList();
  }

  private void observe(long nowMillis) {
    Set<Worker> present = new HashSet<>(workers.all());
    emptySince.keySet().retainAll(present);
    for (Worker worker : present) {
      if (worker.isSettled()) {
        emptySince.putIfAbsent(worker, nowMillis);
      } else {
        emptySince.remove(worker);
      }
    }
    for (Map.Entry<String, Move> entry : List.copyOf(moves.entrySet())) {
      if (isOver(entry.getKey(), entry.getValue(), nowMillis)) {
        moves.remove(entry.getKey());
        workers
            .onMachine(entry.getKey())
            .filter(worker -> worker.cordon.equals(CORDON))
            .ifPresent(worker -> worker.cordon = "");
      }
    }
  }

  private boolean isOver(String machine, Move move, long nowMillis) {
    boolean hasArrived =
        workers
            .onMachine(machine)
            .map(worker -> worker.known && worker.entry.service().equals(move.pool()))
            .orElse(false);
    boolean isListed =
        list.askedMillis() > move.sinceMillis() + settings.moveMillis()
            && list.find(machine)
                .map(found -> found.pool().equals(move.pool()) && found.state() == MachineState.UP)
                .orElse(true)
            && queues.standbyPool().equals(Optional.of(move.pool()));
    return hasArrived || isListed || nowMillis - move.sinceMillis() > FORGET_MILLIS;
  }

  private void grow(String pool, Backlog backlog, long nowMillis) {
    Backlog.Waiting waiting = backlog.in(pool);
    Resources needed = neededAtRate(pool, nowMillis);
    if (waiting.tasks() == 0 && needed.equals(Resources.NONE)) {
      return;
    }
    List<Worker> own = workers.listedIn(pool);
    Resources capacity = Resources.NONE;
    Resources largest = Resources.NONE;
    for (Worker worker : own) {
      capacity = capacity.plus(worker.entry.capacity());
      largest = worker.entry.capacity();
    }
    if (own.isEmpty()) {
      largest = anyCapacity();
    }
    int missing =
        Math.max(missing(waiting, capacity, largest), missingAtRate(needed, capacity, largest));
    long coming = moves.values().stream().filter(move -> move.pool().equals(pool)).count();
    for (long i = coming; i < missing && moves.size() < MAX_MOVES; i++) {
      Optional<String> machine = spare(pool, backlog, nowMillis);
      if (machine.isEmpty()) {
        logShort(pool, missing - i, backlog, nowMillis);
        return;
      }
      String reason = "backlog of " + waiting.tasks() + " tasks, " + needed + " at rate";
      move(machine.get(), pool, reason, nowMillis);
    }
  }

  /** How many VMs of capacity {@code one} a pool lacks for what waits in it. */
  static int missing(Backlog.Waiting waiting, Resources capacity, Resources one) {
    int missing = vmsFor(waiting.need(), SOON_FREE_PART, capacity, one);
    // A lasting task waits for a worker that has none of its step yet, however much room there is.
    return Math.max(missing, waiting.lastingTasks() > 0 ? 1 : 0);
  }

  /** How many VMs of capacity {@code one} a pool lacks for work at the rate that it arrives at. */
  static int missingAtRate(Resources needed, Resources capacity, Resources one) {
    return vmsFor(needed, 1, capacity, one);
  }

  private static int vmsFor(Resources need, double usablePart, Resources capacity, Resources one) {
    double cpu = part(need.cpuMillis() - usablePart * capacity.cpuMillis(), one.cpuMillis());
    double memory = part(need.memoryMb() - usablePart * capacity.memoryMb(), one.memoryMb());
    double accelerators =
        part(need.accelerators() - usablePart * capacity.accelerators(), one.accelerators());
    return (int) Math.ceil(Math.max(cpu, Math.max(memory, accelerators)));
  }

  /** What a pool needs for the work that arrives, and for what lasts there. */
  private Resources neededAtRate(String pool, long nowMillis) {
    Resources arriving = demand.in(pool, nowMillis);
    if (arriving.equals(Resources.NONE)) {
      return Resources.NONE;
    }
    Resources needed =
        new Resources(
            (long) (arriving.cpuMillis() * HEADROOM),
            (long) (arriving.memoryMb() * HEADROOM),
            (long) Math.ceil(arriving.accelerators() * HEADROOM));
    return needed.plus(reserved(pool, task -> task.step.lasting()));
  }

  /** What a pool needs for jobs that last or can be in time: at rate, or what there is of them. */
  private Resources needed(String pool, Backlog backlog, long nowMillis) {
    Resources present = reserved(pool, SurplusWorkers::needsRoom).plus(backlog.in(pool).need());
    return neededAtRate(pool, nowMillis).max(present);
  }

  private Resources reserved(String pool, Predicate<Task> counts) {
    Resources sum = Resources.NONE;
    for (Worker worker : workers.listedIn(pool)) {
      for (Task task : worker.tasks()) {
        if (counts.test(task)) {
          sum = sum.plus(task.step.reserved());
        }
      }
    }
    return sum;
  }

  /** Whether a pool can do with one VM less for work at the rate that it arrives at. */
  private boolean canSpareOne(String pool, Resources one, Backlog backlog, long nowMillis) {
    Resources left = Resources.NONE.minus(one);
    for (Worker worker : stayingIn(pool)) {
      left = left.plus(worker.entry.capacity());
    }
    return left.fits(needed(pool, backlog, nowMillis));
  }

  private static double part(double amount, long of) {
    return of == 0 ? 0 : Math.max(0, amount / of);
  }

  private Resources anyCapacity() {
    return workers.all().stream()
        .map(worker -> worker.entry.capacity())
        .findFirst()
        .orElse(Resources.NONE);
  }

  /** An empty VM that another pool does not need, else one that is powered off. */
  private Optional<String> spare(String pool, Backlog backlog, long nowMillis) {
    for (Map.Entry<Worker, Long> entry : emptySince.entrySet()) {
      Worker worker = entry.getKey();
      String from = worker.entry.service();
      long lendMillis = surplus.contains(worker) ? LEND_SURPLUS_MILLIS : LEND_MILLIS;
      boolean isIdle = nowMillis - entry.getValue() >= lendMillis;
      boolean isFree =
          !from.equals(pool)
              && backlog.in(from).tasks() == 0
              && workers.listedIn(from).size() > MIN_WORKERS
              && isMovable(worker, pool, nowMillis)
              && canSpareOne(from, worker.entry.capacity(), backlog, nowMillis);
      if (isIdle && isFree) {
        return Optional.of(worker.entry.machine());
      }
    }
    Optional<String> off = queues.standbyPool();
    return list.machines().stream()
        .filter(machine -> off.equals(Optional.of(machine.pool())))
        .filter(machine -> machine.state() == MachineState.UP)
        .map(Machine::id)
        .filter(machine -> mayOrder(machine, pool, nowMillis))
        // What is due for maintenance has it done while it is off, and is not taken down at work.
        .min(Comparator.comparing(awaitsMaintenance::test));
  }

  /** Tells why no VM can be had, at most once a second a pool. */
  private void logShort(String pool, long missing, Backlog backlog, long nowMillis) {
    if (nowMillis < nextShortLog.getOrDefault(pool, 0L)) {
      return;
    }
    nextShortLog.put(pool, nowMillis + SHORT_LOG_MILLIS);
    Map<String, Long> others =
        workers.all().stream()
            .filter(worker -> !worker.entry.service().equals(pool))
            .collect(
                Collectors.groupingBy(
                    worker -> obstacle(worker, pool, backlog, nowMillis),
                    TreeMap::new,
                    Collectors.counting()));
    log.log("pool.short", "pool", pool, "missing", missing, "others", others);
  }

  private String obstacle(Worker worker, String pool, Backlog backlog, long nowMillis) {
    String from = worker.entry.service();
    if (!worker.cordon.isEmpty()) {
      return "cordoned";
    } else if (!worker.isSettled()) {
      return worker.tasks().stream().allMatch(task -> task.step.lasting()) ? "lasting" : "busy";
    } else if (emptyMillis(worker, nowMillis) < LEND_MILLIS) {
      return "just_idle";
    } else if (backlog.in(from).tasks() > 0) {
      return "own_backlog";
    } else if (!journal.mayOrder(worker.entry.machine(), nowMillis)) {
      return "paused";
    } else if (!canSpareOne(from, worker.entry.capacity(), backlog, nowMillis)) {
      return "needed";
    }
    return isMovable(worker, pool, nowMillis) ? "smallest_pool" : "not_movable";
  }

  private boolean isMovable(Worker worker, String pool, long nowMillis) {
    return worker.listed
        && worker.known
        && worker.isSettled()
        && !worker.entry.draining()
        && worker.silences == 0
        && worker.cordon.isEmpty()
        && !worker.entry.machine().isEmpty()
        && mayOrder(worker.entry.machine(), pool, nowMillis);
  }

  private boolean mayOrder(String machine, String pool, long nowMillis) {
    return !moves.containsKey(machine)
        && journal.mayOrder(machine, nowMillis)
        && !impossible.contains(machine + " " + pool)
        && nowMillis >= retryAt.getOrDefault(machine, Long.MIN_VALUE);
  }

  private void powerOff(String off, FleetSettings known, Backlog backlog, long nowMillis) {
    for (Map.Entry<Worker, Long> entry : List.copyOf(emptySince.entrySet())) {
      Worker worker = entry.getKey();
      String from = worker.entry.service();
      ServiceConfig pool = known.services().get(from);
      boolean isIdle = nowMillis - entry.getValue() >= POWER_OFF_MILLIS;
      boolean isUnneeded =
          pool != null
              && !pool.standby()
              && backlog.in(from).tasks() == 0
              && staying(from) > MIN_WORKERS;
      boolean hasRoom = moves.size() < MAX_MOVES;
      boolean isSpared =
          isIdle
              && isUnneeded
              && hasRoom
              && isMovable(worker, off, nowMillis)
              && canSpareOne(from, worker.entry.capacity(), backlog, nowMillis);
      if (isSpared) {
        move(worker.entry.machine(), off, "idle", nowMillis);
      }
    }
  }

  private long staying(String pool) {
    return stayingIn(pool).size();
  }

  private void move(String machine, String pool, String reason, long nowMillis) {
    Optional<Worker> worker = workers.onMachine(machine);
    worker.ifPresent(found -> found.cordon = CORDON);
    moves.put(machine, new Move(pool, nowMillis));
    log.log("machine.move", "machine", machine, "pool", pool, "reason", reason);
    long sentTerm = term;
    journal.record(
        machine,
        isRecorded -> {
          if (isRecorded && lease.isValid()) {
            send(machine, pool, worker, sentTerm);
          } else {
            onAnswer(machine, pool, worker, Either.left(CallFailure.NOT_PERFORMED));
          }
        });
  }

  private void send(String machine, String pool, Optional<Worker> worker, long sentTerm) {
    port.move(
        machine,
        pool,
        new Authority(settings.node(), lease.epoch()),
        answer -> {
          if (term == sentTerm) {
            onAnswer(machine, pool, worker, answer);
          }
        });
  }

  private void onAnswer(
      String machine,
      String pool,
      Optional<Worker> worker,
      Either<CallFailure, MachineReply> answer) {
    boolean isAccepted = answer.isRight() && answer.get() == MachineReply.ACCEPTED;
    if (isAccepted) {
      worker.ifPresent(actions::ended);
      return;
    }
    log.log("machine.not_moved", "machine", machine, "pool", pool, "answer", answer);
    boolean isUnknown = answer.isLeft() && answer.getLeft() == CallFailure.OUTCOME_UNKNOWN;
    if (isUnknown) {
      // It may have moved: it gets no tasks until the move shows or is forgotten.
      return;
    }
    moves.remove(machine);
    retryAt.put(machine, clock.monotonicMillis() + RETRY_MILLIS);
    worker.ifPresent(found -> found.cordon = "");
    if (answer.isLeft() && answer.getLeft() == CallFailure.REJECTED) {
      impossible.add(machine + " " + pool);
    } else if (answer.isRight() && answer.get() == MachineReply.FENCED) {
      actions.onFenced();
    }
  }
}
