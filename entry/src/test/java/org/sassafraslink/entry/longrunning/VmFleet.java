package org.sassafraslink.entry.longrunning;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.sassafraslink.entry.cancelling.EntryFleet;
import org.sassafraslink.entry.cancelling.EventFile;
import org.sassafraslink.entry.cancelling.LoopbackServer;
import org.sassafraslink.entry.cancelling.RunRecord;
import org.sassafraslink.entry.cancelling.StoreStandIn;
import org.sassafraslink.entry.cancelling.WorkerStandIn;

/** Simulates VMs that move between pools, the workers on them, and the platform's API for VMs. */
final class VmFleet {
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long TICK_MILLIS = 5;
  private static final long MAINTENANCE_MILLIS = 2_000;
  private static final long MOVE_MILLIS = 1_500;

  /** How long the VM of a lost worker is down. */
  static final long LOSS_MILLIS = 2_000;

  /** How long the entry of a lost worker stays. */
  private static final long ENTRY_MILLIS = 4_500;

  private static final int VMS_PER_RACK = 4;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private static final class Vm {
    private final String name;
    private final String rack;
    private String pool;
    private String state = "up";
    private int port;
    private Optional<WorkerStandIn> worker = Optional.empty();

    Vm(String name, String rack, String pool) {
      this.name = name;
      this.rack = rack;
      this.pool = pool;
    }
  }

  /** What a command does to a VM; returns why it is rejected, or an empty text. */
  private interface Command {
    String apply(Vm vm);
  }

  private final StoreStandIn store;
  private final RunRecord record;
  private final EventFile events;
  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final Set<String> waveVms = new HashSet<>();
  private final Set<String> maintained = new HashSet<>();
  private long highestFencingToken;
  private int workerCount;
  private int sequence;
  private volatile boolean isStopped;

  private VmFleet(StoreStandIn store, RunRecord record, EventFile events, long seed) {
    this.store = store;
    this.record = record;
    this.events = events;
    this.random = new Random(seed);
  }

  static VmFleet start(
      StoreStandIn store,
      RunRecord record,
      EventFile events,
      long seed,
      Map<String, Integer> vmsByPool)
      throws IOException {
    VmFleet fleet = new VmFleet(store, record, events, seed);
    vmsByPool.forEach(fleet::addVms);
    for (Vm vm : fleet.vms) {
      fleet.startWorker(vm, Optional.empty());
    }
    LoopbackServer.THREADS.execute(fleet::runClock);
    return fleet;
  }

  private void addVms(String pool, int count) {
    for (int i = 0; i < count; i++) {
      vms.add(new Vm("m-" + vms.size(), "r1-" + vms.size() / VMS_PER_RACK, pool));
    }
  }

