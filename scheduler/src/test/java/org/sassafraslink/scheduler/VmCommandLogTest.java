package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.sim.FakeRowStore;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimClock;

/**
 * Guards against commands of two schedulers to the same VM without the pause that the platform
 * requires between them. That happens after a takeover if the first scheduler did not record the VM
 * before its command, or if a later scheduler ignores the record.
 */
class VmCommandLogTest {
  private static final long PAUSE_MILLIS = 3_000;
  private static final int RUN_INTERVAL_MILLIS = 10;

  private final SimClock clock = new SimClock();
  private final FakeRowStore fakeStore = new FakeRowStore(clock, new Random(20261204));

  /** One process with its scheduler lease and its log of commands to VMs. */
  private final class Node implements SchedulerLease.Listener, LeaseHolderWatch {
    private final SchedulerLease lease;
    private final VmCommandLog commandLog;

    /** For each call of {@link #recordVm} that has ended, whether the row was stored. */
    private final List<Boolean> recordResults = new ArrayList<>();

    private boolean running = true;

    Node(String name) {
      FleetClock time =
          new FleetClock() {
            @Override
            public long monotonicMillis() {
              return clock.nowMillis();
            }

            @Override
            public long wallMillis() {
              return clock.nowMillis();
            }
          };
      ResponseTrackingRowStore store =
          new ResponseTrackingRowStore(fakeStore.viewOf(name, Set.of()), time);
      SchedulerSettings settings =
          new SchedulerSettings(
              /* node= */ name,
              /* process= */ name,
              /* peerAddress= */ name,
              /* takeoverDelayMillis= */ 0,
              /* leaseMillis= */ 5_400,
              /* maxLeaseMillis= */ 5_400,
              /* maxStopMillis= */ 400,
              PAUSE_MILLIS,
              /* finalStateRetentionMillis= */ 1,
              /* maintenanceMillis= */ 2_000,
              /* moveMillis= */ 1_500,
              /* vmCommandsPerSecond= */ 64,
              /* unavailabilityThresholdMillis= */ 4_500,
              /* maxBackfillImpactMillis= */ 4_000,
              /* maxEvacuationDelayMillis= */ Optional.empty());
      lease = new SchedulerLease(store, time, EventLog.silent(), settings, this, this);
      commandLog = new VmCommandLog(store, time, EventLog.silent(), lease, PAUSE_MILLIS);
      callStoreAndReschedule();
    }

    private void callStoreAndReschedule() {
      if (running) {
        lease.callStoreIfDue(clock.nowMillis());
        if (lease.isHolding()) {
          commandLog.readOrWriteIfDue(clock.nowMillis());
        }
        clock.runAfter(RUN_INTERVAL_MILLIS, this::callStoreAndReschedule);
      }
    }

    void recordVm(String vm) {
      commandLog.recordVm(vm, recordResults::add);
    }

    boolean maySendCommand(String vm) {
      return commandLog.maySendCommand(vm, clock.nowMillis());
    }

    @Override
    public void onAcquired(long epoch) {
      commandLog.reset();
    }

    @Override
    public void onGivingUp() {}

    @Override
    public void onLost() {}

    @Override
    public void watch(String address, Runnable onGone) {}

    @Override
    public void announceRelease() {}
  }

  private Node startHolder() {
    Node node = new Node("n0");
    clock.advance(200);
    assertTrue(node.lease.isValid());
    return node;
  }

  /**
   * Stops the predecessor, and returns the next scheduler once it holds the lease and has read the
   * row of recorded VMs. It may then send commands to a VM that is not in the row.
   */
  private Node startSuccessor(Node predecessor) {
    predecessor.running = false;
    Node successor = new Node("n1");
    for (int i = 0; i < 1_000 && !successor.maySendCommand("another"); i++) {
      clock.advance(RUN_INTERVAL_MILLIS);
    }
    assertTrue(successor.lease.isValid());
    return successor;
  }

