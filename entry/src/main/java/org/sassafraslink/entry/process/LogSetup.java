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
 * Configures Logback in code, because reading a configuration file would lengthen each start.
 * Logback finds this class through {@code META-INF/services}.
 *
 * <p>A separate thread writes the lines, which wait in a bounded queue. When the queue is full,
 * lines are dropped and counted, so that logging never blocks.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  /** Most lines that may wait to be written. */
  private static final int QUEUE_CAPACITY_LINES = 4_096;

  /** Longest time for writing the remaining lines when logging stops, in ms. */
  private static final int MAX_FLUSH_MILLIS = 500;

  private static final AtomicLong DROPPED_LINES = new AtomicLong();

  /** Returns the number of lines dropped since the start of the process. */
  static long droppedLines() {
    return DROPPED_LINES.get();
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
    DropCountingAppender asyncAppender = new DropCountingAppender();
    asyncAppender.setContext(context);
    asyncAppender.setQueueSize(QUEUE_CAPACITY_LINES);
    // By default Logback drops events of level INFO and below when the queue is 80 % full.
    asyncAppender.setDiscardingThreshold(0);
    asyncAppender.setNeverBlock(true);
    asyncAppender.setMaxFlushTime(MAX_FLUSH_MILLIS);
    asyncAppender.addAppender(console);
    asyncAppender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(asyncAppender);
    context.getLogger(JsonLineEncoder.EVENT_LOGGER_NAME).setLevel(Level.INFO);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /** Counts the lines that are dropped because the queue is full. */
  private static final class DropCountingAppender extends AsyncAppender {
    @Override
    protected void append(ILoggingEvent event) {
      if (getRemainingCapacity() == 0) {
        DROPPED_LINES.incrementAndGet();
      }
      super.append(event);
    }
  }
}