  private void runClock() {
    long nextHeartbeatMillis = 0;
    while (!isStopped) {
      tick();
      if (events.millis() >= nextHeartbeatMillis) {
        registerAll();
        nextHeartbeatMillis = events.millis() + HEARTBEAT_MILLIS;
      }
      try {
        Thread.sleep(TICK_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private synchronized void tick() {
    long nowMillis = events.millis();
    vms.forEach(vm -> vm.worker.ifPresent(worker -> worker.tick(nowMillis)));
  }

  private synchronized void registerAll() {
    vms.forEach(this::register);
  }

  /** Ends the clock of the workers; their servers go on. */
  void stop() {
    isStopped = true;
  }

  int listenForVmCalls() throws IOException {
    return LoopbackServer.start(this::handle);
  }

  /** Returns the state of the workers that are up, by pool. */
  synchronized Map<String, List<WorkerStandIn.State>> workersByPool() {
    Map<String, List<WorkerStandIn.State>> states = new HashMap<>();
    for (Vm vm : vms) {
      vm.worker.ifPresent(
          worker -> states.computeIfAbsent(vm.pool, pool -> new ArrayList<>()).add(worker.state()));
    }
    return states;
  }

  /** Requests the maintenance of all VMs, a third of them at once. */
  synchronized void startWave(int durationSeconds) {
    vms.forEach(vm -> waveVms.add(vm.name));
    List<String> names = new ArrayList<>(waveVms);
    Collections.sort(names);
    Collections.shuffle(names, random);
    ObjectNode row = LoopbackServer.MAPPER.createObjectNode().put("wave", 1);
    ArrayNode list = row.putArray("machines");
    names.forEach(list::add);
    row.put("durationS", durationSeconds).put("cap", Math.max(1, vms.size() / 3));
    store.put("op", "wave/1", row);
    events.write("wave of " + names.size() + ", " + vms.size() / 3 + " at once");
  }

  /** Returns how many VMs the wave has taken down. */
  synchronized int maintainedCount() {
    return maintained.size();
  }

  synchronized int vmCount() {
    return vms.size();
  }

  /** Ends a worker of one of some pools without notice. */
  synchronized void loseAnyWorker(List<String> pools) {
    List<Vm> candidates =
        vms.stream().filter(vm -> vm.worker.isPresent() && pools.contains(vm.pool)).toList();
    if (!candidates.isEmpty()) {
      takeDown(
          candidates.get(random.nextInt(candidates.size())), "down", LOSS_MILLIS, Optional.empty());
    }
  }

  /** Ends a worker that runs tasks for good; its entry is removed some seconds later. */
  synchronized void loseBusyWorker() {
    List<Vm> candidates =
        vms.stream()
            .filter(vm -> vm.worker.filter(worker -> !worker.state().tasks().isEmpty()).isPresent())
            .toList();
    if (candidates.isEmpty()) {
      return;
    }
    Vm vm = candidates.get(random.nextInt(candidates.size()));
    WorkerStandIn worker = vm.worker.orElseThrow();
    int tasks = worker.state().tasks().size();
    vm.state = "down";
    vm.worker = Optional.empty();
    worker.end();
    events.write(worker.id() + " with " + tasks + " tasks lost for good on " + vm.name);
    LoopbackServer.TIMERS.schedule(
        () -> store.remove("servers", worker.id()), ENTRY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private synchronized void startWorker(Vm vm, Optional<String> newPool) throws IOException {
    vm.pool = newPool.orElse(vm.pool);
    vm.state = "up";
    if (vm.pool.equals(Scenario.STANDBY_POOL)) {
      return;
    }
    workerCount++;
    String id = String.format(Locale.ROOT, "i-%08x", workerCount);
    WorkerStandIn worker = new WorkerStandIn(id, store, record, events, random.nextLong());
    vm.port = worker.listen();
    vm.worker = Optional.of(worker);
    register(vm);
    events.write(id + " started on " + vm.name + " in " + vm.pool);
  }

  private void register(Vm vm) {
    vm.worker.ifPresent(worker -> register(vm, worker));
  }

  private void register(Vm vm, WorkerStandIn worker) {
    sequence++;
    ObjectNode entry = LoopbackServer.MAPPER.createObjectNode();
    entry
        .put("service", vm.pool)
        .put("address", "127.0.0.1:" + vm.port)
        .put("zone", EntryFleet.ZONE)
        .put("version", "v1")
        .put("slots", 8)
        .put("state", "ready")
        .put("coldRemainingMs", 0)
        .put("machine", vm.name)
        .put("born", worker.born())
        .put("clockMs", events.millis())
        .put("sequence", sequence);
    addCapacity(entry, vm);
    store.put("servers", worker.id(), entry);
  }

  private static void addCapacity(ObjectNode entry, Vm vm) {
    entry
        .putObject("capacity")
        .put("cpu", WorkerStandIn.CPU)
        .put("memMb", WorkerStandIn.MEMORY_MB)
        .put("gpu", 0);
    entry.putArray("labels").add("a").add(vm.rack);
  }

  /** Ends the worker of a VM, which is up again after some time, maybe in another pool. */
  private synchronized void takeDown(
      Vm vm, String state, long millis, Optional<String> poolAfterwards) {
    vm.state = state;
    Optional<WorkerStandIn> previous = vm.worker;
    vm.worker = Optional.empty();
    previous.ifPresent(WorkerStandIn::end);
    events.write(
        previous.map(WorkerStandIn::id).orElse("no worker")
            + " ended on "
            + vm.name
            + ", "
            + state);
    LoopbackServer.TIMERS.schedule(
        () -> {
          previous.ifPresent(worker -> store.remove("servers", worker.id()));
          startWorker(vm, poolAfterwards);
          return null;
        },
        millis,
        TimeUnit.MILLISECONDS);
  }

  private void handle(HttpExchange exchange) throws Exception {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    switch (exchange.getRequestURI().getPath()) {
      case "/machines" -> LoopbackServer.respond(exchange, OK, list());
      case "/machine-move" -> {
        JsonNode body = LoopbackServer.MAPPER.readTree(bytes);
        execute(exchange, body, vm -> move(vm, body.path("pool").asText()));
      }
      case "/machine-upkeep" ->
          execute(exchange, LoopbackServer.MAPPER.readTree(bytes), this::maintain);
      default -> LoopbackServer.respond(exchange, 404, LoopbackServer.MAPPER.createObjectNode());
    }
  }

  private synchronized ObjectNode list() {
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    ArrayNode list = response.putArray("machines");
    for (Vm vm : vms) {
      ObjectNode entry =
          list.addObject()
              .put("machine", vm.name)
              .put("pool", vm.pool)
              .put("state", vm.state)
              .put("zone", EntryFleet.ZONE);
      vm.worker.ifPresent(worker -> entry.put("id", worker.id()));
      addCapacity(entry, vm);
    }
    return response.putNull("nextToken");
  }

  private void execute(HttpExchange exchange, JsonNode body, Command command) throws IOException {
    long token =
        Long.parseLong(exchange.getRequestHeaders().getFirst("X-Sassafraslink-Fencing-Token"));
    String reason = apply(body.path("machine").asText(), token, command);
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    if (!reason.isEmpty()) {
      events.write("command " + body + " rejected: " + reason);
      response.put("reason", reason);
    }
    LoopbackServer.respond(exchange, reason.isEmpty() ? OK : CONFLICT, response);
  }

  private synchronized String apply(String name, long token, Command command) {
    if (token < highestFencingToken) {
      return "fence";
    }
    highestFencingToken = token;
    Vm vm = vms.stream().filter(other -> other.name.equals(name)).findAny().orElseThrow();
    return vm.state.equals("up") ? command.apply(vm) : "busy";
  }

  private String move(Vm vm, String pool) {
    if (!vm.pool.equals(pool)) {
      events.write("move of " + vm.name + " from " + vm.pool + " to " + pool);
      takeDown(vm, "moving", MOVE_MILLIS, Optional.of(pool));
    }
    return "";
  }

  private String maintain(Vm vm) {
    if (!waveVms.contains(vm.name)) {
      return "wave";
    }
    if (maintained.add(vm.name)) {
      takeDown(vm, "upkeep", MAINTENANCE_MILLIS, Optional.empty());
    }
    return "";
  }
}
