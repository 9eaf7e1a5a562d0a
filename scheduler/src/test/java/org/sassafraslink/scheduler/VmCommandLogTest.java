package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.RowStore.RowKey;
import org.sassafraslink.api.fleet.VmClient.Authority;
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

    /** The authority of the last command that was recorded. */
    private Optional<Authority> authority = Optional.empty();

    private boolean running = true;
    private Runnable onHolderGone = () -> {};

    /** Time that the monotonic clock did not count because the node was suspended, in ms. */
    private long suspendedMillis;

    private final FleetClock time;

    Node(String name) {
      this(name, 1);
    }

    /** Starts a process whose clocks advance by {@code clockRate} ms in one ms. */
    Node(String name, double clockRate) {
      time =
          new FleetClock() {
            @Override
            public long monotonicMillis() {
              return (long) ((clock.nowMillis() - suspendedMillis) * clockRate);
            }

            @Override
            public long wallMillis() {
              return (long) (clock.nowMillis() * clockRate);
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
              /* maxCancellationMillis= */ 3_000,
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
        lease.callStoreIfDue(time.monotonicMillis());
        if (lease.isHolding()) {
          commandLog.readOrWriteIfDue(time.monotonicMillis());
        }
        clock.runAfter(RUN_INTERVAL_MILLIS, this::callStoreAndReschedule);
      }
    }

    /** Stops the process for some time, and perhaps its monotonic clock. */
    void freeze(int millis, boolean stopsMonotonicClock) {
      running = false;
      clock.runAfter(
          millis,
          () -> {
            suspendedMillis += stopsMonotonicClock ? millis : 0;
            running = true;
            callStoreAndReschedule();
          });
    }

    void recordVm(String vm) {
      commandLog.recordVm(
          vm,
          recorded -> {
            recordResults.add(recorded.isPresent());
            authority = recorded;
          });
    }

    /** Returns whether the last command that was recorded may be sent now. */
    boolean hasAuthority() {
      return authority.map(found -> found.isValid().getAsBoolean()).orElse(false);
    }

    boolean maySendCommand(String vm) {
      return commandLog.maySendCommand(vm, time.monotonicMillis());
    }

    @Override
    public void onAcquired(long epoch, long predecessorEndMillis, long predecessorGrantMillis) {
      commandLog.reset();
    }

    @Override
    public void onGivingUp() {}

    @Override
    public void onLost() {}

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

  /**
   * Guards against a wave that waits forever, since a move of its VM took the result of a record.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 600})
  void secondCommandToVmTakesResultOfFirst(int writeMillis) {
    Node node = startHolder();
    fakeStore.delayWrites("vm-commands", writeMillis);
    node.recordVm("another");
    node.recordVm("m1");
    node.recordVm("m1");
    clock.advance(5_000);
    assertEquals(List.of(true, true, true), node.recordResults);
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

  /**
   * Guards against a pause that is too short, and against one that counts from the takeover, by
   * which most of it is over: VMs that a pool needs most would stand still.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.98, 1, 1.02})
  void successorPausesFromTheLastTimeAtWhichAPredecessorMaySend(double storeClockRate) {
    fakeStore.setClockRate(storeClockRate);
    Node predecessor = startHolder();
    predecessor.recordVm("m1");
    clock.advance(50);
    assertTrue(predecessor.hasAuthority());
    Node successor = new Node("n1");
    clock.advance(50);
    successor.onHolderGone.run();
    long lastSendMillis = clock.nowMillis();
    while (!successor.maySendCommand("m1")) {
      clock.advance(RUN_INTERVAL_MILLIS);
      lastSendMillis = predecessor.hasAuthority() ? clock.nowMillis() : lastSendMillis;
    }
    assertTrue(successor.lease.isValid());
    assertBetween(PAUSE_MILLIS, PAUSE_MILLIS + 700, clock.nowMillis() - lastSendMillis);
  }

  private static void assertBetween(long min, long max, long actual) {
    assertTrue(actual >= min && actual <= max, () -> actual + " not in " + min + " to " + max);
  }

  /** Guards against a command that a process sends when it wakes, after its successor's. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void frozenSenderSendsNothingWhenItWakes(boolean isMonotonicClockStopped) {
    Node node = startHolder();
    node.recordVm("m1");
    clock.advance(50);
    assertTrue(node.hasAuthority());
    node.running = false;
    clock.advance(1_000);
    node.suspendedMillis = isMonotonicClockStopped ? 1_000 : 0;
    assertFalse(node.hasAuthority());
  }

  /** Guards against a slow store that leaves no time to send a command after its record. */
  @Test
  void commandsMayBeSentLongerWhileRecordsTakeLong() {
    Node node = startHolder();
    fakeStore.delayWrites("vm-commands", 600);
    node.recordVm("m1");
    clock.advance(700);
    node.recordVm("m1");
    clock.advance(700);
    assertEquals(List.of(true, true), node.recordResults);
    assertTrue(node.hasAuthority());
  }

  /** Guards against no pause at all after a row that other software has damaged. */
  @ParameterizedTest
  @ValueSource(strings = {"", "{}", "[1]", "[\"m1\",["})
  void unreadableRowPausesAllVms(String value) {
    fakeStore.putRow("vm-commands", JobRows.MAIN_PARTITION, "orders", value);
    Node node = startHolder();
    assertFalse(node.maySendCommand("m2"));
    clock.advance(PAUSE_MILLIS - 200);
    assertFalse(node.maySendCommand("m2"));
    clock.advance(700);
    assertTrue(node.maySendCommand("m2"));
  }

  /** Guards against a damaged time that would stop a VM from being used for ever. */
  @ParameterizedTest
  @CsvSource({"9000000000000, 0, 6900", "0, -5, 3900", "-7, 1, 3900", "12, \"x\", 3900"})
  void damagedTimeEndsWithABoundedPause(String from, String offset, long maxPauseMillis) {
    fakeStore.putRow(
        "vm-commands",
        JobRows.MAIN_PARTITION,
        "orders",
        "[\"m1\",{\"from\":" + from + ",\"offsets\":[" + offset + "]}]");
    Node node = startHolder();
    assertTrue(node.maySendCommand("m2"));
    clock.advance(PAUSE_MILLIS - 200);
    assertFalse(node.maySendCommand("m1"));
    clock.advance(maxPauseMillis - PAUSE_MILLIS);
    assertTrue(node.maySendCommand("m1"));
  }

  /**
   * Has three processes record and send commands to one VM, with clocks that differ by up to 2%,
   * while each may be frozen, stopped or wrongly taken for ended. Guards against two holders that
   * command a VM within the pause.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTwoHoldersCommandAVmWithinThePause(long seed) {
    Random random = new Random(seed);
    fakeStore.setClockRate(0.9902 + random.nextDouble() * 0.0196);
    List<Node> nodes = new ArrayList<>();
    for (String name : List.of("n0", "n1", "n2")) {
      nodes.add(new Node(name, 0.9902 + random.nextDouble() * 0.0196));
    }
    Node lastSender = null;
    long lastSendMillis = 0;
    int turns = 0;
    for (int i = 0; i < 6_000; i++) {
      clock.advance(RUN_INTERVAL_MILLIS);
      for (Node node : nodes) {
        if (!node.running) {
          continue;
        }
        if (random.nextInt(400) == 0) {
          node.freeze(random.nextInt(4_000), random.nextBoolean());
          continue;
        }
        if (random.nextInt(600) == 0) {
          node.onHolderGone.run();
        }
        if (node.lease.isValid() && node.maySendCommand("m1") && random.nextInt(20) == 0) {
          node.recordVm("m1");
        }
        if (node.hasAuthority() && random.nextInt(10) == 0) {
          long gapMillis = clock.nowMillis() - lastSendMillis;
          if (lastSender != null && lastSender != node) {
            turns++;
            assertTrue(gapMillis >= PAUSE_MILLIS, () -> "commands " + gapMillis + " ms apart");
          }
          lastSender = node;
          lastSendMillis = clock.nowMillis();
        }
      }
    }
    assertTrue(turns > 0);
  }

  static LongStream seeds() {
    return LongStream.range(0, 40);
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

  /** Guards against a second change of scheduler that forgets the commands before the first. */
  @Test
  void pauseIsKeptAfterTwoTakeovers() {
    fakeStore.putRow("vm-commands", JobRows.MAIN_PARTITION, "orders", "[\"m0\"]");
    Node first = startHolder();
    first.recordVm("m1");
    clock.advance(50);
    first.lease.release();
    Node second = startSuccessor(first);
    second.recordVm("m2");
    clock.advance(50);
    assertEquals(List.of(true), second.recordResults);
    second.lease.release();
    second.running = false;
    Node third = new Node("n2");
    for (int i = 0; i < 100 && !third.maySendCommand("another"); i++) {
      clock.advance(RUN_INTERVAL_MILLIS);
    }
    assertTrue(third.maySendCommand("another"));
    for (String vm : List.of("m0", "m1", "m2")) {
      assertFalse(third.maySendCommand(vm), vm);
    }
    clock.advance(PAUSE_MILLIS + 1_000);
    for (String vm : List.of("m0", "m1", "m2")) {
      assertTrue(third.maySendCommand(vm), vm);
    }
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

  /**
   * Guards against a record that the store applies after a later one, and which removes the VMs of
   * that one from the row.
   */
  @Test
  void recordAppliedLateDoesNotReplaceALaterOne() {
    Node predecessor = startHolder();
    fakeStore.setBehavior("n0", Behavior.APPLIES_TRANSACTIONS_LATE);
    predecessor.recordVm("m1");
    fakeStore.setBehavior("n0", Behavior.NORMAL);
    clock.advance(2_950);
    predecessor.recordVm("m2");
    clock.advance(150);
    assertEquals(List.of(false, true), predecessor.recordResults);
    predecessor.lease.release();
    Node successor = startSuccessor(predecessor);
    assertFalse(successor.maySendCommand("m2"));
  }

  /** Guards against commands that are never sent again after a record was applied late. */
  @Test
  void recordIsRepeatedAfterAnEarlierOneWasAppliedLate() {
    Node node = startHolder();
    fakeStore.setBehavior("n0", Behavior.APPLIES_TRANSACTIONS_LATE);
    node.recordVm("m1");
    fakeStore.setBehavior("n0", Behavior.NORMAL);
    clock.advance(3_100);
    node.recordVm("m2");
    clock.advance(50);
    assertEquals(List.of(false, true), node.recordResults);
    assertTrue(node.hasAuthority());
  }

  /**
   * Guards against decisions on lists that were requested while a predecessor's command was due.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "500, false", "6000, true"})
  void onlyListRequestedAfterThePauseShowsCommandsOfAPredecessor(
      int requestedAfterMillis, boolean isShown) {
    Node first = new Node("n1");
    clock.advance(3_000);
    first.recordVm("vm");
    clock.advance(100);
    first.running = false;
    Node second = new Node("n2");
    while (!second.commandLog.arePredecessorCommandsShownBy("other", Long.MAX_VALUE)) {
      clock.advance(RUN_INTERVAL_MILLIS);
    }
    long requestedMillis = second.time.monotonicMillis() + requestedAfterMillis;
    clock.advance(10_000);
    assertEquals(isShown, second.commandLog.arePredecessorCommandsShownBy("vm", requestedMillis));
    assertTrue(second.commandLog.arePredecessorCommandsShownBy("other", requestedMillis));
  }
}
