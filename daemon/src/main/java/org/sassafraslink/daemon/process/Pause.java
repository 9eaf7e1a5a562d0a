package org.sassafraslink.daemon.process;

/**
 * Waits between attempts. Tests replace it by one that does not wait or that advances a simulated
 * clock.
 */
@FunctionalInterface
public interface Pause {
  /** Waits for {@code millis} ms. */
  void waitMillis(long millis) throws InterruptedException;

  /** Returns a pause that lets the calling thread sleep. */
  static Pause sleeping() {
    return Thread::sleep;
  }

  /** Returns a pause that does not wait. */
  static Pause none() {
    return millis -> {};
  }
}
