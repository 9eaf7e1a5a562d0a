package org.sassafraslink.scheduler;

import com.google.common.collect.ImmutableList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.sassafraslink.api.fleet.Resources;
import org.sassafraslink.scheduler.sim.SimFleet;
import org.sassafraslink.scheduler.sim.SimNetwork.CommandKind;
import org.sassafraslink.scheduler.sim.SimNode;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * A fault of a generated sequence.
 *
 * @param atMillis when it begins, in ms after the first jobs were submitted
 * @param worker the number of the worker that it hits; unused by faults of nodes and the store
 * @param node the number of the node that it hits; unused by faults that hit the scheduling node
 * @param durationMillis how long it lasts, in ms
 */
record GeneratedFault(int atMillis, Kind kind, int worker, int node, int durationMillis) {
  /** Workers write their entries at least this often, in ms. */
  static final int HEARTBEAT_MILLIS = 1_500;

  /** Lowest rate of a worker's clock, as a fraction of true time. */
  private static final double MIN_CLOCK_RATE = 0.98;

  private static final Resources USUAL = new Resources(8_000, 32_000, 0);
  private static final Resources SMALL = new Resources(6_000, 24_000, 0);
  private static final Resources LARGE = new Resources(12_000, 48_000, 0);

  /** How long a transaction of a slow store occupies its partition, in ms. */
  private static final int SLOW_TRANSACTION_MILLIS = 120;

  enum Kind {
    WORKER_RESTARTS(false),
    WORKER_RESTARTS_SMALLER(false),
    WORKER_RESTARTS_LARGER(false),
    /** The worker starts again under its id after the duration. */
    WORKER_CRASHES(true),
    WORKER_CUT_OFF(true),
    WORKER_CUT_OFF_FROM_NODE(true),
    STARTS_LATE(true),
    STOPS_LATE(true),
    REPORT_REQUESTS_LATE(true),
    COMMANDS_LATE(true),
    RESPONSES_LOST(true),
    SCHEDULER_KILLED(true),
    SCHEDULER_POWERED_OFF(true),
    /** The process stops running, but its monotonic clock goes on. */
    SCHEDULER_PAUSED(true),
    /** The process stops running, and its monotonic clock stops too. */
    SCHEDULER_SUSPENDED(true),
    STORE_SLOW(true),
    ENTRY_VANISHES(true),
    OLDER_ENTRY_WRITTEN(true),
    NEWER_ENTRY_WRITTEN(true),
    NEWER_ENTRY_OF_OTHER_ADDRESS_WRITTEN(true),
    /** The worker does not start again, but another one does in its place. */
    WORKER_LOST(false),
    SCHEDULER_STOPPED(true);

    /** The kinds of sequences in which workers start again under their ids. */
    static final ImmutableList<Kind> OF_RESTARTS =
        ImmutableList.copyOf(EnumSet.range(WORKER_RESTARTS, NEWER_ENTRY_OF_OTHER_ADDRESS_WRITTEN));

    final boolean lasts;

    Kind(boolean lasts) {
      this.lasts = lasts;
    }

    /** Returns whether it delays commands, which may arrive after it has ended. */
    boolean delaysCommands() {
      return this == STARTS_LATE
          || this == STOPS_LATE
          || this == REPORT_REQUESTS_LATE
          || this == COMMANDS_LATE;
    }
  }

  /** Returns when the fault ends, in ms after the first jobs were submitted. */
  int endMillis() {
    return atMillis + (kind.lasts ? durationMillis : 0);
  }

