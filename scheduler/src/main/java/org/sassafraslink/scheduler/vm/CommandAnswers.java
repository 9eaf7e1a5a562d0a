package org.sassafraslink.scheduler.vm;

import java.util.HashMap;
import java.util.Map;

/**
 * When the last command to each VM was answered, and thus which lists show its effect.
 *
 * <p>A list that was requested earlier may show the VM as it was before the command, however recent
 * the list is. A command that was given up without an answer counts as answered at that time.
 *
 * <p>Not thread-safe: used only on the scheduler's thread.
 */
public final class CommandAnswers {
  private static final long UNANSWERED = Long.MAX_VALUE;

  /** When the last command was answered, monotonic ms, by VM. */
  private final Map<String, Long> answeredMillisByVm = new HashMap<>();

  private CommandAnswers() {}

  /** Returns an instance without commands. */
  public static CommandAnswers create() {
    return new CommandAnswers();
  }

  /** Forgets all commands. */
  public void reset() {
    answeredMillisByVm.clear();
  }

  /** Records that a command to a VM is about to be sent. */
  public void recordSending(String vm) {
    answeredMillisByVm.put(vm, UNANSWERED);
  }

  /** Records that the last command to a VM was answered or given up at {@code nowMillis}. */
  public void recordAnswer(String vm, long nowMillis) {
    answeredMillisByVm.put(vm, nowMillis);
  }

  /** Returns whether no command to a VM is waiting for its answer. */
  public boolean isAnswered(String vm) {
    return answeredMillisByVm.getOrDefault(vm, 0L) != UNANSWERED;
  }

  /** Returns whether a list requested at a time shows the effect of the last command to a VM. */
  public boolean areShownBy(String vm, long listRequestedMillis) {
    return listRequestedMillis > answeredMillisByVm.getOrDefault(vm, Long.MIN_VALUE);
  }
}
