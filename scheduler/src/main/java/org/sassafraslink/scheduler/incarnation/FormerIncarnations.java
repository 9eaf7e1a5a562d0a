package org.sassafraslink.scheduler.incarnation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of workers of which an incarnation got commands and is not known any more, for as long as
 * these commands may have an effect in a later one.
 */
public final class FormerIncarnations {
  private final LateCommandBounds lateCommands;

  /** Until when commands to former incarnations may have an effect, by id, in this order. */
  private final Map<String, Long> effectEndById = new LinkedHashMap<>();

  private FormerIncarnations(LateCommandBounds lateCommands) {
    this.lateCommands = lateCommands;
  }

  /** Creates an instance that knows no ids. */
  public static FormerIncarnations create(LateCommandBounds lateCommands) {
    return new FormerIncarnations(lateCommands);
  }

  /** Forgets all ids. */
  public void clear() {
    effectEndById.clear();
  }

  /** Records that an incarnation gets no commands any more and is being forgotten. */
  public void add(String workerId, long nowMillis) {
    effectEndById.remove(workerId);
    effectEndById.put(workerId, lateCommands.lateRunEndMillis(nowMillis));
    effectEndById.values().removeIf(endMillis -> endMillis < nowMillis);
  }

  /** Returns whether commands to a former incarnation may have an effect in a new one. */
  public boolean contains(String workerId, long nowMillis) {
    return effectEndById.getOrDefault(workerId, 0L) >= nowMillis;
  }
}