  /** Begins the fault, and schedules its end. */
  void inject(SimFleet fleet) {
    String id = "w" + worker;
    String nodeName = "n" + node;
    switch (kind) {
      case WORKER_RESTARTS -> restart(fleet, id, USUAL);
      case WORKER_RESTARTS_SMALLER -> restart(fleet, id, SMALL);
      case WORKER_RESTARTS_LARGER -> restart(fleet, id, LARGE);
      case WORKER_CRASHES -> {
        fleet.crashWorker(id);
        fleet.clock.runAfter(durationMillis, () -> restart(fleet, id, USUAL));
      }
      case WORKER_CUT_OFF ->
          disturb(fleet, id, CommandOutcome.NOT_DELIVERED, EnumSet.allOf(CommandKind.class));
      case WORKER_CUT_OFF_FROM_NODE ->
          disturb(
              fleet,
              List.of(nodeName),
              id,
              CommandOutcome.NOT_DELIVERED,
              EnumSet.allOf(CommandKind.class));
      case STARTS_LATE ->
          disturb(fleet, id, CommandOutcome.EXECUTED_LATE, EnumSet.of(CommandKind.START));
      case STOPS_LATE ->
          disturb(fleet, id, CommandOutcome.EXECUTED_LATE, EnumSet.of(CommandKind.STOP));
      case REPORT_REQUESTS_LATE ->
          disturb(fleet, id, CommandOutcome.EXECUTED_LATE, EnumSet.of(CommandKind.REPORT_REQUEST));
      case COMMANDS_LATE ->
          disturb(fleet, id, CommandOutcome.EXECUTED_LATE, EnumSet.allOf(CommandKind.class));
      case RESPONSES_LOST ->
          disturb(fleet, id, CommandOutcome.RESPONSE_LOST, EnumSet.allOf(CommandKind.class));
      case SCHEDULER_KILLED ->
          fleet
              .schedulingNodeName()
              .ifPresent(
                  name -> {
                    fleet.killNode(name);
                    fleet.clock.runAfter(durationMillis, () -> fleet.startNode(name));
                  });
      case SCHEDULER_POWERED_OFF ->
          fleet
              .schedulingNodeName()
              .ifPresent(
                  name -> {
                    fleet.powerOffNode(name);
                    fleet.clock.runAfter(durationMillis, () -> fleet.startNode(name));
                  });
      case SCHEDULER_PAUSED -> pause(fleet, /* clockStopMillis= */ 0);
      case SCHEDULER_SUSPENDED -> pause(fleet, durationMillis);
      case STORE_SLOW -> {
        fleet.rowStore.setTransactionMillis(SLOW_TRANSACTION_MILLIS);
        fleet.clock.runAfter(durationMillis, () -> fleet.rowStore.setTransactionMillis(0));
      }
      case ENTRY_VANISHES -> {
        fleet.unlistWorker(id);
        fleet.clock.runAfter(durationMillis, () -> fleet.relistWorker(id));
      }
      case OLDER_ENTRY_WRITTEN -> writeForeignEntry(fleet, id, -700, id);
      case NEWER_ENTRY_WRITTEN -> writeForeignEntry(fleet, id, 700, id);
      case NEWER_ENTRY_OF_OTHER_ADDRESS_WRITTEN -> writeForeignEntry(fleet, id, 700, "nobody");
      case WORKER_LOST -> {
        fleet.crashWorker(id);
        restart(fleet, "spare" + worker, USUAL);
      }
      case SCHEDULER_STOPPED ->
          fleet
              .schedulingNodeName()
              .ifPresent(
                  name -> {
                    fleet.nodes.get(name).stop();
                    fleet.clock.runAfter(durationMillis, () -> fleet.startNode(name));
                  });
    }
  }

  private static void restart(SimFleet fleet, String id, Resources capacity) {
    fleet.workerClockRate = MIN_CLOCK_RATE + (1 - MIN_CLOCK_RATE) * fleet.random.nextDouble();
    fleet.workerEntryDelayMillis = fleet.random.nextInt(HEARTBEAT_MILLIS);
    fleet.startWorker(id, capacity);
  }

  private void pause(SimFleet fleet, long clockStopMillis) {
    fleet
        .schedulingNodeName()
        .ifPresent(
            name -> {
              SimNode process = fleet.nodes.get(name);
              process.pause();
              fleet.clock.runAfter(durationMillis, () -> process.resume(clockStopMillis));
            });
  }

  private void writeForeignEntry(SimFleet fleet, String id, long aheadMillis, String addressOwner) {
    fleet.putWorkerEntry(
        id, fleet.incarnation(id) + aheadMillis, SimFleet.POOL, "m-" + id, addressOwner);
    fleet.clock.runAfter(Math.min(durationMillis, HEARTBEAT_MILLIS), () -> fleet.relistWorker(id));
  }

  private void disturb(
      SimFleet fleet, String id, CommandOutcome outcome, Set<CommandKind> commandKinds) {
    disturb(fleet, GeneratedSequence.NODES, id, outcome, commandKinds);
  }

  private void disturb(
      SimFleet fleet,
      List<String> nodes,
      String id,
      CommandOutcome outcome,
      Set<CommandKind> commandKinds) {
    nodes.forEach(name -> fleet.network.setOutcome(name, id, commandKinds, outcome));
    fleet.clock.runAfter(
        durationMillis,
        () ->
            nodes.forEach(
                name ->
                    fleet.network.setOutcome(
                        name, id, commandKinds, CommandOutcome.RESPONSE_RECEIVED)));
  }
}