  @Test
  void firstSchedulerMaySendCommandsAfterReadingTheRow() {
    Node node = new Node("n0");
    assertFalse(node.maySendCommand("m1"));
    clock.advance(200);
    assertTrue(node.maySendCommand("m1"));
  }

  @Test
  void reportsWhetherTheRowWasStored() {
    Node node = startHolder();
    node.recordVm("m1");
    assertEquals(List.of(), node.recordResults);
    clock.advance(50);
    assertEquals(List.of(true), node.recordResults);
    fakeStore.setBehavior("n0", Behavior.FAILS_CALLS);
    node.recordVm("m2");
    clock.advance(50);
    assertEquals(List.of(true, false), node.recordResults);
  }

  @Test
  void successorPausesCommandsToVmsRecordedByPredecessor() {
    Node predecessor = startHolder();
    predecessor.recordVm("m1");
    clock.advance(50);
    Node successor = startSuccessor(predecessor);
    assertFalse(successor.maySendCommand("m1"));
    assertTrue(successor.maySendCommand("m2"));
    clock.advance(PAUSE_MILLIS - 200);
    assertFalse(successor.maySendCommand("m1"));
    // The pause is longer than PAUSE_MILLIS by a margin of 300 ms.
    clock.advance(700);
    assertTrue(successor.maySendCommand("m1"));
  }

  @Test
  void successorPausesCommandsToVmsRecordedByPreviousVersion() {
    fakeStore.putRow("control", JobRows.MAIN_PARTITION, "orders", "[\"m1\"]");
    Node node = startHolder();
    assertFalse(node.maySendCommand("m1"));
    assertTrue(node.maySendCommand("m2"));
    clock.advance(PAUSE_MILLIS + 500);
    assertTrue(node.maySendCommand("m1"));
  }

  /** Guards against a record for each command that wakes up every process of the system. */
  @Test
  void recordingDoesNotChangeTheTableWithTheLease() {
    Node node = startHolder();
    List<Long> changes = new ArrayList<>();
    fakeStore
        .viewOf("watcher", Set.of())
        .readChanges(
            "control",
            fakeStore.findRow(new RowKey("control", JobRows.MAIN_PARTITION, "renewal")).version(),
            /* waitMillis= */ 100,
            rows -> changes.add((long) rows.get().rows().size()));
    node.recordVm("m1");
    clock.advance(150);
    assertEquals(List.of(true), node.recordResults);
    assertEquals(List.of(0L), changes);
  }

  @Test
  void pauseIsKeptAfterTwoTakeovers() {
    Node first = startHolder();
    first.recordVm("m1");
    clock.advance(50);
    Node second = startSuccessor(first);
    second.recordVm("m2");
    clock.advance(50);
    assertEquals(List.of(true), second.recordResults);
    fakeStore.setBehavior("n1", Behavior.UNRESPONSIVE);
    Node third = new Node("n2");
    second.running = false;
    for (int i = 0; i < 400 && !third.maySendCommand("another"); i++) {
      clock.advance(RUN_INTERVAL_MILLIS);
    }
    assertFalse(third.maySendCommand("m1"));
    assertFalse(third.maySendCommand("m2"));
  }

  @Test
  void vmsAreRemovedFromTheRowAfterThePause() {
    Node predecessor = startHolder();
    predecessor.recordVm("m1");
    clock.advance(PAUSE_MILLIS + 1_000);
    predecessor.recordVm("m2");
    clock.advance(50);
    Node successor = startSuccessor(predecessor);
    assertTrue(successor.maySendCommand("m1"));
    assertFalse(successor.maySendCommand("m2"));
  }

  @Test
  void recordAppliedLateIsReportedAsNotStored() {
    Node predecessor = startHolder();
    fakeStore.setBehavior("n0", Behavior.APPLIES_TRANSACTIONS_LATE);
    predecessor.recordVm("m1");
    clock.advance(5_000);
    assertEquals(List.of(false), predecessor.recordResults);
    Node successor = startSuccessor(predecessor);
    assertTrue(successor.maySendCommand("m2"));
    clock.advance(5_000);
    assertEquals(List.of(false), predecessor.recordResults);
  }
}
