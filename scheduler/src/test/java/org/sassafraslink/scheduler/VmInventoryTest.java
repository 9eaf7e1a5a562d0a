package org.sassafraslink.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.FleetClock;
import org.sassafraslink.api.fleet.VmClient;
import org.sassafraslink.api.fleet.VmClient.Vm;
import org.sassafraslink.api.fleet.VmClient.VmState;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.sim.SimClock;

/**
 * Guards against decisions on what a list of VMs showed before a command or under another lease.
 */
class VmInventoryTest {
  private static final String VM = "vm";

  private final SimClock clock = new SimClock();
  private final VmInventory inventory =
      new VmInventory(new OneVmClient(), new TestClock(), EventLog.silent());

  private final class TestClock implements FleetClock {
    @Override
    public long monotonicMillis() {
      return clock.nowMillis();
    }

    @Override
    public long wallMillis() {
      return clock.nowMillis();
    }
  }

  /** A platform that lists one VM, 10 ms after the request. */
  private final class OneVmClient implements VmClient {
    @Override
    public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> callback) {
      Vm vm = new Vm(VM, "pool", VmState.UP, "zone", "rack", "");
      clock.runAfter(10, () -> callback.accept(Either.right(ImmutableList.of(vm))));
    }

    @Override
    public void move(
        String vm,
        String pool,
        Authority authority,
        Consumer<Either<CallFailure, VmReply>> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void startMaintenance(
        String vm,
        long wave,
        Authority authority,
        Consumer<Either<CallFailure, VmReply>> callback) {
      throw new UnsupportedOperationException();
    }
  }

  private void readList() {
    clock.advance(1_000);
    inventory.refreshIfDue(clock.nowMillis());
    clock.advance(20);
  }

  @Test
  void listShowsACommandOnceItWasRequestedAfterTheAnswer() {
    readList();
    assertTrue(inventory.showsLastCommand(VM));
    inventory.recordCommand(VM);
    readList();
    assertFalse(inventory.showsLastCommand(VM));
    inventory.recordAnswer(VM, clock.nowMillis());
    assertFalse(inventory.showsLastCommand(VM));
    readList();
    assertTrue(inventory.showsLastCommand(VM));
  }

  /** Guards against a wave that begins again because an earlier list has a VM that has left. */
  @Test
  void listOfAnEarlierLeaseIsDiscarded() {
    readList();
    assertTrue(inventory.findVm(VM).isPresent());
    inventory.reset();
    assertEquals(Optional.empty(), inventory.findVm(VM));
    assertEquals(ImmutableList.of(), inventory.vms());
  }
}
