package org.sassafraslink.entry.cancelling;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Simulates the VMs of the pools, the workers on them, and the platform's API for VMs. */
final class WorkerFleet {
  static final long HEARTBEAT_MILLIS = 1_500;
  private static final long TICK_MILLIS = 5;
  private static final long MAINTENANCE_MILLIS = 2_000;

  /** How long a worker that is to leave goes on. */
  private static final long DRAIN_MILLIS = 5_500;

  private static final class Vm {
    private final String name;
    private final String pool;
    private final String rack;
    private volatile WorkerStandIn worker;
    private volatile int port;
    private volatile String vmState = "up";
    private volatile long leavesMillis = Long.MAX_VALUE;

    Vm(String name, String pool, String rack) {
      this.name = name;
      this.pool = pool;
      this.rack = rack;
    }

    private boolean isUp() {
      return vmState.equals("up");
    }
  }

  private final StoreStandIn store;
  private final RunRecord record;
  private final EventFile events;
  private final Random random;
  private final List<Vm> vms = new CopyOnWriteArrayList<>();
  private volatile boolean isStopped;
  private int workerCount;
  private int sequence;

  private WorkerFleet(StoreStandIn store, RunRecord record, EventFile events, long seed) {
    this.store = store;
    this.record = record;
    this.events = events;
    this.random = new Random(seed);
  }

  static WorkerFleet start(
      StoreStandIn store,
      RunRecord record,
      EventFile events,
      long seed,
      List<String> pools,
      int vmsPerPool)
      throws IOException {
    WorkerFleet fleet = new WorkerFleet(store, record, events, seed);
    for (String pool : pools) {
      for (int i = 0; i < vmsPerPool; i++) {
        Vm vm = new Vm("m-" + pool + "-" + i, pool, "r1-" + i / 4);
        fleet.vms.add(vm);
        fleet.startWorker(vm);
      }
    }
    LoopbackServer.THREADS.execute(fleet::runClock);
    return fleet;
  }

  private void runClock() {
    long nextHeartbeatMillis = 0;
    while (!isStopped) {
      tick();
      if (events.millis() >= nextHeartbeatMillis) {
        vms.forEach(this::register);
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

  /** Ends the clock of the workers; their servers go on. */
  void stop() {
    isStopped = true;
  }

  int listenForVmCalls() throws IOException {
    return LoopbackServer.start(this::handle);
  }

  private synchronized void startWorker(Vm vm) throws IOException {
    workerCount++;
    String id = String.format(Locale.ROOT, "i-%08x", workerCount);
    WorkerStandIn worker = new WorkerStandIn(id, store, record, events, random.nextLong());
    vm.port = worker.listen();
    vm.worker = worker;
    vm.leavesMillis = Long.MAX_VALUE;
    vm.vmState = "up";
    register(vm);
    events.write(id + " started on " + vm.name);
  }

  private void tick() {
    long nowMillis = events.millis();
    for (Vm vm : vms) {
      vm.worker.tick(nowMillis);
      if (vm.isUp() && nowMillis >= vm.leavesMillis) {
        replaceWorker(vm, "down");
      }
    }
  }

  private synchronized void register(Vm vm) {
    if (!vm.isUp()) {
      return;
    }
    sequence++;
    boolean isDraining = vm.leavesMillis != Long.MAX_VALUE;
    ObjectNode entry = LoopbackServer.MAPPER.createObjectNode();
    entry
        .put("service", vm.pool)
        .put("address", "127.0.0.1:" + vm.port)
        .put("zone", EntryFleet.ZONE)
        .put("version", "v1")
        .put("slots", 8)
        .put("state", isDraining ? "draining" : "ready")
        .put("coldRemainingMs", 0)
        .put("machine", vm.name)
        .put("born", vm.worker.born())
        .put("clockMs", events.millis())
        .put("sequence", sequence);
    if (isDraining) {
      entry.put("remainingMs", Math.max(0, vm.leavesMillis - events.millis()));
    }
    addCapacity(entry, vm);
    store.put("servers", vm.worker.id(), entry);
  }

  private static void addCapacity(ObjectNode entry, Vm vm) {
    entry
        .putObject("capacity")
        .put("cpu", WorkerStandIn.CPU)
        .put("memMb", WorkerStandIn.MEMORY_MB)
        .put("gpu", 0);
    entry.putArray("labels").add("a").add(vm.rack);
  }

  private Vm anyVm() {
    synchronized (random) {
      return vms.get(random.nextInt(vms.size()));
    }
  }

  /** Announces that a worker will leave; another one starts in its place. */
  void drainAny() {
    Vm vm = anyVm();
    if (vm.isUp() && vm.leavesMillis == Long.MAX_VALUE) {
      vm.leavesMillis = events.millis() + DRAIN_MILLIS;
      register(vm);
      events.write(vm.worker.id() + " drains");
    }
  }

  /** Lets a worker leave its orders unanswered and carry them out late. */
  void delayOrdersOfAny(long millis) {
    WorkerStandIn worker = anyVm().worker;
    worker.delayOrders(millis);
    record.disrupted(worker.id(), events.millis(), events.millis() + millis);
    events.write(worker.id() + " delays orders for " + millis + " ms");
  }

  /** Ends a worker without notice. */
  void crashAny() {
    Vm vm = anyVm();
    if (vm.isUp()) {
      record.disrupted(vm.worker.id(), events.millis(), events.millis());
      replaceWorker(vm, "down");
    }
  }

  /** Requests the maintenance of some VMs, one at a time. */
  void startWave(int wave) {
    ObjectNode row = LoopbackServer.MAPPER.createObjectNode().put("wave", wave);
    ArrayNode names = row.putArray("machines");
    for (int i = 0; i < 3; i++) {
      names.add(anyVm().name);
    }
    store.put("op", "wave/" + wave, row.put("durationS", 30).put("cap", 1));
    events.write("wave " + wave + " " + names);
  }

  private synchronized void replaceWorker(Vm vm, String vmState) {
    vm.vmState = vmState;
    WorkerStandIn previous = vm.worker;
    previous.end();
    events.write(previous.id() + " ended on " + vm.name + ", " + vmState);
    LoopbackServer.TIMERS.schedule(
        () -> {
          store.remove("servers", previous.id());
          startWorker(vm);
          return null;
        },
        MAINTENANCE_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void handle(HttpExchange exchange) throws Exception {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    ObjectNode response = LoopbackServer.MAPPER.createObjectNode();
    switch (exchange.getRequestURI().getPath()) {
      case "/machines" -> {
        ArrayNode list = response.putArray("machines");
        for (Vm vm : vms) {
          ObjectNode entry =
              list.addObject()
                  .put("machine", vm.name)
                  .put("pool", vm.pool)
                  .put("state", vm.vmState)
                  .put("zone", EntryFleet.ZONE);
          if (vm.isUp()) {
            entry.put("id", vm.worker.id());
          }
          addCapacity(entry, vm);
        }
        response.putNull("nextToken");
        LoopbackServer.respond(exchange, 200, response);
      }
      case "/machine-upkeep" -> {
        String name = LoopbackServer.MAPPER.readTree(bytes).path("machine").asText();
        Vm vm = vms.stream().filter(other -> other.name.equals(name)).findAny().orElseThrow();
        boolean isUp = vm.isUp();
        if (isUp) {
          replaceWorker(vm, "upkeep");
        }
        LoopbackServer.respond(exchange, isUp ? 200 : 409, response.put("reason", "busy"));
      }
      default -> LoopbackServer.respond(exchange, 409, response.put("reason", "busy"));
    }
  }
}
