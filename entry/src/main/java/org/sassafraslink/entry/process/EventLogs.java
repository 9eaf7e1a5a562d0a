package org.sassafraslink.entry.process;

import ch.qos.logback.classic.LoggerContext;
import org.sassafraslink.api.log.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates event logs that are written to standard output. */
public final class EventLogs {
  private EventLogs() {}

  /** Returns an event log that writes {@code node} into each line. */
  public static EventLog create(String node) {
    Logger logger = LoggerFactory.getLogger(JsonLineEncoder.EVENT_LOGGER_NAME);
    return EventLog.create(node, System::currentTimeMillis, logger::info);
  }

  /** Writes the lines that wait for the logging thread, and ends logging. */
  public static void flush() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
