package org.sassafraslink.daemon.process;

/** Waits between attempts; tests replace it by a step of their clock. */
@FunctionalInterface
public interface Pause {
  /** Waits for {@code millis}. */
  void millis(long millis) throws InterruptedException;

  /** Waits on the calling thread. */
  static Pause sleeping() {
    return Thread::sleep;
  }

  /** Does not wait. */
  static Pause none() {
    return millis -> {};
  }
}
