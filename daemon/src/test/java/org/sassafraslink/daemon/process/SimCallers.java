package org.sassafraslink.daemon.process;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import org.sassafraslink.api.model.FleetConfig;
import org.sassafraslink.api.model.FleetConfig.Queue;
import org.sassafraslink.api.model.FleetConfig.TeamKey;
import org.sassafraslink.api.model.FleetConfig.WorkClass;
import org.sassafraslink.daemon.request.PendingCall;

/** The callers of a simulated fleet: two teams, three keys, and request ids that are repeated. */
final class SimCallers {
  /** No calls after this step, so that a run ends with nothing under way. */
  private static final int LAST_CALL_STEP = 330;

  private final SplittableRandom random;
  private final Promises promises;
  private final IntSupplier now;
  private int calls;
  private int lastId;

  SimCallers(SplittableRandom random, Promises promises, IntSupplier now) {
    this.random = random;
    this.promises = promises;
    this.now = now;
  }

  /** Sends some calls to {@code node}. */
  void call(SimNode node, int step) {
    Optional<FleetConfig> config = node.inForce().map(active -> active.config());
    if (config.isEmpty() || config.get().services().isEmpty() || step > LAST_CALL_STEP) {
      return;
    }
    for (String keyId : ImmutableList.of("a1", "b1", "b2")) {
      if (random.nextInt(3) == 0) {
        config
            .get()
            .keyById(keyId)
            .ifPresent(found -> submit(node, found.team().name(), found.key(), step));
      }
    }
  }

  private void submit(SimNode node, String team, TeamKey key, int step) {
    int kind = random.nextInt(4);
    String method = kind == 0 ? "GET" : "POST";
    PendingCall.Request request =
        new PendingCall.Request(
            "call-" + calls++, method, "/q/x", ImmutableList.of(), new byte[0], requestId(kind));
    PendingCall call =
        PendingCall.create(
            request,
            random.nextInt(2) == 0 ? "s1" : "s2",
            new Queue("q", WorkClass.COUNTER, false, 2_000),
            Optional.of(new PendingCall.Submitter(team, key)),
            (long) step * SimWorld.STEP_MILLIS);
    call.result().thenAccept(result -> promises.onResult(call, result, now.getAsInt()));
    node.core.submit(call);
  }

  /** Every fourth call has an id, and about half of these repeat the one before. */
  private Optional<String> requestId(int kind) {
    if (kind != 3) {
      return Optional.empty();
    }
    lastId += random.nextInt(2);
    return Optional.of("id-" + lastId);
  }
}
