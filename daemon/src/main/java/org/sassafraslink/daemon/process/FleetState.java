package org.sassafraslink.daemon.process;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Holds the latest {@link FleetView}. Any thread may read or update it; reads take no lock. */
public final class FleetState {
  private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.empty());

  private FleetState() {}

  static FleetState create() {
    return new FleetState();
  }

  /** Returns the latest view. */
  public FleetView view() {
    return view.get();
  }

  /**
   * Atomically replaces the view by the result of {@code change}, which may be called several times
   * and must have no side effects.
   */
  public void update(UnaryOperator<FleetView> change) {
    view.updateAndGet(change);
  }
}
