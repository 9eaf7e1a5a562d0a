package org.sassafraslink.daemon.process;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/** Holds the latest {@link FleetView}; threads read it without locks. */
public final class FleetState {
  private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.empty());

  private FleetState() {}

  static FleetState create() {
    return new FleetState();
  }

  /** The latest view. */
  public FleetView view() {
    return view.get();
  }

  /** Replaces the view by {@code step} of it. */
  public void update(UnaryOperator<FleetView> step) {
    view.updateAndGet(step);
  }
}
