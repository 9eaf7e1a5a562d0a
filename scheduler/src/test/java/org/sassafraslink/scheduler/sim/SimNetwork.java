package org.sassafraslink.scheduler.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.sassafraslink.scheduler.sim.SimNode.CommandOutcome;

/**
 * The connections between nodes and workers. Unlike the settings of a {@link SimNode}, its faults
 * outlast a process that starts again.
 */
public final class SimNetwork {
  /** The kind of a command to a worker. */
  public enum CommandKind {
    START,
    STOP,
    SPEED,
    REPORT_REQUEST
  }

  private record Link(String node, String worker) {}

  private record LinkCommand(Link link, CommandKind kind) {}

  private final Random random;
  private final Map<LinkCommand, CommandOutcome> outcomes = new HashMap<>();
  private int minDelayMillis;

  /** 0 if the nodes determine the delay. */
  private int maxDelayMillis;

  SimNetwork(Random random) {
    this.random = random;
  }

  /** Sets between which times the delays of commands that are executed late are drawn, in ms. */
  public void setLateCommandDelay(int minMillis, int maxMillis) {
    minDelayMillis = minMillis;
    maxDelayMillis = maxMillis;
  }

  /** Draws the delay of a command that is executed late, in ms; empty if no range is set. */
  OptionalLong drawDelayMillis() {
    return maxDelayMillis == 0
        ? OptionalLong.empty()
        : OptionalLong.of(minDelayMillis + random.nextInt(maxDelayMillis - minDelayMillis + 1));
  }

  /** Sets what happens to commands of some kinds from a node to a worker. */
  public void setOutcome(
      String node, String worker, Set<CommandKind> kinds, CommandOutcome outcome) {
    kinds.forEach(kind -> outcomes.put(new LinkCommand(new Link(node, worker), kind), outcome));
  }

  CommandOutcome outcome(
      String node, String worker, CommandKind kind, CommandOutcome outcomeOfNode) {
    return outcomes.getOrDefault(new LinkCommand(new Link(node, worker), kind), outcomeOfNode);
  }

  /** Returns whether any command has another outcome than usual. */
  boolean hasFault() {
    return outcomes.values().stream()
        .anyMatch(outcome -> outcome != CommandOutcome.RESPONSE_RECEIVED);
  }

  /** Returns whether neither a command nor a response of this kind passes. */
  boolean isCutOff(String node, String worker, CommandKind kind) {
    return outcome(node, worker, kind, CommandOutcome.RESPONSE_RECEIVED)
        == CommandOutcome.NOT_DELIVERED;
  }
}
