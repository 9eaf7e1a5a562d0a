package org.sassafraslink.scheduler.command;

import java.util.function.BooleanSupplier;

/**
 * Whether a command may still be sent. A client asks it on its own thread right before it writes
 * the command, since the command may wait for a connection, or the process may be suspended.
 *
 * <p>It remembers whether it was denied, which tells a command that was not sent apart from one
 * that its receiver did not perform.
 */
public final class CommandPermission implements BooleanSupplier {
  private final BooleanSupplier condition;
  private volatile boolean denied;

  private CommandPermission(BooleanSupplier condition) {
    this.condition = condition;
  }

  /**
   * Creates a permission.
   *
   * @param condition whether the command may be sent now; called on any thread
   */
  public static CommandPermission of(BooleanSupplier condition) {
    return new CommandPermission(condition);
  }

  @Override
  public boolean getAsBoolean() {
    boolean isAllowed = condition.getAsBoolean();
    if (!isAllowed) {
      denied = true;
    }
    return isAllowed;
  }

  /** Returns whether the command was not sent because it was no longer allowed. */
  public boolean wasDenied() {
    return denied;
  }
}
