package org.sassafraslink.scheduler.sim;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.sassafraslink.api.fleet.CallFailure;
import org.sassafraslink.api.fleet.VmClient;

/** A client of the platform's VMs whose calls are never performed. */
final class UnavailableVmClient implements VmClient {
  @Override
  public void list(Consumer<Either<CallFailure, ImmutableList<Vm>>> done) {
    done.accept(Either.left(CallFailure.NOT_PERFORMED));
  }

  @Override
  public void move(
      String vm, String pool, Authority authority, Consumer<Either<CallFailure, VmReply>> done) {
    done.accept(Either.left(CallFailure.NOT_PERFORMED));
  }

  @Override
  public void startMaintenance(
      String vm, long wave, Authority authority, Consumer<Either<CallFailure, VmReply>> done) {
    done.accept(Either.left(CallFailure.NOT_PERFORMED));
  }
}
