package org.sassafraslink.scheduler.placement;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.sassafraslink.api.fleet.Evacuations;

/**
 * Decides which workers may get starts, given the evacuations of availability zones in force.
 *
 * <p>It answers an operator who takes a zone out of use while jobs arrive as usual: the load then
 * meets fewer workers, and starts that were decided before the request are still on their way.
 */
public final class EvacuatedZones {
  /** The reason that logs give for what an evacuation prevents. */
  public static final String REASON = "zone_evacuated";

  /**
   * Time that a start takes at most from the decision to send it until the worker has it, in ms.
   */
  private static final long DELIVERY_MILLIS = 1_000;

  private final ImmutableSet<String> zones;

  /** When this state of the evacuations ceases to be relied on, monotonic ms; empty if never. */
  private final Optional<Long> reliableUntilMillis;

  /** What to do with a start that is about to be sent or repeated. */
  public enum StartAction {
    SEND,
    /** Neither send nor repeat it until a newer read shows whether the zone is evacuated. */
    HOLD,
    /** Give up the attempt, which the worker cannot know. */
    WITHDRAW,
    /** Do not repeat it; the worker's reports show whether an earlier command has arrived. */
    AWAIT_REPORT
  }

  private EvacuatedZones(ImmutableSet<String> zones, Optional<Long> reliableUntilMillis) {
    this.zones = zones;
    this.reliableUntilMillis = reliableUntilMillis;
  }

  /**
   * Creates an instance from the newest read of the evacuations.
   *
   * @param maxDelayMillis how long after the request of an evacuation a start in its zone is
   *     allowed; empty if there is no bound
   */
  public static EvacuatedZones of(Evacuations newest, Optional<Long> maxDelayMillis) {
    return new EvacuatedZones(
        newest.zones(),
        maxDelayMillis.map(
            delay -> newest.verifiedAtMillis() + Math.max(0, delay - DELIVERY_MILLIS)));
  }

  /** Returns the names of the evacuated zones, also of those that have no worker. */
  public ImmutableSet<String> zones() {
    return zones;
  }

  /**
   * Returns whether a zone is evacuated. An unknown zone, with an empty name, counts as evacuated
   * while any other is.
   */
  public boolean contains(String zone) {
    return zones.contains(zone) || (zone.isEmpty() && !zones.isEmpty());
  }

  /** Returns whether an evacuation may have been requested so long ago that no start is allowed. */
  public boolean isOutdated(long nowMillis) {
    return reliableUntilMillis.isPresent() && nowMillis > reliableUntilMillis.get();
  }

  /**
   * Returns what to do with a start on a worker of a zone.
   *
   * @param mayBeKnown whether an earlier command with this start may have reached the worker
   */
  public StartAction startAction(String zone, boolean mayBeKnown, long nowMillis) {
    if (contains(zone)) {
      return mayBeKnown ? StartAction.AWAIT_REPORT : StartAction.WITHDRAW;
    }
    return isOutdated(nowMillis) ? StartAction.HOLD : StartAction.SEND;
  }
}
