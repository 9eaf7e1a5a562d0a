package org.sassafraslink.entry.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sassafraslink.api.log.EventLog;
import org.sassafraslink.scheduler.SchedulerLoad;

/** Guards against an event that ends the scheduler's thread, so that no job is placed any more. */
class SchedulerThreadTest {
  /** Long enough on a busy machine; the test does not wait until it expires. */
  private static final int TIMEOUT_SECONDS = 30;

  private final SchedulerThread thread = new SchedulerThread(EventLog.silent());

  @AfterEach
  void stopThread() {
    thread.stop();
  }

  static Stream<Runnable> failingEvents() {
    return Stream.of(
        () -> {
          throw new IllegalStateException("thrown by the test");
        },
        () -> {
          throw new StackOverflowError();
        },
        () -> {
          throw new NoClassDefFoundError("thrown by the test");
        },
        () -> {
          throw new AssertionError("thrown by the test");
        });
  }

  @ParameterizedTest
  @MethodSource("failingEvents")
  void runsEventsAfterOneThatFails(Runnable failingEvent) throws InterruptedException {
    SchedulerLoad load = new SchedulerLoad(EventLog.silent());
    thread.start(load, () -> false, () -> {});
    CountDownLatch handled = new CountDownLatch(1);
    thread.execute(failingEvent);
    thread.execute(handled::countDown);
    assertTrue(handled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  @ParameterizedTest
  @MethodSource("failingEvents")
  void runsEventsAfterDueWorkThatFails(Runnable failingWork) throws InterruptedException {
    SchedulerLoad load = new SchedulerLoad(EventLog.silent());
    CountDownLatch attempted = new CountDownLatch(2);
    thread.start(
        load,
        () -> false,
        () -> {
          attempted.countDown();
          failingWork.run();
        });
    assertTrue(attempted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }
}
