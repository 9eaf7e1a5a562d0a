package org.sassafraslink.daemon.request;

import java.util.function.Consumer;
import org.sassafraslink.api.model.FleetConfig.AnswerCheck;

/** Sends one attempt of a call to an instance. */
@FunctionalInterface
public interface BackendCaller {
  /** Where and how to send. */
  record Target(String vm, String address, int port, AnswerCheck answerCheck, long timeoutMillis) {}

  /** Sends {@code call}; {@code onEnd} runs once, on any thread. */
  void send(PendingCall call, Target target, Consumer<ExchangeOutcome> onEnd);
}
