package org.sassafraslink.entry.process;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sets up logging without a configuration file, which would cost time at each start.
 *
 * <p>Lines pass through a bounded ring to a thread of their own; when the ring is full they are
 * dropped and counted, so that logging never blocks.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  /** Lines that may wait to be written. */
  private static final int RING_LINES = 4_096;

  /** How long the last lines may take at a stop, in ms. */
  private static final int FLUSH_MILLIS = 500;

  private static final AtomicLong DROPPED = new AtomicLong();

  /** Lines dropped so far. */
  static long dropped() {
    return DROPPED.get();
  }

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    JsonLineEncoder encoder = new JsonLineEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    CountingAppender ring = new CountingAppender();
    ring.setContext(context);
    ring.setQueueSize(RING_LINES);
    ring.setDiscardingThreshold(0);
    ring.setNeverBlock(true);
    ring.setMaxFlushTime(FLUSH_MILLIS);
    ring.addAppender(console);
    ring.start();
    ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(ring);
    context.getLogger(JsonLineEncoder.EVENT_LOGGER).setLevel(Level.INFO);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /** Counts what the ring has no room for. */
  private static final class CountingAppender extends AsyncAppender {
    @Override
    protected void append(ILoggingEvent event) {
      if (getRemainingCapacity() == 0) {
        DROPPED.incrementAndGet();
      }
      super.append(event);
    }
  }
}
