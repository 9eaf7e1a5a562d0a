package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.sim.FakeRowStore;
import org.sassafraslink.scheduler.sim.FakeRowStore.Behavior;
import org.sassafraslink.scheduler.sim.SimClock;

/**
 * Guards against a fence that stays with, or returns to, a process whose lease another one has
 * taken over while the first one still counts its lease as valid.
 */
class DecisionFenceConflictTest {
  private static final int RUN_INTERVAL_MILLIS = 10;

  private final SimClock clock = new SimClock();
  private final FakeRowStore fakeStore = new FakeRowStore(clock, new Random(20261204));

  /** One process with its scheduler lease and its fences. */
  private final class Node implements SchedulerLease.Listener, LeaseHolderWatch, FleetClock {
    private final SchedulerLease lease;
    private final DecisionFences fences;
    private Runnable onHolderGone = () -> {};
    private boolean callsStoreForLease = true;
    private boolean writesFences;

    Node(String name) {
      ResponseTrackingRowStore store =
          new ResponseTrackingRowStore(fakeStore.viewOf(name, Set.of()), this);
      SchedulerSettings settings =
          new SchedulerSettings(
              /* node= */ name,
              /* process= */ name + "-1",
              /* peerAddress= */ name,
              /* takeoverDelayMillis= */ 0,
              /* leaseMillis= */ 5_400,
              /* maxLeaseMillis= */ 5_400,
              /* maxStopMillis= */ 400,
              /* maxCancellationMillis= */ 3_000,
              /* handoverPauseMillis= */ 3_000,
              /* finalStateRetentionMillis= */ 1,
              /* maintenanceMillis= */ 2_000,
              /* moveMillis= */ 1_500,
              /* vmCommandsPerSecond= */ 64,
              /* unavailabilityThresholdMillis= */ 4_500,
              /* maxBackfillImpactMillis= */ 4_000,
              /* maxEvacuationDelayMillis= */ Optional.empty());
      lease = new SchedulerLease(store, this, EventLog.silent(), settings, this, this);
      fences = new DecisionFences(store, this, EventLog.silent(), lease, settings.process());
      runAndReschedule();
    }

    private void runAndReschedule() {
      if (callsStoreForLease) {
        lease.callStoreIfDue(clock.nowMillis());
      }
      if (writesFences) {
        fences.writeIfDue(clock.nowMillis());
      }
      clock.runAfter(RUN_INTERVAL_MILLIS, this::runAndReschedule);
    }

    @Override
    public long monotonicMillis() {
      return clock.nowMillis();
    }

    @Override
    public long wallMillis() {
      return clock.nowMillis();
    }

    @Override
    public void onAcquired(long epoch, long predecessorEndMillis, long predecessorGrantMillis) {
      fences.reset();
    }

    @Override
    public void onGivingUp() {}

    @Override
    public void onLost() {
      fences.reset();
    }

    @Override
    public void watch(String address, Runnable onGone) {
      onHolderGone = onGone;
    }

    @Override
    public OptionalLong lastHeartbeatMillis() {
      return OptionalLong.empty();
    }

    @Override
    public void setHolding(boolean isHolding) {}

    @Override
    public void announceRelease() {}
  }

  private final Node first = new Node("n0");

  /** Lets the first process acquire the lease, after which it makes no calls for the lease. */
  private void acquireLease() {
    clock.advance(200);
    assertTrue(first.lease.isValid());
    first.callsStoreForLease = false;
  }

  /** Lets a second process take the lease over, although the first one still counts it as valid. */
  private Node takeOver() {
    Node second = new Node("n1");
    clock.advance(100);
    second.onHolderGone.run();
    second.writesFences = true;
    return second;
  }

  private void assertFencesHaveEpoch(long epoch) {
    for (String partition : JobRows.decisionPartitions()) {
      String value = fakeStore.findRow(DecisionFences.key(partition)).value();
      assertTrue(value.startsWith(epoch + " "), partition + ": " + value);
    }
  }

  private void assertWritten(Node node) {
    assertTrue(node.fences.areWritten());
    for (String partition : JobRows.decisionPartitions()) {
      assertEquals(
          fakeStore.findRow(DecisionFences.key(partition)).version(),
          node.fences.expectationFor(partition).version());
    }
  }

  @Test
  void supersededProcessDoesNotReplaceNewerFencesAndLosesTheLease() {
    acquireLease();
    Node second = takeOver();
    clock.advance(100);
    assertWritten(second);
    assertTrue(first.lease.isValid());
    first.writesFences = true;
    clock.advance(200);
    assertFalse(first.lease.isHolding());
    assertFencesHaveEpoch(second.lease.epoch());
    assertWritten(second);
  }

  @Test
  void fenceWriteThatIsAppliedAfterTheNewerOneFails() {
    acquireLease();
    fakeStore.setBehavior("n0", Behavior.APPLIES_TRANSACTIONS_LATE);
    first.writesFences = true;
    clock.advance(2 * RUN_INTERVAL_MILLIS);
    first.writesFences = false;
    Node second = takeOver();
    clock.advance(5_000);
    assertFencesHaveEpoch(second.lease.epoch());
    assertWritten(second);
    assertFalse(first.fences.areWritten());
  }

  @Test
  void newerProcessReplacesFencesThatAreBeingWritten() {
    for (int startMillis = 0; startMillis < 100; startMillis += 3) {
      DecisionFenceConflictTest play = new DecisionFenceConflictTest();
      play.acquireLease();
      int delayMillis = startMillis;
      play.clock.runAfter(delayMillis + 100, () -> play.first.writesFences = true);
      Node second = play.takeOver();
      play.clock.advance(500);
      play.assertFencesHaveEpoch(second.lease.epoch());
      play.assertWritten(second);
    }
  }

  @Test
  void fenceWhoseWriteLostItsResponseIsAdopted() {
    acquireLease();
    fakeStore.setBehavior("n0", Behavior.LOSES_RESPONSES);
    first.writesFences = true;
    clock.advance(500);
    assertFencesHaveEpoch(first.lease.epoch());
    assertFalse(first.fences.areWritten());
    fakeStore.setBehavior("n0", Behavior.NORMAL);
    clock.advance(700);
    assertWritten(first);
  }
}
