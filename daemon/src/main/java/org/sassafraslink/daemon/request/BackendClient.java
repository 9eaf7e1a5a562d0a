package org.sassafraslink.daemon.request;

import java.util.function.Consumer;
import org.sassafraslink.api.model.FleetConfig.AnswerCheck;

/** Sends calls to the instances of services on backend servers. */
@FunctionalInterface
public interface BackendClient {
  /**
   * The instance to which an attempt is sent.
   *
   * @param vm the id of the VM on which the instance runs
   * @param address the address of that VM
   * @param port the port on which the instance listens
   * @param answerCheck how the client ensures that an answer belongs to this request
   * @param timeoutMillis the time after which the attempt fails, in ms
   */
  record Target(String vm, String address, int port, AnswerCheck answerCheck, long timeoutMillis) {}

  /**
   * Starts one attempt to send {@code call}, and returns without waiting for the answer.
   *
   * @param onEnd called exactly once with the outcome, on any thread
   */
  void send(PendingCall call, Target target, Consumer<AttemptOutcome> onEnd);
}
